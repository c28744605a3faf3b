package dispatch

import (
	"time"

	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/promptcache"
)

// PromptCache returns the picture of the prompt parts that targets keep, which the choice of a target uses.
func (picker *Picker) PromptCache() *promptcache.Picture { return picker.cache }

// keptTokens returns the tokens that each candidate keeps of the request's prompt, or nil if none is known to keep any.
func (picker *Picker) keptTokens(now time.Time, candidates []*feed.Target, needs Requirements) []int {
	if needs.Prompt == nil || needs.Prompt.SharedTokens() == 0 {
		return nil
	}
	return picker.cache.KeptByEach(now, candidates, needs.Prompt)
}

// missCost returns the cost of the tokens that other requests have made some target read and that this one must read again.
func missCost(needs Requirements, kept int) float64 {
	shared := needs.Prompt.SharedTokens()
	return cacheMissCostOf(needs) * float64(shared-kept) / float64(shared)
}
