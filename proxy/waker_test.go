package proxy_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/proxy"
)

// fakeLeader records the wake requests and answers with a fixed reply; a request waits until hold is closed, unless hold is nil.
type fakeLeader struct {
	asked []feed.WakeArgs
	reply feed.WakeReply
	err   error
	begun chan struct{}
	hold  chan struct{}
}

func (leader *fakeLeader) Wake(_ context.Context, args feed.WakeArgs) (feed.WakeReply, error) {
	leader.asked = append(leader.asked, args)
	if leader.hold != nil {
		close(leader.begun)
		<-leader.hold
	}
	return leader.reply, leader.err
}

// Origin knows no streams.
func (leader *fakeLeader) Origin(context.Context, feed.OriginArgs) (feed.OriginReply, error) {
	return feed.OriginReply{Leads: true}, leader.err
}

// Quota grants nothing.
func (leader *fakeLeader) Quota(context.Context, feed.QuotaArgs) (feed.QuotaReply, error) {
	return feed.QuotaReply{Leads: true}, leader.err
}

// Trial lets each copy run.
func (leader *fakeLeader) Trial(context.Context, feed.TrialArgs) (feed.TrialReply, error) {
	return feed.TrialReply{Leads: true, MayRun: true}, leader.err
}

var start = time.Unix(1_700_000_000, 0)

// poll lets a waiting request ask each 50 ms for the given time.
func poll(t *testing.T, wait *proxy.Wait, now *time.Time, length time.Duration) {
	t.Helper()
	for end := now.Add(length); now.Before(end); *now = now.Add(50 * time.Millisecond) {
		_, _ = wait.Wake(t.Context(), *now)
	}
}

// TestWaitingRequestAsksAgainWhenThePromiseHasPassed guards against routers that ask for a waiting unit at each change of the table: at
// hundreds of routers such requests filled the leader's queue.
func TestWaitingRequestAsksAgainWhenThePromiseHasPassed(t *testing.T) {
	now := start
	leader := &fakeLeader{reply: feed.WakeReply{Leads: true, Expected: 800 * time.Millisecond}}
	wait := proxy.NewWaker(leader, func() time.Time { return now }).Join()
	poll(t, wait, &now, 800*time.Millisecond)
	assert.Equal(t, len(leader.asked), 1)
	poll(t, wait, &now, 100*time.Millisecond)
	assert.Equal(t, len(leader.asked), 2)
}

func TestMoreWaitingRequestsAreReported(t *testing.T) {
	now := start
	leader := &fakeLeader{reply: feed.WakeReply{Leads: true, Expected: 10 * time.Second}}
	waker := proxy.NewWaker(leader, func() time.Time { return now })
	first, second := waker.Join(), waker.Join()
	poll(t, first, &now, 900*time.Millisecond)
	third := waker.Join()
	_, err := third.Wake(t.Context(), now)
	assert.NilError(t, err)
	assert.Equal(t, len(leader.asked), 2)
	assert.Equal(t, leader.asked[0].Waiting, 2)
	assert.Equal(t, leader.asked[1].Waiting, 3)
	for _, wait := range []*proxy.Wait{first, second, third} {
		wait.Leave()
	}
	assert.Equal(t, waker.Units(), 0)
}

// TestBusyLeaderIsAskedLessOften guards against an overload that feeds itself: requests that the leader could not answer came back at once.
func TestBusyLeaderIsAskedLessOften(t *testing.T) {
	now := start
	leader := &fakeLeader{err: errors.New("busy")}
	waker := proxy.NewWaker(leader, func() time.Time { return now })
	wait := waker.Join()
	poll(t, wait, &now, 10*time.Second)
	assert.Assert(t, len(leader.asked) <= 15, "%d", len(leader.asked))
	assert.Assert(t, len(leader.asked) >= 6, "%d", len(leader.asked))
	leader.err = nil
	waker.HandleNewLeader()
	asked := len(leader.asked)
	_, err := wait.Wake(t.Context(), now)
	assert.NilError(t, err)
	assert.Equal(t, len(leader.asked), asked+1)
}

// TestRefusalDuringAPendingWakeIsReported guards against a refusal that the leader never learns: the target stays published for the unit,
// and each request for it is refused once more.
func TestRefusalDuringAPendingWakeIsReported(t *testing.T) {
	now := start
	leader := &fakeLeader{reply: feed.WakeReply{Leads: true, Expected: time.Second}, begun: make(chan struct{}), hold: make(chan struct{})}
	waker := proxy.NewWaker(leader, func() time.Time { return now })
	first, second := waker.Join(), waker.Join()
	done := make(chan error, 2)
	go func() {
		_, err := first.Wake(t.Context(), now)
		done <- err
	}()
	<-leader.begun
	refused := celerylanding.Endpoint{Target: "t", Incarnation: 1}
	go func() {
		_, err := second.Wake(t.Context(), now, refused)
		done <- err
	}()
	for waker.Refusals() == 0 {
		time.Sleep(time.Millisecond)
	}
	close(leader.hold)
	assert.NilError(t, <-done)
	assert.NilError(t, <-done)
	leader.hold = nil
	_, err := first.Wake(t.Context(), now.Add(50*time.Millisecond))
	assert.NilError(t, err)
	assert.Equal(t, len(leader.asked), 2)
	assert.DeepEqual(t, leader.asked[1].Refusals, []celerylanding.Endpoint{refused})
}
