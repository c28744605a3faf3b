package loadplan

import (
	"fmt"
	"math"
	"slices"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
)

// CheckIndex returns an error if the index of models differs from what the engines hold.
func (planner *Planner) CheckIndex() error {
	expected := make(modelIndex)
	for id, eng := range planner.engines {
		if eng.endpoint.Target != id || !slices.Contains(planner.ordered, eng) {
			return fmt.Errorf("engine %q is missing in the ordered list", id)
		}
		expected.addEngine(eng)
	}
	if len(planner.ordered) != len(planner.engines) {
		return fmt.Errorf("%d engines in order, %d known", len(planner.ordered), len(planner.engines))
	}
	if !slices.IsSortedFunc(planner.ordered, func(a, b *engine) int { return compareTarget(a, b.endpoint.Target) }) {
		return fmt.Errorf("engines are not in order")
	}
	keys := make(map[modelKey]bool)
	for key := range expected {
		keys[key] = true
	}
	for key := range planner.index {
		keys[key] = true
	}
	for key := range keys {
		if !sameEngines(expected.holders(key.service, key.model), planner.index.holders(key.service, key.model)) ||
			!sameEngines(expected.copies(key.service, key.model), planner.index.copies(key.service, key.model)) {
			return fmt.Errorf("index of model %q differs from the engines", key.model)
		}
	}
	return nil
}

func sameEngines(a, b []*engine) bool {
	compare := func(x, y *engine) int { return compareTarget(x, y.endpoint.Target) }
	return slices.Equal(slices.SortedFunc(slices.Values(a), compare), slices.SortedFunc(slices.Values(b), compare))
}

// CheckAssignment returns an error if a load of the model would go to another engine than the cheapest of all engines.
func (planner *Planner) CheckAssignment(now time.Time, service celerylanding.ServiceID, id celerylanding.ModelID, waiting int) error {
	newLoad := func() *pendingLoad {
		return &pendingLoad{service: service, unit: feed.Unit{Model: id}, waiting: map[celerylanding.NodeID]int{"n": waiting}}
	}
	var best *engine
	lowest := math.Inf(1)
	for _, eng := range planner.ordered {
		if !eng.isAvailable() || eng.service != service || eng.spec == nil {
			continue
		}
		if cost, ok := planner.cost(now, eng, newLoad(), math.Inf(1)); ok && cost < lowest {
			best, lowest = eng, cost
		}
	}
	load := newLoad()
	planner.assign(now, load)
	chosen := load.engine
	planner.dequeue(load)
	if chosen != best {
		return fmt.Errorf("load of model %q goes to %v, the cheapest engine is %v", id, chosen, best)
	}
	return nil
}
