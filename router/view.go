package router

import (
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/config"
)

// Route is a target that can serve a model or service now.
type Route struct {
	Endpoint celerylanding.Endpoint
	Domain   celerylanding.FailureDomain
	// ReportedLoad is the target's own, lagging load; Sequence tells reports apart.
	ReportedLoad int
	Sequence     uint64
	Slots        int
}

// ModelView is what a router knows of one model.
type ModelView struct {
	Routes []Route
	// LoadingSince is set while a replica is decided and not ready.
	LoadingSince time.Time
	// Failure tells why the last load failed, or "".
	Failure string
}

// View is an immutable snapshot of what routing needs.
type View struct {
	Config    *config.Config
	Models    map[celerylanding.ModelID]ModelView
	Groups    map[string][]Route
	ColdStart time.Duration
}
