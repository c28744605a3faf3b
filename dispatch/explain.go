package dispatch

import (
	"slices"
	"strings"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/preview"
)

// costTerms are the parts of a target's cost, in shares of its slots.
type costTerms struct {
	load, failures, lateness, domain, limit, cacheMiss float64
}

func (terms *costTerms) sum() float64 {
	return terms.load + terms.failures + terms.lateness + terms.domain + terms.limit + terms.cacheMiss
}

// list returns the terms with their names.
func (terms *costTerms) list() []preview.Term {
	return []preview.Term{{Name: "load", Value: terms.load}, {Name: "failures", Value: terms.failures}, {Name: "lateness", Value: terms.lateness},
		{Name: "domain", Value: terms.domain}, {Name: "limit", Value: terms.limit}, {Name: "cache miss", Value: terms.cacheMiss}}
}

// Snapshot returns a picker with a copy of what this one knows of the targets of a service. Choices by the copy change nothing in the original.
func (picker *Picker) Snapshot(table *Table, service celerylanding.ServiceID) *Picker {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	snapshot := &Picker{domain: picker.domain, stats: make(map[celerylanding.TargetID]*targetStats), gate: picker.gate.Clone()}
	for _, target := range slices.Concat(table.Targets(service), table.leaving[service]) {
		if stats := picker.stats[target.ID]; stats != nil {
			copied := *stats
			snapshot.stats[target.ID] = &copied
		}
	}
	return snapshot
}

// Explain returns what the choice for a request knows of each target of its service: first the usable ones in the order of the choice, then the
// excluded ones by name. The choice is played on a snapshot.
func (picker *Picker) Explain(now time.Time, table *Table, needs Requirements) []preview.Target {
	snapshot := picker.Snapshot(table, needs.Service)
	candidates := table.Targets(needs.Service)
	if needs.Unit.Model != "" {
		candidates = table.TargetsForUnit(needs.Service, needs.Unit)
	}
	ranks, held := snapshot.rank(now, table, candidates, needs)
	preferred := affinityTarget(snapshot.sameDomain(candidates), needs)
	var list []preview.Target
	for _, target := range slices.Concat(table.Targets(needs.Service), table.leaving[needs.Service]) {
		stats := snapshot.statsOf(target)
		entry := stats.describe(now, target)
		entry.Limit, entry.HasLimit = snapshot.gate.Limit(now, target)
		terms := snapshot.terms(now, table, target, stats, needs, preferred)
		entry.Cost, entry.Terms = terms.sum(), terms.list()
		if entry.Rank = ranks[target.ID]; entry.Rank == 0 {
			entry.Excluded, entry.ExcludedSeconds = snapshot.exclusion(now, target, slices.Contains(candidates, target), needs)
			if entry.Excluded == "" && held[target.ID] {
				entry.Excluded = preview.ExcludedLimit
			}
			if entry.Excluded == "" {
				entry.Excluded = preview.ExcludedOther
			}
		}
		list = append(list, entry)
	}
	slices.SortFunc(list, func(a, b preview.Target) int {
		switch {
		case a.Rank > 0 && b.Rank > 0:
			return a.Rank - b.Rank
		case a.Rank+b.Rank > 0:
			return b.Rank - a.Rank
		}
		return strings.Compare(string(a.ID), string(b.ID))
	})
	return list
}

// rank returns the places of the targets, from 1 for the one that the request would get, and those that would be better but for their limits.
func (picker *Picker) rank(now time.Time, table *Table, candidates []*feed.Target, needs Requirements) (ranks map[celerylanding.TargetID]int,
	held map[celerylanding.TargetID]bool) {
	chosen, _ := picker.find(now, table, candidates, needs)
	order := picker.order(now, table, candidates, needs, false)
	if chosen != nil && !slices.Contains(order, chosen) {
		order = picker.order(now, table, candidates, needs, true)
	}
	ranks, held = make(map[celerylanding.TargetID]int), make(map[celerylanding.TargetID]bool)
	for _, target := range order {
		if len(ranks) == 0 && target != chosen {
			held[target.ID] = true
			continue
		}
		ranks[target.ID] = len(ranks) + 1
	}
	return ranks, held
}

// order plays the choice without limits again and again, each time without the targets that it has chosen before.
func (picker *Picker) order(now time.Time, table *Table, candidates []*feed.Target, needs Requirements, allowOutliers bool) []*feed.Target {
	var order []*feed.Target
	for {
		best, _ := picker.choose(now, table, candidates, needs, allowOutliers)
		if best == nil {
			return order
		}
		order = append(order, best)
		needs.Excluded = append(slices.Clip(needs.Excluded), best.ID)
	}
}

// describe returns what the router has observed of a target.
func (stats *targetStats) describe(now time.Time, target *feed.Target) preview.Target {
	entry := preview.Target{ID: target.ID, Domain: target.Domain, Software: target.Software, InFlight: stats.inFlight, Slots: target.Slots}
	if stats.slots > 0 {
		entry.HasReport, entry.ReportAgeSeconds = true, now.Sub(stats.loadReportedAt).Seconds()
		entry.Running, entry.Waiting, entry.Slots = stats.load.Running, stats.load.Waiting, stats.slots
	}
	return entry
}

// exclusion returns why a target can't get a request, limits aside, and the seconds until that ends by itself.
func (picker *Picker) exclusion(now time.Time, target *feed.Target, hasUnit bool, needs Requirements) (preview.Exclusion, float64) {
	stats := picker.statsOf(target)
	if target.Leaving {
		return preview.ExcludedLeaving, 0
	}
	if !hasUnit {
		if slices.ContainsFunc(target.Loaded, func(model feed.LoadedModel) bool { return model.Model == needs.Unit.Model && model.Draining }) {
			return preview.ExcludedUnloading, 0
		}
		return preview.ExcludedLacksUnit, 0
	}
	if cause, until := stats.obstacle(now, target); cause != "" {
		return cause, max(0, until.Sub(now).Seconds())
	}
	switch {
	case !needs.allowsSoftware(target):
		return preview.ExcludedSoftware, 0
	case stats.isOutlier(target):
		return preview.ExcludedOutlier, 0
	}
	return "", 0
}

// obstacle returns why no request can be sent to the target now, and when that ends, the zero time if that is not known; "" if there is none.
func (stats *targetStats) obstacle(now time.Time, target *feed.Target) (cause preview.Exclusion, until time.Time) {
	switch {
	case stats.isLeaving:
		return preview.ExcludedLeaving, time.Time{}
	case now.Before(stats.pausedUntil):
		return preview.ExcludedPaused, stats.pausedUntil
	case now.Before(stats.backoffUntil):
		return preview.ExcludedBackoff, stats.backoffUntil
	case target.Silent && now.Sub(stats.answeredAt) >= silentGrace:
		return preview.ExcludedSilent, time.Time{}
	}
	return "", time.Time{}
}
