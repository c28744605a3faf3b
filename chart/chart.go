package chart

import (
	"embed"
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"

	celerylanding "celerylanding.example/celerylanding"
)

// ErrInvalid means that a chart file is invalid; the message has the form "file:line: problem".
var ErrInvalid = celerylanding.ErrorNamespace.NewType("invalid_chart")

// ErrNoTransition means that a state has no transition for an event.
var ErrNoTransition = celerylanding.ErrorNamespace.NewType("no_transition")

// State is the name of a state.
type State string

// Event is the name of an event.
type Event string

// Flag is the name of a property of states.
type Flag string

//go:embed *.yaml
var files embed.FS

// Chart is a validated state machine definition; it is immutable and safe for concurrent use.
type Chart struct {
	name    string
	initial State
	states  map[State]stateDefinition
}

type stateDefinition struct {
	flags       []Flag
	transitions map[Event]State
}

// Load parses the embedded chart with the given file name, such as "node.yaml"; errors are of type ErrInvalid.
func Load(name string) (*Chart, error) {
	text, err := files.ReadFile(name)
	if err != nil {
		return nil, ErrInvalid.Wrap(err, "%s", name)
	}
	return Parse(name, text)
}

// Parse parses and validates a chart: the initial state and the target of every transition must be declared, and every other state must
// be the target of a transition. Errors are of type ErrInvalid.
func Parse(name string, text []byte) (*Chart, error) {
	var root yaml.Node
	if err := yaml.Unmarshal(text, &root); err != nil {
		return nil, ErrInvalid.New("%s: %s", name, strings.TrimPrefix(err.Error(), "yaml: "))
	}
	if len(root.Content) == 0 {
		return nil, ErrInvalid.New("%s:1: empty chart", name)
	}
	parser := &parser{chart: &Chart{name: name, states: make(map[State]stateDefinition)}, lines: make(map[State]int)}
	if err := parser.readRoot(root.Content[0]); err != nil {
		return nil, err
	}
	return parser.chart, parser.validate(root.Content[0])
}

// Initial returns the initial state.
func (chart *Chart) Initial() State { return chart.initial }

// Next returns the state that follows the event. If the state has no transition for the event, it returns the state unchanged and
// ErrNoTransition.
func (chart *Chart) Next(state State, event Event) (State, error) {
	next, ok := chart.states[state].transitions[event]
	if !ok {
		return state, ErrNoTransition.New("%s: no transition for event %q in state %q", chart.name, event, state)
	}
	return next, nil
}

// HasFlag reports whether the state has the flag.
func (chart *Chart) HasFlag(state State, flag Flag) bool {
	return slices.Contains(chart.states[state].flags, flag)
}

// States returns the names of all states in alphabetical order.
func (chart *Chart) States() []State {
	names := make([]State, 0, len(chart.states))
	for name := range chart.states {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Events returns the events for which the state has a transition, in alphabetical order.
func (chart *Chart) Events(state State) []Event {
	events := make([]Event, 0, len(chart.states[state].transitions))
	for event := range chart.states[state].transitions {
		events = append(events, event)
	}
	slices.Sort(events)
	return events
}
