package proxy

import (
	"time"

	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/promptcache"
)

// beginPrompt records that the current attempt's target reads the prompt next. The function that it returns ends the attempt: if its answer has not
// begun, nobody knows what the target has read.
func (handler *Handler) beginPrompt(now time.Time, call *call) (end func()) {
	cache, target := handler.picker.PromptCache(), call.target
	call.isPromptRead = false
	call.promptSent = cache.RecordSent(now, target, &call.prompt)
	return func() {
		if !call.isPromptRead {
			cache.RecordFailed(target.Endpoint(), &call.prompt)
		}
	}
}

// recordPromptRead records that the current attempt's answer has begun.
func (handler *Handler) recordPromptRead(now time.Time, call *call, took time.Duration) {
	call.isPromptRead = true
	if shared := call.prompt.SharedTokens(); shared > 0 {
		handler.options.Metrics.Counter("prompt_tokens_shared").Inc(int64(shared))
		handler.options.Metrics.Counter("prompt_tokens_kept").Inc(int64(call.promptSent.Believed()))
	}
	answer := promptcache.Answer{Took: took}
	if outlook := &call.outlook; outlook.Tokens > 0 {
		answer.Speed = promptcache.Speed(outlook.ReadingTime(1))
		answer.Whole = outlook.ExpectedFirst() + outlook.ReadingTime(call.metadata.PromptTokens-outlook.Tokens)
	}
	handler.picker.PromptCache().RecordAnswer(now, call.target, &call.prompt, call.promptSent, answer)
}

// KeptParts returns the parts of prompts that targets have read since the last call.
func (handler *Handler) KeptParts(now time.Time) []feed.KeptPart {
	cache := handler.picker.PromptCache()
	handler.options.Metrics.Gauge("prompt_parts").Update(float64(cache.Size()))
	return cache.TakeReport(now)
}

// MergeKeptParts takes over the parts of prompts that other routers have reported.
func (handler *Handler) MergeKeptParts(now time.Time, parts []feed.KeptPart) {
	handler.picker.PromptCache().Merge(now, parts)
}
