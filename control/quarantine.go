package control

import (
	"slices"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/quarantine"
	"celerylanding.example/celerylanding/routing"
)

const (
	// quarantineTime is how long requests are refused. The next leader counts it anew.
	quarantineTime = time.Hour
	// maxQuarantined bounds the fingerprints in the replicated state, which every reply to a router contains; the oldest is dropped first.
	maxQuarantined = 256
	// newLeaderTrialTime is how long a new leader lets copies of a request run one at a time on the routers' word alone.
	newLeaderTrialTime = time.Second
	// quarantineInterval is the time between two evaluations while there is new evidence or a suspect, and idleQuarantineInterval that between
	// two checks for fingerprints to release.
	quarantineInterval     = 100 * time.Millisecond
	idleQuarantineInterval = time.Second
)

// replicated is a command of the log, or a snapshot of its state. A command holds a configuration, fingerprints or a settled term. The fields of the
// configuration are not nested, so that entries from before the quarantine was replicated keep their meaning.
type replicated struct {
	routing.Configuration
	// Quarantined lists the fingerprints of requests that are refused: in a command the new ones, in a snapshot all of them, oldest first.
	Quarantined []uint64 `cbor:"16,keyasint,omitempty"`
	Released    []uint64 `cbor:"17,keyasint,omitempty"`
	// SettledTerm is the term of a leader that has outlasted all grants of quotas by its predecessors.
	SettledTerm uint64 `cbor:"18,keyasint,omitempty"`
	// Departed lists the targets that have said that they leave: in a command the new ones, in a snapshot all of them, oldest first.
	Departed []departure `cbor:"19,keyasint,omitempty"`
	// Format is the format of the log that a build must apply in order to read the command, or any command that the snapshot stands for; zero if every
	// build may skip or apply it.
	Format uint64 `cbor:"20,keyasint,omitempty"`
	// Versions are the software versions that services have had lately.
	Versions *versionHistory `cbor:"21,keyasint,omitempty"`
}

// hasFingerprints reports whether a command changes the quarantine.
func (command *replicated) hasFingerprints() bool {
	return len(command.Quarantined)+len(command.Released) > 0
}

// quarantineState is the leader's evidence of requests that crash their targets, and the replicated list of those that are refused.
type quarantineState struct {
	detector *quarantine.Detector
	trials   *quarantine.Trials
	// fingerprints are replicated, oldest first.
	fingerprints []uint64
	// releaseAt holds when the leader releases each fingerprint.
	releaseAt map[uint64]time.Time
	// evaluated is when the evidence was last evaluated, and isChanged is set when there is more since then.
	evaluated time.Time
	isChanged bool
}

func newQuarantineState() quarantineState {
	return quarantineState{detector: quarantine.NewDetector(), trials: quarantine.NewTrials(), releaseAt: make(map[uint64]time.Time)}
}

// resetEvidence makes a new leader count crashes from the routers' next reports, which repeat the recent ones.
func (state *quarantineState) resetEvidence() {
	state.detector, state.trials = quarantine.NewDetector(), quarantine.NewTrials()
	for _, fingerprint := range state.fingerprints {
		state.detector.MarkBlamed(quarantine.Key(fingerprint))
	}
	clear(state.releaseAt)
	state.isChanged = true
}

// recordCrash counts a target that crashed while it ran a request.
func (ctl *Control) recordCrash(now time.Time, crash feed.Crash) {
	specificity := crash.Part
	if crash.Part == 0 {
		specificity = quarantine.WholeRequest
	}
	isNew := ctl.quarantine.detector.RecordCrash(now, quarantine.Evidence{Key: quarantine.Key(crash.Fingerprint), Specificity: specificity,
		Target: crash.Target, Incarnation: crash.Incarnation, Run: crash.Run})
	if isNew {
		ctl.quarantine.isChanged = true
		ctl.options.Log.Debug().Uint64("fingerprint", crash.Fingerprint).Int("part", crash.Part).Str("target", string(crash.Target)).
			Msg("target crashed while it ran a request")
	}
}

