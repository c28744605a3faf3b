package state

import (
	"time"

	celerylanding "celerylanding.example/celerylanding"
)

// claim reserves a key once; a resend learns what became of the first request.
func (state *State) claim(claim Claim) Result {
	state.expireClaims(claim.TimeMillis)
	id := claimID{claim.Service, claim.Key}
	result := state.already()
	row, ok := state.claims[id]
	switch {
	case !ok:
		state.claims[id] = &claimRow{fingerprint: claim.Fingerprint, owner: claim.Owner, atMillis: claim.TimeMillis}
		state.claimOrder = append(state.claimOrder, id)
		result = state.accept()
		result.Claim = celerylanding.ClaimGranted
	case row.fingerprint != claim.Fingerprint:
		result.Claim = celerylanding.ClaimMismatch
	case row.owner == claim.Owner && row.answer == nil:
		// The owner's own proposal came through twice.
		result.Claim = celerylanding.ClaimGranted
	case row.answer == nil:
		result.Claim = celerylanding.ClaimInProgress
	default:
		result.Claim = celerylanding.ClaimSettled
		result.Answer = row.answer
	}
	return result
}

func (state *State) settleClaim(settle SettleClaim) Result {
	row, ok := state.claims[claimID{settle.Service, settle.Key}]
	if !ok || row.owner != settle.Owner {
		return state.refuse("key is not claimed by %s", settle.Owner)
	}
	if row.answer != nil {
		return state.already()
	}
	answer := settle.Answer
	row.answer = &answer
	return state.accept()
}

func (state *State) releaseClaim(release ReleaseClaim) Result {
	id := claimID{release.Service, release.Key}
	row, ok := state.claims[id]
	if !ok || row.owner != release.Owner || row.answer != nil {
		return state.refuse("key is not held open by %s", release.Owner)
	}
	delete(state.claims, id)
	return state.accept()
}

// expireClaims forgets the keys that are older than the configured time.
func (state *State) expireClaims(nowMillis int64) {
	ttl := 24 * time.Hour
	if state.config != nil {
		ttl = state.config.ClaimTTL()
	}
	for len(state.claimOrder) > 0 {
		id := state.claimOrder[0]
		row, ok := state.claims[id]
		if ok && nowMillis-row.atMillis < ttl.Milliseconds() {
			return
		}
		state.claimOrder = state.claimOrder[1:]
		if ok {
			delete(state.claims, id)
		}
	}
}
