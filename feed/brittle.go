package feed

import (
	"time"

	celerylanding "celerylanding.example/celerylanding"
)

// BrittleReport is what one router, or the routers of a relay, know of a target that has said that it is brittle: that it crashes when it has to
// turn too many requests away.
type BrittleReport struct {
	Target      celerylanding.TargetID    `cbor:"1,keyasint"`
	Incarnation celerylanding.Incarnation `cbor:"2,keyasint"`
	Service     celerylanding.ServiceID   `cbor:"3,keyasint"`
	// IsAnswered is set if the target has answered lately, Age ago; IsBrittle and Tolerance, in rejections per second, are what this answer said.
	IsAnswered bool          `cbor:"4,keyasint,omitempty"`
	Age        time.Duration `cbor:"5,keyasint,omitempty"`
	IsBrittle  bool          `cbor:"6,keyasint,omitempty"`
	Tolerance  int           `cbor:"7,keyasint,omitempty"`
	// Wanted is the number of requests for which the target was the best choice since the last report, Sent that of those that were sent, and
	// Rejected that of those that the target has turned away for want of room.
	Wanted   int `cbor:"8,keyasint,omitempty"`
	Sent     int `cbor:"9,keyasint,omitempty"`
	Rejected int `cbor:"10,keyasint,omitempty"`
}

// BrittleTarget is a target that says that it is brittle, with the figures of all routers together.
type BrittleTarget struct {
	Target      celerylanding.TargetID    `cbor:"1,keyasint"`
	Incarnation celerylanding.Incarnation `cbor:"2,keyasint"`
	Service     celerylanding.ServiceID   `cbor:"3,keyasint"`
	// Tolerance is the number of requests that it can turn away in a second without crashing.
	Tolerance int `cbor:"4,keyasint,omitempty"`
	// Demand is the number of requests per second for the target.
	Demand float64 `cbor:"5,keyasint,omitempty"`
	// Sent and Rejected count the last 4 s, and JustRejected the last second.
	Sent         int `cbor:"6,keyasint,omitempty"`
	Rejected     int `cbor:"7,keyasint,omitempty"`
	JustRejected int `cbor:"8,keyasint,omitempty"`
	// Age is the time since the last answer that said so.
	Age time.Duration `cbor:"9,keyasint,omitempty"`
}