// maintainQuarantine proposes the quarantine of the fingerprints that the crashes point to, and the release of those whose time is over.
func (ctl *Control) maintainQuarantine(now time.Time) {
	state := &ctl.quarantine
	interval := idleQuarantineInterval
	if state.isChanged || len(ctl.feed.suspects) > 0 {
		interval = quarantineInterval
	}
	if now.Sub(state.evaluated) < interval {
		return
	}
	state.evaluated, state.isChanged = now, false
	var command replicated
	for _, blame := range state.detector.Decide(now) {
		ctl.options.Log.Warn().Uint64("fingerprint", uint64(blame.Key)).Int("crashes", blame.Crashes).Int("runs", blame.Runs).Bool("whole_request", blame.IsWhole).
			Msg("requests crash their targets; they are refused from now on")
		ctl.options.Metrics.Counter("requests_quarantined").Inc(1)
		command.Quarantined = append(command.Quarantined, uint64(blame.Key))
	}
	for _, fingerprint := range state.fingerprints {
		until, ok := state.releaseAt[fingerprint]
		if !ok {
			until = now.Add(quarantineTime)
			state.releaseAt[fingerprint] = until
		}
		if !now.Before(until) {
			command.Released = append(command.Released, fingerprint)
		}
	}
	suspects, trials := fingerprintsOf(state.detector.Suspects(now)), fingerprintsOf(state.detector.TrialKeys(now))
	if !slices.Equal(suspects, ctl.feed.suspects) || !slices.Equal(trials, ctl.feed.trials) {
		if len(trials) != len(ctl.feed.trials) {
			ctl.options.Log.Info().Uints64("fingerprints", trials).Msg("requests whose copies run one at a time changed")
		}
		ctl.feed.suspects, ctl.feed.trials = suspects, trials
		ctl.feed.advance()
	}
	if !command.hasFingerprints() {
		return
	}
	data, err := encodeCommand(&command)
	if err != nil {
		ctl.options.Log.Error().Err(err).Msg("quarantine can't be encoded")
		return
	}
	// Without a commit this node loses its role, and the next leader decides anew.
	ctl.batch = append(ctl.batch, queuedCommand{data, make(chan ProposeReply, 1)})
}

// applyQuarantine applies a committed change of the quarantine.
func (ctl *Control) applyQuarantine(command *replicated) {
	state := &ctl.quarantine
	for _, fingerprint := range command.Quarantined {
		state.detector.MarkBlamed(quarantine.Key(fingerprint))
		if !slices.Contains(state.fingerprints, fingerprint) {
			state.fingerprints = append(state.fingerprints, fingerprint)
		}
	}
	dropped := command.Released
	if surplus := len(state.fingerprints) - maxQuarantined; surplus > 0 {
		dropped = append(dropped, state.fingerprints[:surplus]...)
	}
	for _, fingerprint := range dropped {
		state.detector.Forget(quarantine.Key(fingerprint))
		delete(state.releaseAt, fingerprint)
	}
	state.fingerprints = slices.DeleteFunc(slices.Clone(state.fingerprints), func(fingerprint uint64) bool { return slices.Contains(dropped, fingerprint) })
	state.isChanged = true
	ctl.options.Log.Info().Uints64("added", command.Quarantined).Uints64("released", dropped).Int("count", len(state.fingerprints)).
		Msg("quarantine changed")
	if !ctl.leaderSince.IsZero() {
		ctl.feed.advance()
	}
}

// quarantinedFingerprints returns the fingerprints that this node publishes: as the leader the replicated ones, as a relay the leader's.
func (ctl *Control) quarantinedFingerprints() []uint64 {
	if ctl.leaderSince.IsZero() {
		return ctl.feed.quarantined
	}
	return ctl.quarantine.fingerprints
}

func fingerprintsOf(keys []quarantine.Key) []uint64 {
	fingerprints := make([]uint64, 0, len(keys))
	for _, key := range keys {
		fingerprints = append(fingerprints, uint64(key))
	}
	return fingerprints
}

// trial decides whether a copy of a request may run, or records how one ended.
func (ctl *Control) trial(now time.Time, args *feed.TrialArgs) feed.TrialReply {
	if !ctl.leads(now) {
		return feed.TrialReply{}
	}
	state, key := &ctl.quarantine, quarantine.Key(args.Fingerprint)
	reply := feed.TrialReply{Leads: true}
	event := ctl.options.Log.Info().Uint64("fingerprint", args.Fingerprint).Str("router", string(args.Node)).
		Str("target", string(args.Target))
	if args.HasEnded {
		result := quarantine.TrialBroken
		switch {
		case args.Answered:
			result = quarantine.TrialAnswered
			state.detector.RecordAnswered(key)
			state.isChanged = true
		case args.Refused:
			result = quarantine.TrialRefused
		case args.NotRun:
			result = quarantine.TrialNotRun
		}
		state.trials.End(now, key, args.Run, result)
		event.Bool("answered", args.Answered).Bool("not_run", args.NotRun).Bool("refused", args.Refused).
			Msg("trial of a suspicious request ended")
		return reply
	}
	reply.IsQuarantined = state.detector.IsBlamed(key)
	// A new leader learns of the crashes of its predecessor's time from the routers' next reports.
	isFree := !state.detector.NeedsTrial(now, key) && now.Sub(ctl.leaderSince) > newLeaderTrialTime
	reply.MayRun = !reply.IsQuarantined && (isFree || state.trials.Begin(now, key, args.Run, args.Target, args.Longest))
	if reply.MayRun && !isFree {
		event.Msg("trial of a suspicious request begins")
	}
	return reply
}

// recordAnswered clears the suspects that targets have answered.
func (ctl *Control) recordAnswered(node celerylanding.NodeID, fingerprints []uint64) {
	for _, fingerprint := range fingerprints {
		ctl.quarantine.detector.RecordAnswered(quarantine.Key(fingerprint))
		ctl.quarantine.isChanged = true
		ctl.options.Log.Debug().Uint64("fingerprint", fingerprint).Str("reporter", string(node)).Msg("suspect was answered")
	}
}
