package access

import "time"

// driftDivisor bounds the drift of a VM's clock: one part in 100.
const driftDivisor = 100

// Proof is the time as of which all acknowledged configurations are in force on a router. The zero value proves nothing.
type Proof struct {
	asOf time.Time
}

// Extend returns the proof after a reply of the leader or of a relay. The request was sent at a time of this router's clock; newest is the
// version that was the newest one at most age before the node handled the request, or zero if the node can't say; inForce is the version by
// which this router decides.
//
// The proof counts from the sending: the leader has looked at its lease later than that, whenever the reply arrives.
func (proof Proof) Extend(sent time.Time, age time.Duration, newest, inForce uint64) Proof {
	if newest == 0 || inForce < newest {
		return proof
	}
	age = max(0, age)
	asOf := sent.Add(-age - age/driftDivisor)
	if !asOf.After(proof.asOf) {
		return proof
	}
	return Proof{asOf: asOf}
}

// Covers reports whether all configurations that were acknowledged longer than a bound before a time are in force, whatever the drift of the clock.
func (proof Proof) Covers(at time.Time, bound time.Duration) bool {
	return !proof.asOf.IsZero() && at.Sub(proof.asOf) <= bound-bound/driftDivisor
}

// Age returns the time since the proof at a time; ok is false if nothing is proven.
func (proof Proof) Age(now time.Time) (age time.Duration, ok bool) {
	if proof.asOf.IsZero() {
		return 0, false
	}
	return max(0, now.Sub(proof.asOf)), true
}
