package state

import (
	"time"

	celerylanding "celerylanding.example/celerylanding"
)

// claim reserves a key for its first owner; a later claim of the same key returns the state of the first request, and its response once
// settled.
func (state *State) claim(claim Claim) Result {
	state.expireClaims(claim.TimeMillis)
	id := claimID{claim.Service, claim.Key}
	result := state.unchanged()
	record, ok := state.claims[id]
	switch {
	case !ok:
		state.claims[id] = &claimRecord{fingerprint: claim.Fingerprint, owner: claim.Owner, timeMillis: claim.TimeMillis}
		state.claimOrder = append(state.claimOrder, id)
		result = state.accepted()
		result.Claim = celerylanding.ClaimGranted
	case record.fingerprint != claim.Fingerprint:
		result.Claim = celerylanding.ClaimMismatch
	case record.owner == claim.Owner && record.response == nil:
		// The owner's proposal was committed twice.
		result.Claim = celerylanding.ClaimGranted
	case record.response == nil:
		result.Claim = celerylanding.ClaimInProgress
	default:
		result.Claim = celerylanding.ClaimSettled
		result.Response = record.response
	}
	return result
}

// settleClaim records the response to the owner's request.
func (state *State) settleClaim(settle SettleClaim) Result {
	record, ok := state.claims[claimID{settle.Service, settle.Key}]
	if !ok || record.owner != settle.Owner {
		return state.refused("key is not claimed by %s", settle.Owner)
	}
	if record.response != nil {
		return state.unchanged()
	}
	response := settle.Response
	record.response = &response
	return state.accepted()
}

// releaseClaim deletes the owner's claim unless it has a response.
func (state *State) releaseClaim(release ReleaseClaim) Result {
	id := claimID{release.Service, release.Key}
	record, ok := state.claims[id]
	if !ok || record.owner != release.Owner || record.response != nil {
		return state.refused("key is not claimed by %s or already has a response", release.Owner)
	}
	delete(state.claims, id)
	return state.accepted()
}

// expireClaims deletes the claims that have reached the configured time to live.
func (state *State) expireClaims(nowMillis int64) {
	ttl := 24 * time.Hour
	if state.config != nil {
		ttl = state.config.ClaimTTL()
	}
	for len(state.claimOrder) > 0 {
		id := state.claimOrder[0]
		record, ok := state.claims[id]
		if ok && nowMillis-record.timeMillis < ttl.Milliseconds() {
			return
		}
		state.claimOrder = state.claimOrder[1:]
		if ok {
			delete(state.claims, id)
		}
	}
}
