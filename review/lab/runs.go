//go:build review

package main

import "sync"

// runLog counts how often servers have begun to run each request.
type runLog struct {
	mutex  sync.Mutex
	counts map[string]int
}

// ran records that a server has begun to run a request.
func (fleet *fleet) ran(id string) {
	fleet.runs.mutex.Lock()
	defer fleet.runs.mutex.Unlock()
	if fleet.runs.counts == nil {
		fleet.runs.counts = make(map[string]int)
	}
	fleet.runs.counts[id]++
}

// runsOf returns how often a request has run.
func (fleet *fleet) runsOf(id string) int {
	fleet.runs.mutex.Lock()
	defer fleet.runs.mutex.Unlock()
	return fleet.runs.counts[id]
}
