package promptcache

import (
	"cmp"
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
	terms.Displaced = memory.displacedTime(now, prompt, prompt.tokens-terms.Kept, speed, room)
	return terms
}

// Displaced returns the time that other requests are expected to lose if the target reads a number of the prompt's tokens.
func (picture *Picture) Displaced(now time.Time, endpoint celerylanding.Endpoint, prompt *Prompt, reads int, speed Speed, room Room) time.Duration {
	if room.Capacity == 0 {
		return 0
	}
	picture.mutex.Lock()
	defer picture.mutex.Unlock()
	memory := picture.find(endpoint)
	if memory == nil {
		return 0
	}
	return memory.displacedTime(now, prompt, reads, speed, room)
}

func (memory *memory) displacedTime(now time.Time, prompt *Prompt, reads int, speed Speed, room Room) time.Duration {
	if room.Capacity == 0 || len(memory.parts) == 0 {
		return 0
	}
	free := room.Capacity - int(float64(room.Running)*memory.picture.requestTokens)
	return time.Duration(memory.displaced(now, prompt, reads, free) * float64(speed))
}

// displaced returns the number of tokens that other requests are expected to read again if the target reads some more for a prompt: those of the
// least recently used parts that then no longer fit into the free memory, each weighed by how often it is expected to be used while it would stay.
// Those that don't fit even without the prompt are gone already.
func (memory *memory) displaced(now time.Time, prompt *Prompt, reads, free int) float64 {
	if reads-free+memory.held <= 0 {
		return 0
	}
	retention := memory.currentRetention(now)
	gone := max(0, memory.held-max(0, free))
	excess := min(reads, reads-free+memory.held)
	var lost float64
	parts := memory.byUse()
	first, _ := slices.BinarySearchFunc(parts, gone, func(part orderedPart, gone int) int { return cmp.Compare(part.end, gone+1) })
	if first < len(parts) {
		gone -= parts[first].end - parts[first].tokens
	}
	for i := first; i < len(parts) && excess > 0; i++ {
		part := &parts[i]
		if now.Sub(part.usedAt) > retention || prompt.has(part.chain) {
			continue
		}
		tokens := min(part.tokens-gone, excess)
		gone = 0
		excess -= tokens
		lost += float64(tokens) * part.expectedUses(now, retention)
	}
	return lost
}

// orderedPart is a part with its chain, and the number of tokens up to its end.
type orderedPart struct {
	keptPart
	chain uint64
	end   int
}

// byUse returns the parts, the least recently used one first.
func (memory *memory) byUse() []orderedPart {
	if !memory.isChanged {
		return memory.order
	}
	memory.order, memory.isChanged = memory.order[:0], false
	for chain, part := range memory.parts {
		memory.order = append(memory.order, orderedPart{part, chain, 0})
	}
	slices.SortFunc(memory.order, func(a, b orderedPart) int { return a.usedAt.Compare(b.usedAt) })
	end := 0
	for i := range memory.order {
		end += memory.order[i].tokens
		memory.order[i].end = end
	}
	return memory.order
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
