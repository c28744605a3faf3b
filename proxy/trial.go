package proxy

import (
	"context"
	"maps"
	"strconv"
	"sync"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
)

const (
	// trialTimeout is the timeout of one call to the leader about a trial.
	trialTimeout = 400 * time.Millisecond
	// trialInterval is the shortest time between two calls for the same request, and the longest between two looks at its state.
	trialInterval = 100 * time.Millisecond
	// trialMemory is how long a request that the leader no longer lists is held back until the leader says that it is free; a new leader
	// lists none at first.
	trialMemory = 2 * time.Second
	// trialRetryDelay is the Retry-After delay of a copy that can't wait any longer.
	trialRetryDelay = time.Second
)

// trialGate holds back copies of the requests that have ended with their targets, so that the router asks the leader for one at a time.
type trialGate struct {
	mutex sync.Mutex
	// listed maps the fingerprints of these requests to when the leader last listed them.
	listed map[uint64]time.Time
	// running are the requests with a copy that runs or that the leader is asked for, and askAt is when the leader may be asked again.
	running map[uint64]bool
	askAt   map[uint64]time.Time
	// changed is closed when a copy ends.
	changed chan struct{}
}

func newTrialGate() *trialGate {
	return &trialGate{listed: make(map[uint64]time.Time), running: make(map[uint64]bool), askAt: make(map[uint64]time.Time),
		changed: make(chan struct{})}
}

// update records the leader's list.
func (gate *trialGate) update(now time.Time, fingerprints []uint64) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	for _, fingerprint := range fingerprints {
		gate.listed[fingerprint] = now
	}
	maps.DeleteFunc(gate.listed, func(_ uint64, at time.Time) bool { return now.Sub(at) > trialMemory })
	maps.DeleteFunc(gate.askAt, func(_ uint64, at time.Time) bool { return now.After(at) })
}

// isEmpty reports whether no request is held back.
func (gate *trialGate) isEmpty() bool {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	return len(gate.listed) == 0
}

// isListed reports whether copies of the request run one at a time.
func (gate *trialGate) isListed(fingerprint uint64) bool {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	_, isListed := gate.listed[fingerprint]
	return isListed
}

// begin reports whether the request needs the leader's consent, and if so, whether the leader may be asked now. Otherwise the caller waits on the
// returned channel.
func (gate *trialGate) begin(now time.Time, fingerprint uint64) (isNeeded, mayAsk bool, changed <-chan struct{}) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	if _, isNeeded = gate.listed[fingerprint]; !isNeeded {
		return false, false, nil
	}
	if gate.running[fingerprint] || now.Before(gate.askAt[fingerprint]) {
		return true, false, gate.changed
	}
	gate.running[fingerprint] = true
	return true, true, gate.changed
}

// deny records that the leader did not let a copy run.
func (gate *trialGate) deny(now time.Time, fingerprint uint64) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	delete(gate.running, fingerprint)
	gate.askAt[fingerprint] = now.Add(trialInterval)
}

// end records the end of a copy; after an answer the others are free.
func (gate *trialGate) end(fingerprint uint64, isAnswered bool) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	delete(gate.running, fingerprint)
	if isAnswered {
		delete(gate.listed, fingerprint)
	}
	close(gate.changed)
	gate.changed = make(chan struct{})
}

// trial is the leader's consent to one attempt.
type trial struct {
	mayRun bool
	// run is zero for a request that needs no consent, and sends is how often the request had been sent before the attempt.
	run   uint64
	sends int
}

// beginTrial asks the leader for consent if copies of the request have ended with their targets. While another copy runs, it waits for a while and
// returns without consent; the caller then chooses a target anew.
func (handler *Handler) beginTrial(ctx context.Context, call *call, target *feed.Target) (trial, *refusal) {
	if handler.trials.isEmpty() {
		return trial{mayRun: true}, nil
	}
	now, fingerprint := handler.options.Clock(), call.fingerprints()[0]
	isNeeded, mayAsk, changed := handler.trials.begin(now, fingerprint)
	if !isNeeded {
		return trial{mayRun: true}, nil
	}
	if mayAsk {
		run := hash(string(handler.options.Node), call.metadata.ID, strconv.Itoa(call.sends))
		reply, err := handler.askLeader(ctx, feed.TrialArgs{Node: handler.options.Node, Fingerprint: fingerprint, Run: run,
			Target: target.ID, Longest: call.deadline.Sub(now)})
		switch {
		case reply.MayRun:
			return trial{mayRun: true, run: run, sends: call.sends}, nil
		case reply.IsQuarantined:
			handler.trials.end(fingerprint, false)
			return trial{}, unavailableOrFailed(call, celerylanding.ReasonQuarantined, 0, "the request has crashed the targets that ran it")
		case err != nil:
			handler.options.Log.Warn().Str("request", call.metadata.ID).Uint64("fingerprint", fingerprint).Err(err).
				Msg("leader did not answer for a copy of a suspicious request")
		}
		handler.trials.deny(handler.options.Clock(), fingerprint)
	}
	return trial{}, handler.awaitTrial(ctx, now, call, changed)
}

func (handler *Handler) askLeader(ctx context.Context, args feed.TrialArgs) (feed.TrialReply, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), trialTimeout)
	defer cancel()
	return handler.options.Leader.Trial(ctx, args)
}

// awaitTrial waits until another copy may have ended. It refuses a request whose caller would not wait for an answer after that.
func (handler *Handler) awaitTrial(ctx context.Context, now time.Time, call *call, changed <-chan struct{}) *refusal {
	if handler.refusesWaiting.Load() {
		return unavailableOrFailed(call, celerylanding.ReasonDraining, minRetryDelay, "this router stops")
	}
	if call.waitEnd().Sub(now) < trialInterval {
		return unavailableOrFailed(call, celerylanding.ReasonCopyOnTrial, trialRetryDelay,
			"requests with the same content have crashed their targets; another one is being tried")
	}
	timer := time.NewTimer(trialInterval)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	call.waited += handler.options.Clock().Sub(now)
	if ctx.Err() != nil {
		return deadlineExceeded(call)
	}
	return nil
}

// endTrial lets the next copy of the request run, and tells the leader how this one ended.
func (handler *Handler) endTrial(call *call, trial trial) {
	if trial.run == 0 {
		return
	}
	fingerprint := call.fingerprints()[0]
	handler.trials.end(fingerprint, call.isAnswered)
	args := feed.TrialArgs{Node: handler.options.Node, Fingerprint: fingerprint, Run: trial.run, Target: call.lastTarget, HasEnded: true, Answered: call.isAnswered,
		NotRun: call.verdict == celerylanding.NotRun, Refused: call.verdict == celerylanding.NotRun && call.sends > trial.sends}
	handler.probes.Go(func(ctx context.Context) {
		if _, err := handler.askLeader(ctx, args); err != nil {
			handler.options.Log.Warn().Uint64("fingerprint", fingerprint).Err(err).Msg("leader did not take the result of a trial")
		}
	})
}
