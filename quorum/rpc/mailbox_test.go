package rpc_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"celerylanding.example/celerylanding/quorum/rpc"
)

// TestItemsDoNotQueueBehindOneAnother guards against items whose wait grows with their number when a delivery takes longer than the time between two.
func TestItemsDoNotQueueBehindOneAnother(t *testing.T) {
	const round = 50 * time.Millisecond
	var mutex sync.Mutex
	var oldest time.Duration
	last := 0
	delivered := make(chan struct{})
	const count = 60
	box := rpc.NewMailbox(t.Context(), func(_ context.Context, _ string, items []time.Time) {
		time.Sleep(round)
		mutex.Lock()
		defer mutex.Unlock()
		oldest = max(oldest, time.Since(items[0])-round)
		if last += len(items); last == count {
			close(delivered)
		}
	})
	for range count {
		box.Send("a", []time.Time{time.Now()})
		time.Sleep(round / 5)
	}
	<-delivered
	assert.Assert(t, oldest < 4*round, "an item has waited for %v", oldest)
	box.Close()
}

// TestDeadAddressHoldsNoOther guards against deliveries to one address that wait for those to another.
func TestDeadAddressHoldsNoOther(t *testing.T) {
	delivered := make(chan string, 1)
	box := rpc.NewMailbox(t.Context(), func(ctx context.Context, address string, _ []int) {
		if address == "dead" {
			<-ctx.Done()
			return
		}
		delivered <- address
	})
	box.Send("dead", []int{1})
	box.Send("sound", []int{1})
	select {
	case <-delivered:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the delivery waits for the dead address")
	}
	box.Close()
}
