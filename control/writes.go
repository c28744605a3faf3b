package control

import (
	"math"
	"slices"
	"time"

	"celerylanding.example/celerylanding/quorum"
)

const (
	// maxWriteWait is how long the control goroutine waits for a write of the log before it does other work meanwhile.
	maxWriteWait = tickInterval
	// maxLeaderWriteTime is the length of a write after which a leader steps down, since a member with a faster disk may commit meanwhile.
	maxLeaderWriteTime = 1500 * time.Millisecond
	// maxLastWriteWait is how long a node that stops waits for its last write.
	maxLastWriteWait = 500 * time.Millisecond
	// maxHeldMessages bounds the messages that wait for a write; the log's protocol repeats lost ones.
	maxHeldMessages = 1024
)

// pendingWrite is a write of the log that goes on while the control goroutine does other work.
type pendingWrite struct {
	effects quorum.Effects
	began   time.Time
	result  chan error
	// examined is the number of later messages that have been examined for early replies.
	examined     int
	keepAliveDue time.Time
}

// beginWrite makes the records of effects durable in the background. Until finishWrite, nothing that depends on them is sent or applied.
func (ctl *Control) beginWrite(now time.Time, effects quorum.Effects) {
	ctl.write = &pendingWrite{effects: effects, began: now, result: make(chan error, 1)}
	write := ctl.writeOf(effects.Records)
	if write == nil {
		ctl.write.result <- nil
		return
	}
	result := ctl.write.result
	go func() { result <- write() }()
}

// writeOf returns the function that makes records durable, which runs beside the control goroutine; nil if there are none. It rewrites the file with the whole
// state if there is a snapshot or the file is not intact.
func (ctl *Control) writeOf(records []quorum.Record) func() error {
	if len(records) == 0 {
		return nil
	}
	if !ctl.wal.IsIntact() || slices.ContainsFunc(records, func(record quorum.Record) bool { return record.Snapshot != nil }) {
		hard := ctl.core.HardState()
		snapshot, entries := ctl.core.LogTail()
		entries = slices.Clone(entries)
		return func() error { return ctl.wal.Rewrite(hard, snapshot, entries) }
	}
	return func() error { return ctl.wal.Append(records) }
}

// awaitWrite finishes the pending write if it ends within maxWriteWait.
func (ctl *Control) awaitWrite(now time.Time) {
	select {
	case result := <-ctl.write.result:
		ctl.finishWrite(now, result)
		return
	default:
	}
	timer := time.NewTimer(maxWriteWait)
	defer timer.Stop()
	select {
	case result := <-ctl.write.result:
		ctl.finishWrite(now, result)
	case <-timer.C:
	}
}

// finishWrite sends and applies what has waited for the pending write, which has ended with a result.
func (ctl *Control) finishWrite(now time.Time, result error) {
	effects := ctl.write.effects
	if took := ctl.options.Clock().Sub(ctl.write.began); took >= slowRound {
		ctl.options.Metrics.Counter("slow_writes").Inc(1)
		ctl.options.Log.Warn().Dur("took", took).Int("records", len(effects.Records)).Msg("slow write of the control log")
	}
	ctl.write = nil
	if result != nil {
		ctl.keepForRetry(now, effects, result)
		return
	}
	ctl.logDiskRecovery(now)
	ctl.send(effects.Messages)
	ctl.applyAll(now, effects)
	ctl.compact()
}

// closeLog closes the log and releases its folder after the end of the control goroutine. While a write goes on, the folder stays locked until the process
// ends, since the write could replace the log of a successor.
func (ctl *Control) closeLog() {
	if result := ctl.writeResult(); result != nil {
		select {
		case <-result:
		case <-time.After(maxLastWriteWait):
			ctl.options.Log.Warn().Msg("write of the control log goes on; its folder stays locked until the process ends")
			return
		}
	}
	if err := ctl.wal.Close(); err != nil {
		// All that was acknowledged is on disk already.
		ctl.options.Log.Error().Err(err).Msg("log file can't be closed")
	}
}

// writeResult returns the channel with the result of the pending write, or nil.
func (ctl *Control) writeResult() <-chan error {
	if ctl.write == nil {
		return nil
	}
	return ctl.write.result
}

// sendWhileWriting sends what may be sent while a write goes on, so that the leader keeps its lease. A leader whose write takes too long steps down.
func (ctl *Control) sendWhileWriting(now time.Time) {
	write := ctl.write
	if surplus := len(ctl.effects.Messages) - maxHeldMessages; surplus > 0 {
		ctl.effects.Messages = slices.Delete(ctl.effects.Messages, 0, surplus)
		write.examined = max(0, write.examined-surplus)
	}
	later := ctl.effects.Messages[write.examined:]
	write.examined = len(ctl.effects.Messages)
	durable, ok := ctl.core.DurableIndex(write.effects, ctl.effects)
	if !ok {
		return
	}
	ctl.send(quorum.Early(later, durable, ctl.index))
	if ctl.core.Role() != quorum.Leader {
		return
	}
	if now.Sub(write.began) >= maxLeaderWriteTime {
		ctl.options.Log.Warn().Dur("writing", now.Sub(write.began)).Msg("leader steps down: its disk is slow")
		ctl.effects.Merge(ctl.core.StepDown(now))
		// The successor decides on them, so that callers may ask it.
		ctl.resolveCompacted(math.MaxUint64)
		return
	}
	if !now.Before(write.keepAliveDue) {
		write.keepAliveDue = now.Add(logHeartbeatInterval)
		ctl.send(ctl.core.KeepAlives(now))
	}
}
