package node

import (
	"context"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/state"
)

// claims keeps idempotency keys in the replicated state.
type claims struct {
	control *control
}

// Claim reserves the key. Whatever the error, the caller has dispatched nothing, so the request has not run.
func (store claims) Claim(ctx context.Context, claim celerylanding.Claim) (celerylanding.ClaimState, celerylanding.RecordedAnswer, error) {
	result, err := store.control.propose(ctx, state.Command{Claim: &state.Claim{
		Service:     claim.Service,
		Key:         claim.Key,
		Fingerprint: claim.Fingerprint,
		Owner:       claim.Owner,
		TimeMillis:  time.Now().UnixMilli(),
	}})
	if err != nil {
		return 0, celerylanding.RecordedAnswer{}, celerylanding.NewCallError(celerylanding.NotRun,
			celerylanding.ReasonNoQuorum, "the idempotency key can't be claimed now: %v", err)
	}
	if result.Answer != nil {
		return result.Claim, *result.Answer, nil
	}
	return result.Claim, celerylanding.RecordedAnswer{}, nil
}

// Settle records the answer of a claim that this owner holds.
func (store claims) Settle(ctx context.Context, claim celerylanding.Claim, answer celerylanding.RecordedAnswer) error {
	_, err := store.control.propose(ctx, state.Command{SettleClaim: &state.SettleClaim{
		Service: claim.Service, Key: claim.Key, Owner: claim.Owner, Answer: answer}})
	return err
}

// Release gives up a claim whose request has not run.
func (store claims) Release(ctx context.Context, claim celerylanding.Claim) error {
	_, err := store.control.propose(ctx, state.Command{ReleaseClaim: &state.ReleaseClaim{
		Service: claim.Service, Key: claim.Key, Owner: claim.Owner}})
	return err
}
