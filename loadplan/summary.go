package loadplan

import (
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/routing"
)

// Summary holds counts of a planner's engines, models and loads.
type Summary struct {
	// Engines counts all known engines, Available those that accept work, and Suspect those that don't answer orders or at whose address
	// another target answers.
	Engines, Available, Suspect int
	// Models counts the configured models, Loaded those loaded on available engines, and Residents their replicas. SingleCopy counts the models
	// with a copy on the disk of exactly one available engine, and NoCopy those without a copy.
	Models, Loaded, Residents, SingleCopy, NoCopy int
	// Waiting counts the units that requests wait for, Fetching the loads from the store in progress; FetchLimit is the limit of these.
	Waiting, Fetching, FetchLimit int
	// Pressed counts the models that need replicas because of the work that their prompts are.
	Pressed int
}

// Summary returns the current counts.
func (planner *Planner) Summary(now time.Time) Summary {
	summary := Summary{Engines: len(planner.engines), Fetching: planner.fetches(), FetchLimit: planner.fetchLimit}
	loaded := make(map[demandKey]bool)
	services := make(map[celerylanding.ServiceID]*routing.Engine)
	for _, eng := range planner.engines {
		if eng.suspect {
			summary.Suspect++
		}
		if !eng.isAvailable() || eng.spec == nil {
			continue
		}
		summary.Available++
		summary.Residents += len(eng.residents)
		for id := range eng.residents {
			loaded[demandKey{eng.service, feed.Unit{Model: id}}] = true
		}
		services[eng.service] = eng.spec
	}
	summary.Loaded = len(loaded)
	planner.countCopies(&summary, services)
	for key := range planner.demand {
		if key.unit.Adapter == "" && planner.replicasForWork(now, key.service, key.unit.Model) > 0 {
			summary.Pressed++
		}
	}
	for _, load := range planner.pending {
		if load.replica == 0 && !planner.isServed(now, load) {
			summary.Waiting++
		}
	}
	return summary
}

// countCopies counts the services' configured models by the number of copies of their weights.
func (planner *Planner) countCopies(summary *Summary, services map[celerylanding.ServiceID]*routing.Engine) {
	for service, spec := range services {
		for _, model := range spec.Models {
			summary.Models++
			switch planner.diskCopies(service, model.ID) {
			case 0:
				summary.NoCopy++
			case 1:
				summary.SingleCopy++
			}
		}
	}
}
