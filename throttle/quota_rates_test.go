package throttle_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/routing"
	"celerylanding.example/celerylanding/throttle"
)

// TestUseWithinAnQuotaIsNotRefused guards against refusals of a workspace that sends nine tenths of its rate in clumps, through few routers or
// through all.
func TestUseWithinAnQuotaIsNotRefused(t *testing.T) {
	for _, routers := range []int{1, 7, 27, 63} {
		for _, rate := range []float64{29_000, 157_000} {
			for _, wave := range []float64{0, 0.35} {
				refused, requests, beyond := 0, 0, 0
				for seed := range uint64(8) {
					office := newOffice(seed, 63, rate, rate, defaultBounds())
					office.play(3*time.Second, 0, routers)
					for range 4 {
						office.play(2*time.Second, (0.9+wave)*rate, routers)
						office.play(2*time.Second, (0.9-wave)*rate, routers)
					}
					refused, requests, beyond = refused+office.refused, requests+office.requests, beyond+office.beyond
				}
				lost := float64(refused-beyond) / float64(requests)
				assert.Check(t, lost < 0.01, "%d routers, rate %.0f, waves of %.2f: %d of %d refused, %d beyond the quota", routers, rate, wave,
					refused, requests, beyond)
			}
		}
	}
}

// TestWorkspaceUnderItsRateLosesUnderOneInAHundred guards against any refusal of a workspace that sends nine tenths of its rate through one failure domain or
// through all, whatever a shared bucket would refuse. The first seconds count too, in which the routers hold nothing.
func TestWorkspaceUnderItsRateLosesUnderOneInAHundred(t *testing.T) {
	for _, routers := range []int{1, 7, 27, 63} {
		for _, rate := range []float64{29_000, 157_000} {
			refused, requests := 0, 0
			for seed := range uint64(16) {
				office := newOffice(100+seed, 63, rate, rate, defaultBounds())
				office.play(3*time.Second, 0, routers)
				office.play(16*time.Second, 0.9*rate, routers)
				refused, requests = refused+office.refused, requests+office.requests
			}
			assert.Check(t, refused*100 < requests, "%d routers, rate %.0f: %d of %d refused", routers, rate, refused, requests)
		}
	}
}

// TestSteadyWorkspaceSeldomWaits guards against routers that ask the leader for each request, and against a workspace that is refused as soon as the
// leader is lost.
func TestSteadyWorkspaceSeldomWaits(t *testing.T) {
	for _, routers := range []int{7, 27} {
		// Each router has two requests a second or more.
		for _, rate := range []float64{29_000 * float64(routers) / 7, 157_000} {
			waited, requests, cutOff, lost := 0, 0, 0, 0
			for seed := range uint64(8) {
				office := newOffice(seed, 27, rate, rate, defaultBounds())
				office.play(6*time.Second, 0.6*rate, routers)
				office.waited, office.requests = 0, 0
				office.play(6*time.Second, 0.6*rate, routers)
				waited, requests = waited+office.waited, requests+office.requests
				office.allocator, office.requests = nil, 0
				office.play(1200*time.Millisecond, 0.6*rate, routers)
				office.elect()
				office.play(600*time.Millisecond, 0.6*rate, routers)
				cutOff, lost = cutOff+office.cutOff, lost+office.requests
			}
			assert.Check(t, waited*20 < requests, "%d routers, rate %.0f: %d of %d wait", routers, rate, waited, requests)
			assert.Check(t, cutOff*10 < lost, "%d routers, rate %.0f: %d of %d refused without leader", routers, rate, cutOff, lost)
		}
	}
}

// TestHotWorkspaceGetsItsWholeQuota guards against a workspace that sends far more than its rate, at few routers or at all, and gets less than the
// rate; and against its large requests starving.
func TestHotWorkspaceGetsItsWholeQuota(t *testing.T) {
	for _, routers := range []int{1, 2, 27, 63} {
		for _, rate := range []float64{29_000, 157_000} {
			used, wanted, large, largeServed := 0.0, 0.0, 0, 0
			const seeds, length = 8, 12
			for seed := range uint64(seeds) {
				office := newOffice(seed, 63, rate, rate, defaultBounds())
				office.play(3*time.Second, 0.9*rate, 63)
				office.used, office.wanted, office.largeRequests, office.largeServed = 0, 0, 0, 0
				office.play(length*time.Second, 8*rate, routers)
				used, wanted = used+office.used, wanted+office.wanted
				large, largeServed = large+office.largeRequests, largeServed+office.largeServed
			}
			part, all := used/(seeds*length*rate), used/wanted
			assert.Check(t, part >= 0.9, "%d routers, rate %.0f: %.3f of the quota is used", routers, rate, part)
			assert.Check(t, float64(largeServed) >= 0.5*all*float64(large), "%d routers, rate %.0f: %d of %d large requests are served, %.3f of all units",
				routers, rate, largeServed, large, all)
		}
	}
}

// BenchmarkCharge measures the charge of a request that finds enough units, with 16 workspaces.
func BenchmarkCharge(b *testing.B) {
	now := start
	reserve := throttle.NewReserve("r", 1)
	var workspaces []routing.Workspace
	for i := range 16 {
		workspaces = append(workspaces, routing.Workspace{ID: celerylanding.WorkspaceID(fmt.Sprintf("w%d", i)),
			Quota: routing.Quota{Unit: routing.QuotaTokens, Rate: 1e9, Burst: 1e9}})
		reserve.Begin(now, &workspaces[i], 600, time.Second)
	}
	args, isDue := reserve.Ask(now)
	assert.Assert(b, isDue)
	reply := feed.QuotaReply{Term: 1}
	for range 8 {
		for _, request := range args.Requests {
			reply.Grants = append(reply.Grants, feed.QuotaGrant{Workspace: request.Workspace, Units: 1e12, TTL: time.Second})
		}
	}
	reserve.HandleReply(now, now, args, &reply)
	turn := 0
	for b.Loop() {
		turn++
		charge := reserve.Begin(now, &workspaces[turn%16], 600, time.Second)
		reserve.NeedsCall(now, charge)
		reserve.Use(charge)
	}
}

// BenchmarkGrant measures one call of a router for 16 workspaces at a leader that serves 63 routers.
func BenchmarkGrant(b *testing.B) {
	now := start
	allocator := throttle.NewAllocator(now, 1, defaultBounds(), 1)
	var workspaces []routing.Workspace
	args := make([]feed.QuotaArgs, 63)
	for i := range 16 {
		id := celerylanding.WorkspaceID(fmt.Sprintf("w%d", i))
		workspaces = append(workspaces, routing.Workspace{ID: id, Quota: routing.Quota{Rate: 29_000, Burst: 29_000}})
		for router := range args {
			args[router].Node, args[router].Term = celerylanding.NodeID(fmt.Sprintf("r%d", router)), 1
			args[router].Requests = append(args[router].Requests, feed.QuotaRequest{Workspace: id, Wanted: 900, Needed: 600, Least: 600, Demand: 700})
		}
	}
	allocator.SetWorkspaces(now, workspaces)
	turn := 0
	for b.Loop() {
		now = now.Add(time.Millisecond)
		router := turn % len(args)
		turn++
		args[router].Sequence++
		allocator.Grant(now, &args[router])
	}
}
