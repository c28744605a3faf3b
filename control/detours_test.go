package control_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/quorum/rpc"
)

// awaitDetours makes one router watch each running node until all of them know exactly the routers with the given numbers; those that are cut say so.
func (cluster *testCluster) awaitDetours(ctx context.Context, peers *rpc.Peers, cut []int, want ...string) {
	cluster.t.Helper()
	known := map[int][]string{}
	for ctx.Err() == nil {
		agreeing := 0
		for number, node := range cluster.nodes {
			if node.cancel == nil {
				agreeing++
				continue
			}
			args := &feed.WatchArgs{Node: celerylanding.NodeID(fmt.Sprint("r", number)), Router: true, IsCut: slices.Contains(cut, number),
				Detour: &feed.Detour{Address: fmt.Sprint("d", number), Domain: "d"}}
			callCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
			var reply feed.WatchReply
			if err := peers.Call(callCtx, node.addr, "Peer.Watch", args, &reply); err == nil && reply.IsState() {
				known[number] = nil
				if reply.Detours != nil {
					for _, detour := range reply.Detours.Detours {
						known[number] = append(known[number], detour.Address)
					}
				}
				slices.Sort(known[number])
				if slices.Equal(known[number], want) {
					agreeing++
				}
			}
			cancel()
		}
		if agreeing == len(cluster.nodes) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	cluster.t.Fatalf("the routers know %v", known)
}

// TestRoutersLearnOfEachOther guards against cut routers that know no other router: each hears of all that reach targets, through the leader and
// through relays, and after a change of the leader; one that is cut off or gone is left out.
func TestRoutersLearnOfEachOther(t *testing.T) {
	cluster := newCluster(t, 0)
	ctx, cancel := context.WithTimeout(t.Context(), stepTimeout)
	defer cancel()
	cluster.submit(cluster.nodes[0], 1)
	peers := newTestPeers(t)
	cluster.awaitDetours(ctx, peers, nil, "d0", "d1", "d2")
	cluster.awaitDetours(ctx, peers, []int{1}, "d0", "d2")
	cluster.awaitDetours(ctx, peers, nil, "d0", "d1", "d2")
	leader := cluster.nodes[0].ctl.Leader()
	var want []string
	for number, node := range cluster.nodes {
		if node.addr == leader {
			cluster.stop(node)
			continue
		}
		want = append(want, fmt.Sprint("d", number))
	}
	cluster.awaitDetours(ctx, peers, nil, want...)
}
