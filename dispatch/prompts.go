package dispatch

import (
	"math"
	"slices"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/forecast"
	"celerylanding.example/celerylanding/promptcache"
)

// PromptCache returns the picture of the prompt parts that targets keep, which the choice of a target uses.
func (picker *Picker) PromptCache() *promptcache.Picture { return picker.cache }

// findKeepers returns the candidates that are known to keep the beginning of the request's prompt; where there are many candidates, some of them, so
// that places are left to others, which may be free. The list is valid until the next call.
func (picker *Picker) findKeepers(now time.Time, table *Table, candidates []*feed.Target, needs *Requirements) []promptcache.Keeper {
	if needs.Prompt == nil {
		return nil
	}
	limit := math.MaxInt
	if len(candidates) > maxAssessed {
		limit = maxKeepers
	}
	picker.keepers = picker.cache.AppendKeepers(picker.keepers[:0], now, needs.Prompt, limit, needs.Chance)
	picker.keepers = slices.DeleteFunc(picker.keepers, func(keeper promptcache.Keeper) bool {
		target := table.byID[keeper.Endpoint.Target]
		return target == nil || target.Incarnation != keeper.Endpoint.Incarnation || !slices.Contains(candidates, target)
	})
	return picker.keepers
}

// keptTokens returns how much of the prompt a target keeps that is one of the keepers.
func (assessment *assessment) keptTokens(target *feed.Target) int {
	for i := range assessment.keepers {
		if keeper := &assessment.keepers[i]; keeper.Endpoint.Incarnation == target.Incarnation && keeper.Endpoint.Target == target.ID {
			return keeper.Tokens
		}
	}
	return 0
}

// cachedTokens returns how much of the prompt the target is believed to keep. Where none is known to keep any, it is the one that all routers prefer.
func (picker *Picker) cachedTokens(assessment *assessment, target *feed.Target) int {
	needs, tokens := assessment.needs, 0
	switch {
	case target == assessment.preferred && needs.SharedTokens > 0:
		tokens = needs.SharedTokens
	case target == assessment.preferred:
		tokens = needs.PromptTokens
	case len(assessment.keepers) > 0:
		if tokens = assessment.keptTokens(target); tokens == 0 && len(assessment.keepers) == maxKeepers {
			// There may be more of them.
			tokens, _ = picker.cache.Kept(assessment.now, target.Endpoint(), needs.Prompt)
		}
	}
	return min(tokens, needs.PromptTokens)
}

// assessKeepers assesses the candidates that keep a part of the prompt.
func (picker *Picker) assessKeepers(assessment *assessment, table *Table, unreachable []celerylanding.Endpoint) []celerylanding.Endpoint {
	for i := range assessment.keepers {
		unreachable = picker.assess(assessment, table.byID[assessment.keepers[i].Endpoint.Target], unreachable)
	}
	return unreachable
}

// displacedTime returns the time for which the target is expected to read parts of other requests again, since this one's prompt takes their place.
func (picker *Picker) displacedTime(assessment *assessment, target *feed.Target, stats *targetStats, outlook *forecast.Outlook) float64 {
	needs := assessment.needs
	if needs.Prompt == nil || outlook.Tokens == 0 || assessment.capacity == 0 {
		return 0
	}
	room := promptcache.Room{Capacity: assessment.capacity, Running: max(stats.load.Running, stats.model.InFlight())}
	return picker.cache.Displaced(assessment.now, target.Endpoint(), needs.Prompt, outlook.Tokens, promptcache.Speed(outlook.ReadingTime(1)), room).Seconds()
}
