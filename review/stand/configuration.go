//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"
)

// The path prefixes of the routes.
const (
	pathStream, pathResumable, pathSafe, pathUnsafe, pathRoot = "/stream/", "/resumable/", "/safe/", "/unsafe/", "/"
)

// The services of the configuration.
const (
	serviceEngines, servicePlain = "engines", "plain"
)

// resumableObjectiveMs is the latency target of the streams that may be resumed.
const resumableObjectiveMs = 1000

// model is the only model of the configuration; its adapters are a1, a2 and so on.
const model = "m1"

// configuration returns a desired state with a route of each kind.
func configuration(version uint64, adapters, adapterSlots int) map[string]any {
	route := func(path, kind, service string, attempts int, timeout time.Duration) map[string]any {
		return map[string]any{"name": "r" + path, "host": host, "pathPrefix": path, "type": kind, "timeoutMs": timeout.Milliseconds(),
			"targetLatencyMs": 600, "priority": 0, "service": service, "attempts": attempts, "sticky": kind == "stream", "resumable": false, "gapAimMs": 400}
	}
	resumable := route(pathResumable, "stream", serviceEngines, 2, 20*time.Second)
	resumable["resumable"], resumable["targetLatencyMs"] = true, resumableObjectiveMs
	engine := map[string]any{"slots": 64, "kvCapacity": 255051, "kvTokenBytes": 163840, "linkMbps": 260000.0, "weightsMb": 200000.0,
		"adapterSlots": adapterSlots, "loadsPerS": 3.7, "maxCount": 12, "stride": 1, "models": []any{map[string]any{"name": model, "weightsMb": 42700.0,
			"loadS": 6.0, "adapters": adapters, "adapterMb": 66.0, "warmS": 0.44, "diskS": 0.68}}}
	return map[string]any{"version": version,
		"routes": []any{route(pathStream, "stream", serviceEngines, 1, 20*time.Second), resumable, route(pathSafe, "safe", servicePlain, 2, 20*time.Second),
			route(pathUnsafe, "unsafe", servicePlain, 1, 20*time.Second), route(pathRoot, "unsafe", servicePlain, 1, 20*time.Second)},
		"services": []any{map[string]any{"name": serviceEngines, "healthPath": "/healthz", "maxConns": 360, "protocol": "h1", "tls": false, "engine": engine},
			map[string]any{"name": servicePlain, "healthPath": "/healthz", "maxConns": 100, "protocol": "h1", "tls": false}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
}

// zoneOf returns the zone of the node or server with the number.
func zoneOf(number int) string { return fmt.Sprintf("sul-%c", 'a'+(number-1)%3) }

// startServer starts a stand-in of a server.
func (fleet *fleet) startServer(number int, options serverOptions) (*child, error) {
	options.ID = fmt.Sprintf("i-%04d", number)
	options.Address = fmt.Sprintf("%s%d:8080", fleet.network, 100+number)
	if options.Zone == "" {
		options.Zone = zoneOf(number)
	}
	options.Controllers = fleet.controlAddresses()
	if options.Version == "" {
		options.Version = "v1"
	}
	if options.Slots == 0 {
		options.Slots = 64
	}
	text, err := json.Marshal(options)
	if err != nil {
		return nil, err
	}
	return fleet.launch("server-"+options.ID, nil, os.Args[0], "server", string(text))
}

// awaitReady waits until all routers say that they are ready, and each answers a request.
func (fleet *fleet) awaitReady(probe call) error {
	client := newClient()
	for at, router := range fleet.routers {
		tries := 0
		err := fleet.await(func() bool {
			response, err := client.Get("http://" + router.ip + ":" + portReady + "/readyz")
			if err != nil {
				return false
			}
			_ = response.Body.Close()
			tries++
			probe.id = fmt.Sprintf("probe-%d-%d", at, tries)
			return response.StatusCode == http.StatusOK && fleet.send(client, router, probe).status == http.StatusOK
		})
		if err != nil {
			return err
		}
	}
	return nil
}
