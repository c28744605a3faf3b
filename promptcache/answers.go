package promptcache

import (
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
)

const (
	// reportInterval is how long a part is not reported again by a router that knows that the others know of it.
	reportInterval = 4 * time.Second
	// maxPending bounds the parts that wait to be reported.
	maxPending = 64
	// requestWeight is the weight of the newest request in the average size.
	requestWeight = 0.05
	// provenShare is the part of the expected saving by which an answer must be quicker than one without it to prove that the parts were kept.
	provenShare = 0.5
	// enoughMisses is the number of late answers in a row that shorten the retention, since a single one may have had another cause.
	enoughMisses = 2
)

// pendingPart is a part that waits to be reported.
type pendingPart struct {
	part   feed.KeptPart
	readAt time.Time
}

// Sent is what a target was believed to keep of a prompt when a request was sent there.
type Sent struct {
	// tokens are those that the target keeps if it keeps unused parts for the longest time, and age the time since they were used.
	tokens int
	age    time.Duration
	// believed are those that the target was believed to keep.
	believed int
}

// Believed returns the number of leading tokens that the target was believed to keep.
func (sent Sent) Believed() int { return sent.believed }

// RecordSent records that a request is sent to a target, which reads the parts of its prompt next.
func (picture *Picture) RecordSent(now time.Time, target *feed.Target, prompt *Prompt) Sent {
	picture.mutex.Lock()
	defer picture.mutex.Unlock()
	if picture.requestTokens == 0 {
		picture.requestTokens = float64(prompt.tokens)
	}
	picture.requestTokens += requestWeight * (float64(prompt.tokens) - picture.requestTokens)
	if prompt.length == 0 {
		return Sent{}
	}
	memory := picture.memoryOf(target)
	if memory == nil {
		return Sent{}
	}
	var sent Sent
	sent.tokens, sent.age = memory.kept(now, prompt, longestRetention)
	sent.believed, _ = memory.kept(now, prompt, memory.currentRetention(now))
	memory.add(now, prompt, false)
	return sent
}

// RecordFailed records that a request has ended without the first event of its answer. Parts that were only sent are forgotten.
func (picture *Picture) RecordFailed(endpoint celerylanding.Endpoint, prompt *Prompt) {
	picture.mutex.Lock()
	defer picture.mutex.Unlock()
	memory := picture.find(endpoint)
	if memory == nil {
		return
	}
	for _, link := range prompt.links[:prompt.length] {
		if part, ok := memory.parts[link.chain]; ok && !part.isRead {
			memory.drop(link.chain)
		}
	}
}

// Answer is what the first event of an answer shows.
type Answer struct {
	// Took is the time from the sending of the request to the first event.
	Took time.Duration
	// Whole is the time that the target was expected to take if it kept nothing of the prompt, with the wait for other requests; zero if unknown.
	Whole time.Duration
	// Speed is that of the target; zero if unknown.
	Speed Speed
}

// RecordAnswer records that the first event of an answer has arrived: the target has the whole prompt in memory now. An answer that took as long as
// one without the kept parts suggests that the target drops parts sooner than was believed; a quicker one proves that it has kept them.
func (picture *Picture) RecordAnswer(now time.Time, target *feed.Target, prompt *Prompt, sent Sent, answer Answer) {
	if prompt.length == 0 {
		return
	}
	picture.mutex.Lock()
	defer picture.mutex.Unlock()
	memory := picture.memoryOf(target)
	if memory == nil {
		return
	}
	if saved := answer.Speed.read(sent.tokens); saved > 0 && answer.Whole > 0 && sent.age >= shortestRetention {
		memory.learn(now, sent.age, answer, saved)
	}
	memory.add(now, prompt, true)
	for _, link := range prompt.links[:prompt.length] {
		part := memory.parts[link.chain]
		if !part.reportedAt.IsZero() && now.Sub(part.reportedAt) < reportInterval {
			continue
		}
		if len(picture.pending) == maxPending {
			picture.pending = append(picture.pending[:0], picture.pending[1:]...)
		}
		picture.pending = append(picture.pending, pendingPart{feed.KeptPart{Target: memory.hash, Chain: link.chain, Tokens: link.tokens}, now})
		part.reportedAt = now
		memory.put(link.chain, part)
	}
}

// learn corrects the belief about how long the target keeps parts that no request uses, by an answer to a request whose parts had not been used for
// a time.
func (memory *memory) learn(now time.Time, unused time.Duration, answer Answer, saved time.Duration) {
	switch {
	case answer.Took < answer.Whole-time.Duration(provenShare*float64(saved)):
		memory.misses = 0
		if unused > memory.currentRetention(now) {
			memory.retention, memory.missedAt = unused, now
		}
	case answer.Took >= answer.Whole:
		memory.misses++
		if memory.misses >= enoughMisses && unused <= memory.currentRetention(now) {
			memory.retention, memory.missedAt = max(shortestRetention, unused/2), now
		}
	}
}
