//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// storeTime and diskTime are the times of a load from the store and from the engine's own disk.
	storeTime = time.Second
	diskTime  = 100 * time.Millisecond
	// unloadTime is the time of an unload without running requests.
	unloadTime = 20 * time.Millisecond
	// modelsPerEngine is the number of models that fit into the memory of an engine.
	modelsPerEngine = 2
)

// givenOrder is an order that an engine has got.
type givenOrder struct {
	at     time.Time
	holder string
	fence  uint64
	text   string
	status int
}

// engine is a stand-in for a model server that checks no fences.
type engine struct {
	*server
	mutex    sync.Mutex
	loaded   map[string]bool
	onDisk   map[string]bool
	isBusy   bool
	accepted uint64
	orders   []givenOrder
	// leader is the address that the last ack of a ping named for later pings.
	leader string
}

func newEngine(fleet *fleet, number int) *engine {
	engine := &engine{loaded: make(map[string]bool), onDisk: make(map[string]bool)}
	engine.server = &server{rec: fleet.rec, id: fmt.Sprintf("engine-%d", number+1), service: "models", zone: fleet.zones[number%len(fleet.zones)],
		version: "v1", address: fleet.serverAddress(number), controllers: fleet.controlAddresses()}
	return engine
}

// run serves and pings until the context ends.
func (engine *engine) run(ctx context.Context) error {
	listener, err := net.Listen("tcp", engine.address)
	if err != nil {
		return err
	}
	engine.born = time.Now().UnixMilli()
	engine.http = &http.Server{Handler: engine}
	go func() { _ = engine.http.Serve(listener) }()
	go func() {
		ticker := time.NewTicker(pingInterval)
		defer ticker.Stop()
		for {
			engine.report(ctx)
			select {
			case <-ctx.Done():
				_ = engine.http.Close()
				return
			case <-ticker.C:
			}
		}
	}()
	return nil
}

// state returns what the engine says of itself in pings and reports.
func (engine *engine) state() map[string]any {
	models, onDisk := []any{}, []string{}
	for name := range engine.loaded {
		models = append(models, map[string]any{"name": name, "version": 1, "adapters": []string{}})
	}
	for name := range engine.onDisk {
		onDisk = append(onDisk, name)
	}
	return map[string]any{"service": engine.service, "address": engine.address, "zone": engine.zone, "version": engine.version, "slots": 16, "state": "ready",
		"coldLeftMs": 0, "stage": "both", "models": models, "born": engine.born, "atHand": map[string]any{"inMemory": []string{}, "onDisk": onDisk}}
}

// report sends a ping to the control nodes in turn until one acknowledges it.
func (engine *engine) report(ctx context.Context) {
	engine.mutex.Lock()
	engine.seq++
	state := engine.state()
	state["seq"] = engine.seq
	body, _ := json.Marshal(state)
	addresses := append([]string{}, engine.controllers...)
	if engine.leader != "" {
		addresses = append([]string{engine.leader}, addresses...)
	}
	engine.mutex.Unlock()
	for _, address := range addresses {
		leader, isAcked := ping(ctx, "http://"+address+"/instances/"+engine.id, body)
		engine.mutex.Lock()
		engine.leader = leader
		engine.mutex.Unlock()
		if isAcked {
			return
		}
	}
}

// ServeHTTP answers orders, report requests and the requests of routers.
func (engine *engine) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set(headerAttempt, request.Header.Get(headerAttempt))
	if expected := request.Header.Get(headerExpect); expected != "" && expected != engine.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch request.URL.Path {
	case "/order":
		engine.handleOrder(writer, request)
	case "/report":
		engine.mutex.Lock()
		defer engine.mutex.Unlock()
		state := engine.state()
		state["busy"], state["seq"] = engine.isBusy, engine.accepted
		_ = json.NewEncoder(writer).Encode(state)
	default:
		engine.handleRequest(writer, request)
	}
}

func (engine *engine) handleRequest(writer http.ResponseWriter, request *http.Request) {
	engine.mutex.Lock()
	isLoaded := engine.loaded[request.Header.Get("X-Celerylanding-Model")]
	engine.mutex.Unlock()
	if !isLoaded {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	writer.Header().Set(headerStamp, engine.id+"."+request.Header.Get(headerAttempt))
	streamer{events: 3, pause: 20 * time.Millisecond}.answer(engine.server, writer, request)
}

// handleOrder carries out an order to load or unload a model.
func (engine *engine) handleOrder(writer http.ResponseWriter, request *http.Request) {
	var order struct {
		Op, Model, Holder string
		Fence             uint64
		Precondition      *uint64
	}
	if json.NewDecoder(request.Body).Decode(&order) != nil || order.Holder == "" {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	status := http.StatusAccepted
	switch {
	case engine.isBusy || order.Precondition != nil && *order.Precondition != engine.accepted:
		status = http.StatusConflict
	case (order.Op == "load") == engine.loaded[order.Model]:
		status = http.StatusOK
	}
	text := order.Op + " " + order.Model
	engine.rec.line(engine.id, "order of %s, fence %d: %s, answered %d", order.Holder, order.Fence, text, status)
	engine.orders = append(engine.orders, givenOrder{time.Now(), order.Holder, order.Fence, text, status})
	writer.WriteHeader(status)
	if status != http.StatusAccepted {
		return
	}
	engine.accepted++
	engine.isBusy = true
	length := storeTime
	switch {
	case order.Op != "load":
		length = unloadTime
	case engine.onDisk[order.Model]:
		length = diskTime
	}
	time.AfterFunc(length, func() { engine.finish(order.Op, order.Model) })
}

// finish ends an order; a ping says so at once.
func (engine *engine) finish(op, model string) {
	engine.mutex.Lock()
	engine.isBusy = false
	if op == "load" {
		engine.loaded[model], engine.onDisk[model] = true, true
	} else {
		delete(engine.loaded, model)
	}
	engine.mutex.Unlock()
	engine.report(context.Background())
}
