package chart

import (
	"embed"
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"

	celerylanding "celerylanding.example/celerylanding"
)

// ErrInvalid means that a chart file has mistakes; the message names file and line.
var ErrInvalid = celerylanding.Namespace.NewType("invalid_chart")

// ErrNoTransition means that an event is not allowed in a state.
var ErrNoTransition = celerylanding.Namespace.NewType("no_transition")

// State is the name of a state.
type State string

// Event is the name of an event.
type Event string

// Flag is a property that a state has.
type Flag string

//go:embed *.yaml
var files embed.FS

// Chart is a checked state chart; it does not change.
type Chart struct {
	name    string
	initial State
	states  map[State]stateRow
}

type stateRow struct {
	flags []Flag
	on    map[Event]State
}

// Load reads one of the embedded charts by its file name.
func Load(name string) (*Chart, error) {
	text, err := files.ReadFile(name)
	if err != nil {
		return nil, ErrInvalid.Wrap(err, "%s", name)
	}
	return Parse(name, text)
}

// Parse reads a chart; every state must be reachable and every transition must lead to a state.
func Parse(name string, text []byte) (*Chart, error) {
	var root yaml.Node
	if err := yaml.Unmarshal(text, &root); err != nil {
		return nil, ErrInvalid.New("%s: %s", name, strings.TrimPrefix(err.Error(), "yaml: "))
	}
	if len(root.Content) == 0 {
		return nil, ErrInvalid.New("%s:1: empty chart", name)
	}
	parser := &parser{chart: &Chart{name: name, states: make(map[State]stateRow)}, lines: make(map[State]int)}
	if err := parser.readRoot(root.Content[0]); err != nil {
		return nil, err
	}
	return parser.chart, parser.check(root.Content[0])
}

// Initial returns the state in which the chart begins.
func (chart *Chart) Initial() State { return chart.initial }

// Next returns the state that follows; an event that the state does not know is an error.
func (chart *Chart) Next(state State, event Event) (State, error) {
	next, ok := chart.states[state].on[event]
	if !ok {
		return state, ErrNoTransition.New("%s: event %q in state %q", chart.name, event, state)
	}
	return next, nil
}

// HasFlag reports whether the state carries the flag.
func (chart *Chart) HasFlag(state State, flag Flag) bool {
	return slices.Contains(chart.states[state].flags, flag)
}

// States returns the names of all states, in order.
func (chart *Chart) States() []State {
	names := make([]State, 0, len(chart.states))
	for name := range chart.states {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Events returns the events that the state knows, in order.
func (chart *Chart) Events(state State) []Event {
	events := make([]Event, 0, len(chart.states[state].on))
	for event := range chart.states[state].on {
		events = append(events, event)
	}
	slices.Sort(events)
	return events
}
