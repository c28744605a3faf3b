//go:build review

package main

import (
	"encoding/json"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"
)

// begin reports whether a request for a model, or for MODEL/ADAPTER, can run, and counts it if it can.
func (server *server) begin(name string) bool {
	model, adapter, _ := strings.Cut(name, "/")
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if !slices.Contains(server.options.Models, model) || (adapter != "" && !server.adapters[name]) {
		return false
	}
	server.running[name]++
	return true
}

func (server *server) end(name string) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.running[name]--; server.running[name] <= 0 {
		delete(server.running, name)
	}
}

// wireOrder is the body of an order.
type wireOrder struct {
	Op, Model, Adapter, Holder string
	Fence                      uint64
	Precondition               *uint64
}

// order carries out an order for an adapter; all models are held from the start.
func (server *server) order(writer http.ResponseWriter, request *http.Request) {
	var order wireOrder
	if err := json.NewDecoder(request.Body).Decode(&order); err != nil || order.Holder == "" || order.Fence == 0 {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	status := server.accept(&order)
	say("order %s %s/%s of %s fence %d: %d, holds %d, coming %d", order.Op, order.Model, order.Adapter, order.Holder, order.Fence, status,
		len(server.adapters), len(server.coming))
	writer.WriteHeader(status)
}

// accept returns the status of an order, and begins to carry it out; the caller holds the mutex.
func (server *server) accept(order *wireOrder) int {
	name := order.Model + "/" + order.Adapter
	switch {
	case order.Fence < server.fence:
		return http.StatusPreconditionFailed
	case order.Precondition != nil && *order.Precondition != server.orders:
		return http.StatusConflict
	}
	server.fence = order.Fence
	if order.Adapter == "" {
		return http.StatusOK
	}
	isHere := server.adapters[name] || server.coming[name]
	switch {
	case (order.Op == "load") == isHere:
		return http.StatusOK
	case order.Op == "load":
		return server.load(name)
	}
	server.orders++
	if server.running[name] > 0 {
		// The adapter goes when its runs have ended.
		go server.unloadLater(name)
		return http.StatusAccepted
	}
	delete(server.adapters, name)
	return http.StatusOK
}

// load begins the load of an adapter; a server that is ordered to load more than it can hold falls over.
func (server *server) load(name string) int {
	if len(server.coming) >= 4 {
		return http.StatusConflict
	}
	if held := len(server.adapters) + len(server.coming); held >= server.options.AdapterSlots {
		say("overloaded: ordered to load %s beyond its %d places; falls over with %d runs", name, server.options.AdapterSlots, len(server.running))
		os.Exit(exitBroken)
	}
	server.orders++
	server.coming[name] = true
	time.AfterFunc(time.Duration(server.options.AdapterMs)*time.Millisecond, func() {
		server.mutex.Lock()
		defer server.mutex.Unlock()
		delete(server.coming, name)
		server.adapters[name] = true
	})
	return http.StatusAccepted
}

func (server *server) unloadLater(name string) {
	for {
		time.Sleep(5 * time.Millisecond)
		server.mutex.Lock()
		isIdle := server.running[name] == 0
		if isIdle {
			delete(server.adapters, name)
		}
		server.mutex.Unlock()
		if isIdle {
			return
		}
	}
}
