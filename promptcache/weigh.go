package promptcache

import (
	"slices"
	"time"

	celerylanding "celerylanding.example/celerylanding"
)

// Room describes a target's memory for prompts.
type Room struct {
	// Capacity is the size of the memory in tokens, which running requests and kept parts share; zero if unknown.
	Capacity int
	// Running is the number of requests that run on the target.
	Running int
}

// Terms are what a target's memory adds to the time in which the target would answer a request.
type Terms struct {
	// Kept is the number of leading tokens that the target is believed to keep, last used Age ago.
	Kept int
	Age  time.Duration
	// Saved is the time that the kept tokens need not be read for.
	Saved time.Duration
	// Displaced is the time that other requests are expected to lose, since what is read for this one takes the place of parts of theirs.
	Displaced time.Duration
}

// Gain returns the time by which the target's memory makes it the better choice, less than zero for the worse one.
func (terms Terms) Gain() time.Duration { return terms.Saved - terms.Displaced }

// Weigh returns the terms of a target of the given speed for a prompt. The choice of a target subtracts the gain from the time that the target would
// take to answer if it kept nothing, and compares: a busy target that keeps the parts loses to a free one where its wait is longer than the gain.
func (picture *Picture) Weigh(now time.Time, endpoint celerylanding.Endpoint, prompt *Prompt, speed Speed, room Room) Terms {
	picture.mutex.Lock()
	defer picture.mutex.Unlock()
	memory := picture.find(endpoint)
	if memory == nil {
		return Terms{}
	}
	var terms Terms
	if prompt.length > 0 {
		terms.Kept, terms.Age = memory.kept(now, prompt, memory.currentRetention(now))
		terms.Saved = speed.read(terms.Kept)
	}
	if room.Capacity > 0 && len(memory.parts) > 0 {
		free := room.Capacity - int(float64(room.Running)*picture.requestTokens)
		terms.Displaced = time.Duration(memory.displaced(now, prompt, prompt.tokens-terms.Kept, free) * float64(speed))
	}
	return terms
}

// displaced returns the number of tokens that other requests are expected to read again if the target reads some more for a prompt: those of the
// least recently used parts that then no longer fit into the free memory, each weighed by how often it is expected to be used while it would stay.
func (memory *memory) displaced(now time.Time, prompt *Prompt, reads, free int) float64 {
	excess := reads - free + memory.held
	if excess <= 0 {
		return 0
	}
	retention := memory.currentRetention(now)
	var parts []keptPart
	for chain, part := range memory.parts {
		if now.Sub(part.usedAt) <= retention && !prompt.has(chain) {
			parts = append(parts, part)
		}
	}
	slices.SortFunc(parts, func(a, b keptPart) int { return a.usedAt.Compare(b.usedAt) })
	var lost float64
	for _, part := range parts {
		if excess <= 0 {
			break
		}
		tokens := min(part.tokens, excess)
		excess -= tokens
		lost += float64(tokens) * part.expectedUses(now, retention)
	}
	return lost
}

// has reports whether a part belongs to the prompt.
func (prompt *Prompt) has(chain uint64) bool {
	for _, link := range prompt.links[:prompt.length] {
		if link.chain == chain {
			return true
		}
	}
	return false
}

// expectedUses returns how often the part is expected to be used before it would have been dropped anyway, at most once: after its next use, the
// target has read it again.
func (part keptPart) expectedUses(now time.Time, retention time.Duration) float64 {
	known := now.Sub(part.addedAt)
	if part.uses < 2 || known <= 0 {
		return 0
	}
	left := retention - now.Sub(part.usedAt)
	return min(1, float64(part.uses-1)*left.Seconds()/known.Seconds())
}
