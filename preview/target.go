package preview

import (
	celerylanding "celerylanding.example/celerylanding"
)

// Exclusion is why a target can't get the request; "" if it can.
type Exclusion string

// The exclusions.
const (
	// ExcludedLeaving means that the target shuts down, by its own answers or by the leader's list.
	ExcludedLeaving Exclusion = "leaving"
	// ExcludedPaused means that the target has asked for a pause.
	ExcludedPaused Exclusion = "paused"
	// ExcludedBackoff means that this router could not reach the target.
	ExcludedBackoff Exclusion = "backoff"
	// ExcludedSilent means that the leader misses the target's heartbeats, and that this router has got no answer lately.
	ExcludedSilent Exclusion = "silent"
	// ExcludedOutlier means that several routers report that the target fails nearly all requests.
	ExcludedOutlier Exclusion = "outlier"
	// ExcludedLimit means that the limit that the target announces, or its room if it is brittle, leaves no request to this router now.
	ExcludedLimit Exclusion = "limit"
	// ExcludedSoftware means that the stream was begun by another version of the software.
	ExcludedSoftware Exclusion = "software"
	// ExcludedLacksUnit means that the target does not have the model or adapter loaded.
	ExcludedLacksUnit Exclusion = "lacks_unit"
	// ExcludedUnloading means that the target is about to unload the model.
	ExcludedUnloading Exclusion = "unloading"
	// ExcludedMisdirected means that the target has answered lately that it lacks the unit, although the leader lists it there.
	ExcludedMisdirected Exclusion = "misdirected"
	// ExcludedOther means that the choice passes over the target for a reason that has no name here.
	ExcludedOther Exclusion = "other"
)

// Term is a part of a target's loss.
type Term struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
}

// Target is what a router knows of one target of the request's service.
type Target struct {
	ID       celerylanding.TargetID        `json:"id"`
	Domain   celerylanding.FailureDomain   `json:"domain"`
	Software celerylanding.SoftwareVersion `json:"software,omitempty"`
	// Rank is the place of the target in the choice, 1 for the one with the largest share; zero if it is excluded.
	Rank int `json:"rank,omitempty"`
	// Share is the share of such requests that the target would get now: chance spreads them over targets that are about as good. It is an estimate
	// where some of the targets have limits.
	Share    float64   `json:"share"`
	Excluded Exclusion `json:"excluded,omitempty"`
	// ExcludedSeconds is the time until the exclusion ends by itself; zero if that is not known.
	ExcludedSeconds float64 `json:"excluded_seconds,omitempty"`
	// InFlight is the number of this router's requests there, and Slots the number that the target runs at once.
	InFlight int `json:"in_flight"`
	Slots    int `json:"slots"`
	// HasReport is set if the target has reported its load to this router, ReportAgeSeconds ago; Running and Waiting are that report.
	HasReport        bool    `json:"has_report"`
	Running          int     `json:"running,omitempty"`
	Waiting          int     `json:"waiting,omitempty"`
	ReportAgeSeconds float64 `json:"report_age_seconds,omitempty"`
	// Limit is the number of requests per second that the target takes from all routers, if HasLimit is set.
	HasLimit bool    `json:"has_limit,omitempty"`
	Limit    float64 `json:"limit,omitempty"`
	// Slowdown is the time that work takes on the target's machine relative to the usual one, as reported; zero if it is not.
	Slowdown float64 `json:"slowdown,omitempty"`
	// ExpectedFirstSeconds is the expected time to the first event, and ReadTokens the tokens of the prompt that the target would have to read.
	ExpectedFirstSeconds float64 `json:"expected_first_seconds,omitempty"`
	ReadTokens           int     `json:"read_tokens,omitempty"`
	// Loss is the sum of the terms, in units of the benefit of one request that is answered in time; the lower, the larger is the share.
	Loss  float64 `json:"loss"`
	Terms []Term  `json:"terms,omitempty"`
}
