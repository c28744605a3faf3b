package dispatch

import (
	"slices"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/forecast"
	"celerylanding.example/celerylanding/promptcache"
)

// PromptCache returns the picture of the prompt parts that targets keep, which the choice of a target uses.
func (picker *Picker) PromptCache() *promptcache.Picture { return picker.cache }

// appendKeepers appends the targets that are believed to keep the beginning of the request's prompt.
func (picker *Picker) appendKeepers(keepers []promptcache.Keeper, now time.Time, needs *Requirements) []promptcache.Keeper {
	if needs.Prompt == nil {
		return keepers
	}
	return picker.cache.AppendKeepers(keepers, now, needs.Prompt, maxKeepers, needs.Chance)
}

// keptTokens returns how much of the prompt the target is known to keep.
func keptTokens(keepers []promptcache.Keeper, target *feed.Target) int {
	for i := range keepers {
		if keepers[i].Endpoint.Incarnation == target.Incarnation && keepers[i].Endpoint.Target == target.ID {
			return keepers[i].Tokens
		}
	}
	return 0
}

// preferredTokens returns the tokens of the prompt that the target of all routers for its shared part is assumed to keep.
func (needs *Requirements) preferredTokens() int {
	if needs.SharedTokens > 0 {
		return needs.SharedTokens
	}
	return needs.PromptTokens
}

// assessKeepers assesses the candidates that keep a part of the prompt, and removes the other targets from the keepers.
func (picker *Picker) assessKeepers(assessment *assessment, table *Table, candidates []*feed.Target, unreachable []celerylanding.Endpoint) []celerylanding.Endpoint {
	kept := picker.keepers[:0]
	for _, keeper := range picker.keepers {
		target := table.byID[keeper.Endpoint.Target]
		if target == nil || target.Incarnation != keeper.Endpoint.Incarnation || !slices.Contains(candidates, target) {
			continue
		}
		kept = append(kept, keeper)
		unreachable = picker.assess(assessment, target, keeper.Tokens, unreachable)
	}
	picker.keepers = kept
	return unreachable
}

// displacedTime returns the time for which the target is expected to read parts of other requests again, since this one's prompt takes their place.
func (picker *Picker) displacedTime(assessment *assessment, target *feed.Target, stats *targetStats, outlook *forecast.Outlook) float64 {
	needs := assessment.needs
	if needs.Prompt == nil || outlook.Tokens == 0 || assessment.capacity == 0 {
		return 0
	}
	room := promptcache.Room{Capacity: assessment.capacity, Running: max(stats.load.Running, stats.model.InFlight())}
	return picker.cache.Weigh(assessment.now, target.Endpoint(), needs.Prompt, promptcache.Speed(outlook.ReadingTime(1)), room).Displaced.Seconds()
}
