package chart

import "go.yaml.in/yaml/v3"

// parser reads the nodes of one chart file.
type parser struct {
	chart *Chart
	lines map[State]int
	edges []edge
}

// edge is one transition together with its line.
type edge struct {
	target State
	line   int
}

func (parser *parser) fail(line int, format string, args ...any) error {
	return ErrInvalid.New("%s:%d: "+format, append([]any{parser.chart.name, line}, args...)...)
}

func (parser *parser) each(node *yaml.Node, read func(key, value *yaml.Node) error) error {
	if node.Kind != yaml.MappingNode {
		return parser.fail(node.Line, "must be a mapping")
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		if err := read(node.Content[i], node.Content[i+1]); err != nil {
			return err
		}
	}
	return nil
}

func (parser *parser) readRoot(root *yaml.Node) error {
	return parser.each(root, func(key, value *yaml.Node) error {
		switch key.Value {
		case "initial":
			parser.chart.initial = State(value.Value)
			return nil
		case "states":
			return parser.each(value, parser.readState)
		}
		return parser.fail(key.Line, "unknown key %q", key.Value)
	})
}

func (parser *parser) readState(key, value *yaml.Node) error {
	name := State(key.Value)
	if _, ok := parser.lines[name]; ok {
		return parser.fail(key.Line, "state %q is stated twice", name)
	}
	parser.lines[name] = key.Line
	row := stateRow{on: make(map[Event]State)}
	err := parser.each(value, func(key, value *yaml.Node) error {
		switch key.Value {
		case "flags":
			for _, flag := range value.Content {
				row.flags = append(row.flags, Flag(flag.Value))
			}
			return nil
		case "on":
			return parser.each(value, func(event, target *yaml.Node) error {
				row.on[Event(event.Value)] = State(target.Value)
				parser.edges = append(parser.edges, edge{State(target.Value), target.Line})
				return nil
			})
		}
		return parser.fail(key.Line, "unknown key %q", key.Value)
	})
	parser.chart.states[name] = row
	return err
}

// check reports transitions that lead nowhere and states that nothing leads to.
func (parser *parser) check(root *yaml.Node) error {
	if _, ok := parser.chart.states[parser.chart.initial]; !ok {
		return parser.fail(root.Line, "initial state %q is not stated", parser.chart.initial)
	}
	reached := map[State]bool{parser.chart.initial: true}
	for _, edge := range parser.edges {
		if _, ok := parser.chart.states[edge.target]; !ok {
			return parser.fail(edge.line, "state %q is not stated", edge.target)
		}
		reached[edge.target] = true
	}
	for name, line := range parser.lines {
		if !reached[name] {
			return parser.fail(line, "state %q can't be reached", name)
		}
	}
	return nil
}
