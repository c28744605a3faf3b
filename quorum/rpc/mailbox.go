package rpc

import (
	"context"
	"sync"
	"time"

	"celerylanding.example/celerylanding/common/tasks"
)

const (
	// deliverTimeout is the timeout of one delivery, with the time for a new connection.
	deliverTimeout = time.Second
	// maxUndelivered bounds the items that wait for one address.
	maxUndelivered = 256
	// maxDeliveries bounds the deliveries to one address that go on at a time.
	maxDeliveries = 4
)

// Mailbox sends items to addresses. An address gets a few deliveries at a time; what comes up meanwhile goes with the next one, so that items do not queue
// behind one another when a round trip takes long. Items may overtake each other. It is safe for concurrent use.
type Mailbox[Item any] struct {
	deliver func(ctx context.Context, address string, items []Item)
	calls   *tasks.Group
	mutex   sync.Mutex
	// waiting holds the items for each address, and sending counts the deliveries that go on.
	waiting map[string][]Item
	sending map[string]int
}

// NewMailbox returns an empty mailbox that delivers with the function until the context ends or Close is called. A delivery that fails is not repeated.
func NewMailbox[Item any](ctx context.Context, deliver func(ctx context.Context, address string, items []Item)) *Mailbox[Item] {
	return &Mailbox[Item]{deliver: deliver, calls: tasks.New(ctx), waiting: make(map[string][]Item), sending: make(map[string]int)}
}

// Send adds items for an address and returns at once. While more than maxUndelivered wait, the oldest are dropped.
func (box *Mailbox[Item]) Send(address string, items []Item) {
	box.mutex.Lock()
	defer box.mutex.Unlock()
	list := append(box.waiting[address], items...)
	box.waiting[address] = list[max(0, len(list)-maxUndelivered):]
	if box.sending[address] >= maxDeliveries {
		return
	}
	box.sending[address]++
	box.calls.Go(func(ctx context.Context) {
		for items := box.take(address); len(items) > 0; items = box.take(address) {
			callCtx, cancel := context.WithTimeout(ctx, deliverTimeout)
			box.deliver(callCtx, address, items)
			cancel()
		}
	})
}

// take returns the items for an address; if there are none, the delivery has ended.
func (box *Mailbox[Item]) take(address string) []Item {
	box.mutex.Lock()
	defer box.mutex.Unlock()
	items := box.waiting[address]
	delete(box.waiting, address)
	if len(items) > 0 {
		return items
	}
	if box.sending[address]--; box.sending[address] == 0 {
		delete(box.sending, address)
	}
	return items
}

// Close ends the deliveries and waits for their end.
func (box *Mailbox[Item]) Close() { <-box.calls.Close() }
