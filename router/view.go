package router

import (
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/config"
)

// Route is a target that can serve a model or group now.
type Route struct {
	Endpoint celerylanding.Endpoint
	Domain   celerylanding.FailureDomain
	// ReportedLoad is the number of requests that the target last reported as running and waiting; Sequence identifies the report.
	ReportedLoad int
	Sequence     uint64
	// Slots is the initial concurrency limit of the target; zero selects the default.
	Slots int
}

// ModelView is the routing state of one model.
type ModelView struct {
	Routes []Route
	// LoadingSince is set while a replica has been decided but is not ready.
	LoadingSince time.Time
	// Failure is the reason why the last load failed, or "".
	Failure string
}

// View is an immutable snapshot of the configuration, the routes and the expected load time, on which the scheduler bases its decisions.
type View struct {
	Config    *config.Config
	Models    map[celerylanding.ModelID]ModelView
	Groups    map[string][]Route
	ColdStart time.Duration
}
