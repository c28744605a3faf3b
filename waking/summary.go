package waking

import (
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
)

// Summary counts what a planner knows at one moment.
type Summary struct {
	// Engines are all known ones, Open those that take work, Suspect those that gave no answer to orders or had their address taken.
	Engines, Open, Suspect int
	// Models are those that the configuration names, Loaded those on open engines with Residents replicas in all, Scarce those with a copy on one open engine only and
	// Lost those with none.
	Models, Loaded, Residents, Scarce, Lost int
	// Waiting are the units that requests wait for, Fetching the loads from the store and MostFetches how many may run at once.
	Waiting, Fetching, MostFetches int
}

// Summary counts engines, models and loads.
func (planner *Planner) Summary(now time.Time) Summary {
	summary := Summary{Engines: len(planner.engines), Fetching: planner.fetches(), MostFetches: planner.maxFetches}
	copies := planner.copies()
	loaded := make(map[demandKey]bool)
	services := make(map[celerylanding.ServiceID]bool)
	for _, eng := range planner.engines {
		if eng.suspect {
			summary.Suspect++
		}
		if !eng.isOpen() || eng.spec == nil {
			continue
		}
		summary.Open++
		summary.Residents += len(eng.held)
		for id := range eng.held {
			loaded[demandKey{eng.service, feed.Unit{Model: id}}] = true
		}
		if services[eng.service] {
			continue
		}
		services[eng.service] = true
		for _, model := range eng.spec.Models {
			summary.Models++
			switch copies[demandKey{eng.service, feed.Unit{Model: model.ID}}] {
			case 0:
				summary.Lost++
			case 1:
				summary.Scarce++
			}
		}
	}
	summary.Loaded = len(loaded)
	for _, wanted := range planner.wants {
		if wanted.replica == 0 && !planner.isHeld(now, wanted) {
			summary.Waiting++
		}
	}
	return summary
}
