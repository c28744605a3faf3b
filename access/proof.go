package access

import "time"

// driftDivisor bounds the drift of a VM's clock: one part in 100.
const driftDivisor = 100

// Word is what a node was told of the newest configuration: its version, as of a time by the clock of the node.
type Word struct {
	asOf    time.Time
	version uint64
}

// NewWord returns the word of a reply to a request that was sent at a time: the version that was the newest one at most age before the asked node
// handled the request, or zero if that node can't say.
//
// It counts from the sending, since a process that has stood still reads old replies.
func NewWord(sent time.Time, age time.Duration, version uint64) Word {
	age = max(0, age)
	return Word{asOf: sent.Add(-age - age/driftDivisor), version: version}
}

// At returns the version and its age, for a reply to a request that is handled now.
func (word Word) At(now time.Time) (age time.Duration, version uint64) {
	return now.Sub(word.asOf), word.version
}

// Proof is the time as of which all acknowledged configurations are in force on a router. The zero value proves nothing.
type Proof struct {
	asOf time.Time
}

// Extend returns the proof after a word on the newest configuration, while the router decides by the version in force.
func (proof Proof) Extend(word Word, inForce uint64) Proof {
	if word.version == 0 || inForce < word.version || !word.asOf.After(proof.asOf) {
		return proof
	}
	return Proof{asOf: word.asOf}
}

// Covers reports whether all configurations that were acknowledged longer than a bound before a time are in force, whatever the drift of the clock.
func (proof Proof) Covers(at time.Time, bound time.Duration) bool {
	return !proof.asOf.IsZero() && at.Sub(proof.asOf) <= bound-bound/driftDivisor
}

// AsOf returns the time of the proof; zero if nothing is proven.
func (proof Proof) AsOf() time.Time { return proof.asOf }

// Age returns the time since the proof at a time; ok is false if nothing is proven.
func (proof Proof) Age(now time.Time) (age time.Duration, ok bool) {
	if proof.asOf.IsZero() {
		return 0, false
	}
	return max(0, now.Sub(proof.asOf)), true
}
