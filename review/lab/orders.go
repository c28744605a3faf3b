//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const (
	// loadTime and diskLoadTime are the load times of a model from the store and from the server's disk.
	loadTime     = 2 * time.Second
	diskLoadTime = 500 * time.Millisecond
)

// order carries out an order and returns the status of the answer.
func (server *server) order(body []byte) int {
	var order struct {
		Op, Model, Holder string
		Fence             *uint64
		Precondition      *uint64
	}
	if err := json.Unmarshal(body, &order); err != nil || order.Holder == "" || order.Fence == nil {
		return http.StatusBadRequest
	}
	if server.options.onOrder != nil {
		server.options.onOrder(server, order.Holder, *order.Fence)
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	switch {
	case server.fleet.fencing && *order.Fence < server.fence:
		return http.StatusPreconditionFailed
	case server.isBusy || (order.Precondition != nil && *order.Precondition != server.orders):
		return http.StatusConflict
	}
	server.fence = *order.Fence
	if (order.Op == "load") == server.loaded[order.Model] {
		return http.StatusOK
	}
	record := server.fleet.lab.record
	record.note("server %d: order %s %s", server.number, order.Op, order.Model)
	if order.Op == "load" && len(server.inventory()) >= server.options.memory {
		record.note("server %d has no memory for %s", server.number, order.Model)
		record.count("loads over memory")
	}
	server.orders++
	server.isBusy = true
	length := loadTime
	if server.onDisk[order.Model] {
		length = diskLoadTime
	}
	born := server.born
	time.AfterFunc(length, func() { server.finishOrder(born, order.Op, order.Model) })
	return http.StatusAccepted
}

func (server *server) finishOrder(born int64, op, model string) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.born != born {
		return
	}
	server.isBusy = false
	if op == "load" {
		server.loaded[model], server.onDisk[model] = true, true
	} else {
		delete(server.loaded, model)
	}
}

// beat sends the pings of a lifetime, to the next controller after one that does not acknowledge.
func (server *server) beat(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	turn := server.number
	for ctx.Err() == nil {
		server.mutex.Lock()
		server.sequence++
		body, _ := json.Marshal(map[string]any{"service": server.options.service, "address": server.address, "zone": server.options.zone,
			"version": "v1", "slots": server.options.slots, "state": "ready", "coldLeftMs": 0, "stage": "both", "models": server.inventory(),
			"seq": server.sequence, "born": server.born, "atHand": server.cached()})
		url := fmt.Sprintf("/instances/%s", server.id)
		server.mutex.Unlock()
		addresses := server.fleet.controlAddresses()
		for range addresses {
			if put(ctx, client, "http://"+addresses[turn%len(addresses)]+url, body) == http.StatusOK {
				break
			}
			turn++
		}
		pause(ctx, heartbeatInterval)
	}
}
