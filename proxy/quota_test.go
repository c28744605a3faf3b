package proxy_test

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/proxy"
	"celerylanding.example/celerylanding/routing"
	"celerylanding.example/celerylanding/throttle"
)

// grantingLeader grants parts of a quota.
type grantingLeader struct {
	fakeLeader
	mutex     sync.Mutex
	allocator *throttle.Allocator
	isGone    bool
	calls     int
}

func (leader *grantingLeader) Quota(ctx context.Context, args feed.QuotaArgs) (feed.QuotaReply, error) {
	leader.mutex.Lock()
	defer leader.mutex.Unlock()
	leader.calls++
	if leader.isGone {
		return feed.QuotaReply{}, errors.New("no leader is known")
	}
	return leader.allocator.Grant(time.Now(), &args), ctx.Err()
}

func (leader *grantingLeader) lose() { leader.setGone(true) }

func (leader *grantingLeader) setGone(isGone bool) {
	leader.mutex.Lock()
	defer leader.mutex.Unlock()
	leader.isGone = isGone
}

// newCharging returns a handler with a leader that has granted nothing for a time.
func newCharging(t *testing.T, workspace *routing.Workspace, age time.Duration, others ...routing.Workspace) (*proxy.Handler, *grantingLeader) {
	t.Helper()
	now := time.Now()
	bounds := throttle.QuotaBounds{Window: 8 * time.Second, Overage: 0.1, Slack: 1000}
	leader := &grantingLeader{allocator: throttle.NewAllocator(now.Add(-age), 1, bounds, 1)}
	leader.allocator.SetWorkspaces(now.Add(-age), append(others, *workspace))
	handler := proxy.New(proxy.Options{Node: "n", Leader: leader, Started: now, Clock: time.Now, Log: zerolog.Nop(), Metrics: tally.NoopScope})
	t.Cleanup(handler.Close)
	return handler, leader
}

func limitedWorkspace(rate float64) *routing.Workspace {
	return &routing.Workspace{ID: "w", Quota: routing.Quota{Unit: routing.QuotaTokens, Rate: rate, Burst: rate}}
}

// TestRequestsBeyondAnQuotaComeBackInTime guards against requests beyond a quota that are sent or held, and against a delay that is not true.
func TestRequestsBeyondAnQuotaComeBackInTime(t *testing.T) {
	workspace := limitedWorkspace(1000)
	handler, _ := newCharging(t, workspace, 10*time.Second)
	handler.RecordContact(time.Now())
	admitted, refused, longest := 0, 0, time.Duration(0)
	begin := time.Now()
	for range 60 {
		charged, status, delay := handler.Charge(t.Context(), workspace, 100, 100*time.Millisecond)
		if charged != nil {
			charged.Use()
			charged.End()
			admitted++
			continue
		}
		refused++
		assert.Equal(t, status, http.StatusTooManyRequests)
		longest = max(longest, delay)
	}
	most := int((1000+1000*time.Since(begin).Seconds()+1800)/100) + 1
	assert.Assert(t, admitted >= 10 && admitted <= most, "%d admitted, at most %d", admitted, most)
	assert.Assert(t, refused > 10 && longest >= time.Second && longest <= 10*time.Second, "%d refused, back in %v", refused, longest)
}

// TestUnsentRequestGivesItsUnitsBack guards against a quota that is used up by requests that reach no target.
func TestUnsentRequestGivesItsUnitsBack(t *testing.T) {
	workspace := limitedWorkspace(1000)
	handler, _ := newCharging(t, workspace, 10*time.Second)
	for range 100 {
		charged, status, _ := handler.Charge(t.Context(), workspace, 500, time.Second)
		assert.Equal(t, status, 0)
		charged.End()
	}
}

// TestRouterWithoutLeaderRefusesAsNotRun guards against a router that says that a quota is used up although it only does not reach the leader, and
// against one that stops at once when it does not.
func TestRouterWithoutLeaderRefusesAsNotRun(t *testing.T) {
	workspace := limitedWorkspace(10_000)
	handler, leader := newCharging(t, workspace, 10*time.Second)
	for range 20 {
		charged, status, _ := handler.Charge(t.Context(), workspace, 100, time.Second)
		assert.Equal(t, status, 0)
		charged.Use()
	}
	leader.lose()
	served, status := 0, 0
	for ; status == 0 && served < 1000; served++ {
		var charged *proxy.Charged
		if charged, status, _ = handler.Charge(t.Context(), workspace, 100, 200*time.Millisecond); charged != nil {
			charged.Use()
		}
	}
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, served >= 3, "%d requests are served from what was granted", served)
}

// TestRequestWaitsForTheNextLeader guards against requests that are refused in an election although their callers have time.
func TestRequestWaitsForTheNextLeader(t *testing.T) {
	workspace := limitedWorkspace(10_000)
	handler, leader := newCharging(t, workspace, 10*time.Second)
	handler.RecordContact(time.Now())
	leader.lose()
	time.AfterFunc(700*time.Millisecond, func() { leader.setGone(false) })
	charged, status, _ := handler.Charge(t.Context(), workspace, 100, 300*time.Millisecond)
	assert.Equal(t, status, 0)
	charged.Use()

	// A leader that has been gone for long keeps no caller waiting.
	leader.lose()
	time.Sleep(1600 * time.Millisecond)
	begin := time.Now()
	_, status, _ = handler.Charge(t.Context(), workspace, 5000, 300*time.Millisecond)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, time.Since(begin) < 600*time.Millisecond, "refused after %v", time.Since(begin))
}

// TestHotWorkspaceDelaysNoOther guards against requests of a workspace within its quota that wait until the leader is asked again for one that has used
// its own.
func TestHotWorkspaceDelaysNoOther(t *testing.T) {
	hot, other := limitedWorkspace(1000), routing.Workspace{ID: "other", Quota: routing.Quota{Unit: routing.QuotaTokens, Rate: 30_000, Burst: 30_000}}
	handler, _ := newCharging(t, hot, 10*time.Second, other)
	ctx, cancel := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	for range 4 {
		callers.Go(func() {
			for ctx.Err() == nil {
				if charged, _, _ := handler.Charge(ctx, hot, 1000, 8*time.Second); charged != nil {
					charged.Use()
				}
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	for range 20 {
		charged, status, _ := handler.Charge(ctx, &other, 200, 300*time.Millisecond)
		assert.Check(t, status == 0, "refused with %d", status)
		if charged != nil {
			charged.Use()
		}
		time.Sleep(30 * time.Millisecond)
	}
	cancel()
	callers.Wait()
}

// TestWorkspaceWithoutLimitCostsNoCall guards against calls to the leader where no workspace has a limit.
func TestWorkspaceWithoutLimitCostsNoCall(t *testing.T) {
	workspace := &routing.Workspace{ID: "w"}
	handler, leader := newCharging(t, workspace, 0)
	for _, workspace := range []*routing.Workspace{nil, workspace} {
		charged, status, _ := handler.Charge(t.Context(), workspace, 100, time.Second)
		assert.Equal(t, status, 0)
		charged.End()
	}
	handler.Close()
	assert.Equal(t, leader.calls, 0)
}
