package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/forecast"
	"celerylanding.example/celerylanding/preview"
)

// lossTerms are the parts of the loss of a choice, in units of the benefit of one request that is answered in time.
type lossTerms struct {
	late, first, work, harm, busy, failures, displaced, domain, limit float64
}

func (terms *lossTerms) sum() float64 {
	return terms.late + terms.first + terms.work + terms.harm + terms.busy + terms.failures + terms.displaced + terms.domain + terms.limit
}

// list returns the terms with their names.
func (terms *lossTerms) list() []preview.Term {
	return []preview.Term{{Name: "late", Value: terms.late}, {Name: "first event", Value: terms.first}, {Name: "reading", Value: terms.work},
		{Name: "harm", Value: terms.harm}, {Name: "busy", Value: terms.busy}, {Name: "failures", Value: terms.failures},
		{Name: "displaced", Value: terms.displaced}, {Name: "domain", Value: terms.domain}, {Name: "limit", Value: terms.limit}}
}

// Snapshot returns a picker with a copy of what this one knows of the targets of a service. Choices by the copy change nothing in the original.
func (picker *Picker) Snapshot(table *Table, service celerylanding.ServiceID) *Picker {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	snapshot := &Picker{domain: picker.domain, stats: make(map[celerylanding.TargetID]*targetStats),
		services: make(map[celerylanding.ServiceID]*forecast.Service), gate: picker.gate.Clone(), rooms: picker.rooms.Clone(),
		cache: picker.cache}
	model := picker.services[service]
	if model == nil {
		return snapshot
	}
	model = model.Clone()
	snapshot.services[service] = model
	for _, target := range slices.Concat(table.Targets(service), table.leaving[service]) {
		if stats := picker.stats[target.ID]; stats != nil {
			copied := *stats
			copied.misdirected = maps.Clone(stats.misdirected)
			copied.model = stats.model.Clone(model)
			snapshot.stats[target.ID] = &copied
		}
	}
	return snapshot
}

// Explain returns what the choice for a request knows of each target of its service: first the usable ones, those with the largest share before the
// others, then the excluded ones by name. The choice is played on a snapshot.
func (picker *Picker) Explain(now time.Time, table *Table, needs Requirements) []preview.Target {
	snapshot := picker.Snapshot(table, needs.Service)
	candidates := table.candidates(&needs)
	best, shares, held := snapshot.shares(now, table, candidates, needs)
	assessment := snapshot.newAssessment(now, table, candidates, &needs)
	var list []preview.Target
	for _, target := range slices.Concat(table.Targets(needs.Service), table.leaving[needs.Service]) {
		stats := snapshot.statsOf(target)
		entry := stats.describe(now, target)
		entry.Limit, entry.HasLimit = snapshot.gate.Limit(now, target)
		option := option{choice: Choice{Target: target}}
		terms := snapshot.weigh(&assessment, &option, stats, entry.HasLimit)
		entry.Loss, entry.Terms = terms.sum(), terms.list()
		entry.ExpectedFirstSeconds, entry.ReadTokens = option.choice.Outlook.First, option.choice.Size.Tokens
		share, isUsable := shares[target.ID]
		if entry.Share = share; !isUsable {
			entry.Excluded, entry.ExcludedSeconds = snapshot.exclusion(now, target, slices.Contains(candidates, target), needs)
			switch {
			case entry.Excluded == "" && held[target.ID]:
				entry.Excluded = preview.ExcludedLimit
			case entry.Excluded == "":
				entry.Excluded = preview.ExcludedOther
			}
		}
		list = append(list, entry)
	}
	slices.SortFunc(list, func(a, b preview.Target) int {
		return cmp.Or(strings.Compare(string(a.Excluded), string(b.Excluded)), cmp.Compare(b.Share, a.Share), cmp.Compare(a.Loss, b.Loss),
			cmp.Compare(isEqual(b.ID, best), isEqual(a.ID, best)), strings.Compare(string(a.ID), string(b.ID)))
	})
	for i := range list {
		if list[i].Excluded == "" {
			list[i].Rank = i + 1
		}
	}
	return list
}

// isEqual returns 1 for equal targets and 0 for others.
func isEqual(a, b celerylanding.TargetID) int {
	if a == b {
		return 1
	}
	return 0
}

// shares returns the target that is chosen without chance, the share of such requests that each usable target would get, and the targets that are
// passed over because of their limits. A usable target may have no share.
func (picker *Picker) shares(now time.Time, table *Table, candidates []*feed.Target, needs Requirements) (best celerylanding.TargetID,
	shares map[celerylanding.TargetID]float64, held map[celerylanding.TargetID]bool) {
	gate := picker.gate.Clone()
	choice, _, allowsOutliers := picker.find(now, table, candidates, needs)
	if choice.Target != nil {
		best = choice.Target.ID
	}
	shares, held = make(map[celerylanding.TargetID]float64), make(map[celerylanding.TargetID]bool)
	for _, target := range candidates {
		// Before outliers are allowed, all other targets have been tried.
		isAllowed := gate.Allow(now, target, table.Routers())
		if allowsOutliers && !isAllowed && !picker.statsOf(target).isOutlier(target) {
			isAllowed = gate.Allow(now, target, table.Routers())
		}
		held[target.ID] = !isAllowed || picker.hasNoRoom(now, target, table.Routers(), &needs)
		if !isAllowed {
			needs.Excluded = append(slices.Clip(needs.Excluded), target.ID)
		}
	}
	// Where chance decides which targets are looked at, each beginning is as likely.
	starts := 1
	if len(candidates) > maxAssessed {
		starts = len(candidates)
	}
	for start := range starts {
		needs.Chance = (float64(start) + anyChance) / float64(starts)
		picker.choose(now, table, candidates, needs, allowsOutliers)
		total := 0.0
		for _, option := range picker.options {
			total += option.loss
		}
		for _, option := range picker.options {
			// With a chance, the choice has replaced the losses by weights.
			shares[option.choice.Target.ID] += option.loss / total / float64(starts)
		}
	}
	return best, shares, held
}

// anyChance is a chance at which a choice weighs its options.
const anyChance = 0.5

// describe returns what the router has observed of a target.
func (stats *targetStats) describe(now time.Time, target *feed.Target) preview.Target {
	entry := preview.Target{ID: target.ID, Domain: target.Domain, Software: target.Software, InFlight: stats.model.InFlight(), Slots: target.Slots}
	if stats.slots > 0 {
		entry.HasReport, entry.ReportAgeSeconds = true, now.Sub(stats.reportedAt).Seconds()
		entry.Running, entry.Waiting, entry.Slots, entry.Slowdown = stats.load.Running, stats.load.Waiting, stats.slots, stats.load.Slowdown
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
	case stats.lacks(now, needs.Unit):
		return preview.ExcludedMisdirected, max(0, stats.misdirected[needs.Unit].until.Sub(now).Seconds())
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
