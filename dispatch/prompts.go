package dispatch

import (
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/forecast"
	"celerylanding.example/celerylanding/promptcache"
)

// PromptCache returns the picture of the prompt parts that targets keep, which the choice of a target uses.
func (picker *Picker) PromptCache() *promptcache.Picture { return picker.cache }

// keptTokens returns the tokens that each candidate keeps of the request's prompt, or nil if none is known to keep any.
func (picker *Picker) keptTokens(now time.Time, candidates []*feed.Target, needs *Requirements) []int {
	if needs.Prompt == nil || needs.Prompt.SharedTokens() == 0 {
		return nil
	}
	return picker.cache.KeptByEach(now, candidates, needs.Prompt)
}

// preferredTokens returns the tokens of the prompt that the target of all routers for its shared part is assumed to keep.
func (needs *Requirements) preferredTokens() int {
	if needs.SharedTokens > 0 {
		return needs.SharedTokens
	}
	return needs.PromptTokens
}

// assessKeepers assesses the candidates that keep a part of the prompt, from the start on. Some places are left to others, which may be free.
func (picker *Picker) assessKeepers(assessment *assessment, candidates []*feed.Target, kept []int, start int,
	unreachable []celerylanding.Endpoint) []celerylanding.Endpoint {
	for i := range candidates {
		index := (start + i) % len(candidates)
		if kept[index] > 0 && len(picker.options) < maxKeepers {
			unreachable = picker.assess(assessment, candidates[index], kept[index], unreachable)
		}
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
	return picker.cache.Weigh(assessment.now, target.Endpoint(), needs.Prompt, promptcache.Speed(outlook.ReadingTime(1)), room).Displaced.Seconds()
}
