package node

import (
	"context"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/state"
)

// claimStore keeps idempotency keys in the replicated state.
type claimStore struct {
	control *control
}

// Claim reserves the key. The caller dispatches a request only after its claim succeeds, so after any error the request has not run.
func (store claimStore) Claim(ctx context.Context, claim celerylanding.Claim) (celerylanding.ClaimState, celerylanding.RecordedResponse, error) {
	result, err := store.control.propose(ctx, state.Command{Claim: &state.Claim{
		Service:     claim.Service,
		Key:         claim.Key,
		Fingerprint: claim.Fingerprint,
		Owner:       claim.Owner,
		TimeMillis:  time.Now().UnixMilli(),
	}})
	if err != nil {
		return 0, celerylanding.RecordedResponse{}, celerylanding.NewCallError(celerylanding.NotRun,
			celerylanding.ReasonNoQuorum, "the idempotency key can't be claimed now: %v", err)
	}
	if result.Response != nil {
		return result.Claim, *result.Response, nil
	}
	return result.Claim, celerylanding.RecordedResponse{}, nil
}

// Settle records the response to the request of a claim that this owner holds.
func (store claimStore) Settle(ctx context.Context, claim celerylanding.Claim, response celerylanding.RecordedResponse) error {
	_, err := store.control.propose(ctx, state.Command{SettleClaim: &state.SettleClaim{
		Service: claim.Service, Key: claim.Key, Owner: claim.Owner, Response: response}})
	return err
}

// Release releases a claim whose request has not run.
func (store claimStore) Release(ctx context.Context, claim celerylanding.Claim) error {
	_, err := store.control.propose(ctx, state.Command{ReleaseClaim: &state.ReleaseClaim{
		Service: claim.Service, Key: claim.Key, Owner: claim.Owner}})
	return err
}
