package chart

import "go.yaml.in/yaml/v3"

// parser builds a chart from the YAML nodes of one file and records the lines for error messages.
type parser struct {
	chart       *Chart
	lines       map[State]int
	transitions []transition
}

// transition is the target state of one transition and its line in the file.
type transition struct {
	target State
	line   int
}

func (parser *parser) errorAt(line int, format string, args ...any) error {
	return ErrInvalid.New("%s:%d: "+format, append([]any{parser.chart.name, line}, args...)...)
}

// readMapping calls readPair for each key and value of a YAML mapping.
func (parser *parser) readMapping(node *yaml.Node, readPair func(key, value *yaml.Node) error) error {
	if node.Kind != yaml.MappingNode {
		return parser.errorAt(node.Line, "must be a mapping")
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		if err := readPair(node.Content[i], node.Content[i+1]); err != nil {
			return err
		}
	}
	return nil
}

func (parser *parser) readRoot(root *yaml.Node) error {
	return parser.readMapping(root, func(key, value *yaml.Node) error {
		switch key.Value {
		case "initial":
			parser.chart.initial = State(value.Value)
			return nil
		case "states":
			return parser.readMapping(value, parser.readState)
		}
		return parser.errorAt(key.Line, "unknown key %q", key.Value)
	})
}

func (parser *parser) readState(key, value *yaml.Node) error {
	name := State(key.Value)
	if _, ok := parser.lines[name]; ok {
		return parser.errorAt(key.Line, "state %q is declared twice", name)
	}
	parser.lines[name] = key.Line
	definition := stateDefinition{transitions: make(map[Event]State)}
	err := parser.readMapping(value, func(key, value *yaml.Node) error {
		switch key.Value {
		case "flags":
			for _, flag := range value.Content {
				definition.flags = append(definition.flags, Flag(flag.Value))
			}
			return nil
		case "on":
			return parser.readMapping(value, func(event, target *yaml.Node) error {
				definition.transitions[Event(event.Value)] = State(target.Value)
				parser.transitions = append(parser.transitions, transition{State(target.Value), target.Line})
				return nil
			})
		}
		return parser.errorAt(key.Line, "unknown key %q", key.Value)
	})
	parser.chart.states[name] = definition
	return err
}

// validate checks that the initial state and every target of a transition are declared, and that every other state is the target of a
// transition.
func (parser *parser) validate(root *yaml.Node) error {
	if _, ok := parser.chart.states[parser.chart.initial]; !ok {
		return parser.errorAt(root.Line, "initial state %q is not declared", parser.chart.initial)
	}
	reachable := map[State]bool{parser.chart.initial: true}
	for _, next := range parser.transitions {
		if _, ok := parser.chart.states[next.target]; !ok {
			return parser.errorAt(next.line, "state %q is not declared", next.target)
		}
		reachable[next.target] = true
	}
	for name, line := range parser.lines {
		if !reachable[name] {
			return parser.errorAt(line, "state %q is unreachable", name)
		}
	}
	return nil
}
