package waking

import (
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/routing"
)

// Summary counts what a planner knows at one moment.
type Summary struct {
	// Engines are all known ones, Available those that take work, Suspect those that gave no answer to orders or had their address taken.
	Engines, Available, Suspect int
	// Models are those that the configuration names, Loaded those on open engines with Residents replicas in all, SingleCopy those with a copy on one open engine only and
	// NoCopy those with none.
	Models, Loaded, Residents, SingleCopy, NoCopy int
	// Waiting are the units that requests wait for, Fetching the loads from the store and FetchLimit how many may run at once.
	Waiting, Fetching, FetchLimit int
}

// Summary counts engines, models and loads.
func (planner *Planner) Summary(now time.Time) Summary {
	summary := Summary{Engines: len(planner.engines), Fetching: planner.fetches(), FetchLimit: planner.maxFetches}
	loaded := make(map[demandKey]bool)
	services := make(map[celerylanding.ServiceID]*routing.Engine)
	for _, eng := range planner.engines {
		if eng.suspect {
			summary.Suspect++
		}
		if !eng.isOpen() || eng.spec == nil {
			continue
		}
		summary.Available++
		summary.Residents += len(eng.held)
		for id := range eng.held {
			loaded[demandKey{eng.service, feed.Unit{Model: id}}] = true
		}
		services[eng.service] = eng.spec
	}
	summary.Loaded = len(loaded)
	summary.countCopies(planner.copies(), services)
	for _, wanted := range planner.wants {
		if wanted.replica == 0 && !planner.isHeld(now, wanted) {
			summary.Waiting++
		}
	}
	return summary
}

// countCopies counts the models that the services' engines may hold by the number of copies of their weights.
func (summary *Summary) countCopies(copies map[demandKey]int, services map[celerylanding.ServiceID]*routing.Engine) {
	for service, spec := range services {
		for _, model := range spec.Models {
			summary.Models++
			switch copies[demandKey{service, feed.Unit{Model: model.ID}}] {
			case 0:
				summary.NoCopy++
			case 1:
				summary.SingleCopy++
			}
		}
	}
}
