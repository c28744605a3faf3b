package feed

import (
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/routing"
)

// Unit is a model, or an adapter together with its model, as a request names it.
type Unit struct {
	Model celerylanding.ModelID `cbor:"1,keyasint"`
	// Adapter is "" for the plain model.
	Adapter string `cbor:"2,keyasint,omitempty"`
}

// String returns "model" or "model/adapter".
func (unit Unit) String() string {
	if unit.Adapter == "" {
		return string(unit.Model)
	}
	return string(unit.Model) + "/" + unit.Adapter
}

// LoadedModel is a model that an engine holds.
type LoadedModel struct {
	Model    celerylanding.ModelID `cbor:"1,keyasint"`
	Adapters []string              `cbor:"2,keyasint,omitempty"`
	// Draining is set when the model is about to be unloaded and gets no new work.
	Draining bool `cbor:"3,keyasint,omitempty"`
}

// Target is what the leader knows of one incarnation of a target.
type Target struct {
	ID          celerylanding.TargetID      `cbor:"1,keyasint"`
	Incarnation celerylanding.Incarnation   `cbor:"2,keyasint"`
	Service     celerylanding.ServiceID     `cbor:"3,keyasint"`
	Address     string                      `cbor:"4,keyasint"`
	Domain      celerylanding.FailureDomain `cbor:"5,keyasint"`
	Slots       int                         `cbor:"6,keyasint"`
	// Leaving is set when the target gets no new work; it is final for the incarnation.
	Leaving bool          `cbor:"7,keyasint,omitempty"`
	Loaded  []LoadedModel `cbor:"8,keyasint,omitempty"`
	// Silent is set when the leader has not heard of the target for long.
	Silent bool `cbor:"9,keyasint,omitempty"`
	// Sequence numbers the target's heartbeats.
	Sequence uint64 `cbor:"10,keyasint,omitempty"`
	// OnDisk and InMemory name the models whose weights the engine has a copy of; routers do not get them.
	OnDisk   []celerylanding.ModelID `cbor:"11,keyasint,omitempty"`
	InMemory []celerylanding.ModelID `cbor:"12,keyasint,omitempty"`
	// Fetching is the model that the engine loads from the store; routers do not get it.
	Fetching celerylanding.ModelID `cbor:"13,keyasint,omitempty"`
	// Outlier is set while several routers agree that the target fails nearly all it gets.
	Outlier bool `cbor:"14,keyasint,omitempty"`
}

// Endpoint returns where the incarnation is reached.
func (target *Target) Endpoint() celerylanding.Endpoint {
	return celerylanding.Endpoint{Target: target.ID, Incarnation: target.Incarnation, Address: target.Address}
}

// CanServe reports whether new requests for the unit can run here.
func (target *Target) CanServe(unit Unit) bool {
	for _, held := range target.Loaded {
		if held.Model != unit.Model || held.Draining {
			continue
		}
		if unit.Adapter == "" {
			return true
		}
		for _, adapter := range held.Adapters {
			if adapter == unit.Adapter {
				return true
			}
		}
	}
	return false
}

// Usage counts the requests of one router for one model since its last report.
type Usage struct {
	Unit Unit `cbor:"1,keyasint"`
	// Arrivals is the number of requests since the last report.
	Arrivals int `cbor:"2,keyasint"`
	// InFlight is the number of requests that run now.
	InFlight int `cbor:"3,keyasint,omitempty"`
	// Urgency is the sum of the arrivals' weights, each the inverse of the seconds in which its answer should begin.
	Urgency float64 `cbor:"4,keyasint,omitempty"`
}

// WatchArgs ask for what has changed since the caller's last answer.
type WatchArgs struct {
	Node celerylanding.NodeID `cbor:"1,keyasint"`
	// Term and Revision name the last answer that the caller has taken.
	Term     uint64 `cbor:"2,keyasint"`
	Revision uint64 `cbor:"3,keyasint"`
	// Version is the configuration that the caller has.
	Version uint64 `cbor:"4,keyasint"`
	// Router is set for a node that serves callers.
	Router bool    `cbor:"5,keyasint,omitempty"`
	Usage  []Usage `cbor:"6,keyasint,omitempty"`
	// Crashes are the targets that have died while they ran a request, since the last question.
	Crashes []Crash `cbor:"7,keyasint,omitempty"`
	// Outcomes count what became of requests to the targets that have failed some lately.
	Outcomes []Outcome `cbor:"8,keyasint,omitempty"`
}

// Outcome counts the requests of one router to one incarnation of a target since its last report.
type Outcome struct {
	Target      celerylanding.TargetID    `cbor:"1,keyasint"`
	Incarnation celerylanding.Incarnation `cbor:"2,keyasint"`
	Answered    int                       `cbor:"3,keyasint,omitempty"`
	Failed      int                       `cbor:"4,keyasint,omitempty"`
}

// Crash says that a request was running on an incarnation of a target when that died.
type Crash struct {
	// Fingerprint names all tries of the same request.
	Fingerprint uint64                    `cbor:"1,keyasint"`
	Target      celerylanding.TargetID    `cbor:"2,keyasint"`
	Incarnation celerylanding.Incarnation `cbor:"3,keyasint"`
}

// WatchReply carries the changes.
type WatchReply struct {
	// Leads is false when the asked node does not lead; then only Leader and Members are set.
	Leads    bool     `cbor:"1,keyasint"`
	Leader   string   `cbor:"2,keyasint,omitempty"`
	Members  []string `cbor:"3,keyasint,omitempty"`
	Term     uint64   `cbor:"4,keyasint,omitempty"`
	Revision uint64   `cbor:"5,keyasint,omitempty"`
	// Configuration is nil when the caller has the newest one.
	Configuration *routing.Configuration `cbor:"6,keyasint,omitempty"`
	Targets       []Target               `cbor:"7,keyasint,omitempty"`
	// Routers is the number of nodes that serve callers now.
	Routers int `cbor:"8,keyasint,omitempty"`
	// Quarantined are the fingerprints of requests that crash their targets.
	Quarantined []uint64 `cbor:"9,keyasint,omitempty"`
}

// WakeArgs ask the leader to have a unit loaded for waiting requests.
type WakeArgs struct {
	Node    celerylanding.NodeID    `cbor:"1,keyasint"`
	Service celerylanding.ServiceID `cbor:"2,keyasint"`
	Unit    Unit                    `cbor:"3,keyasint"`
	// Waiting is the number of requests that wait at the router.
	Waiting int `cbor:"4,keyasint"`
	// MaxWait is how long the most patient one can still wait.
	MaxWait time.Duration `cbor:"5,keyasint"`
	// Slack is the time in which the answer to the last of them must begin to be on time; zero when it is late already.
	Slack time.Duration `cbor:"8,keyasint,omitempty"`
	// Refusals names targets that refused the unit though they were said to hold it.
	Refusals []celerylanding.Endpoint `cbor:"6,keyasint,omitempty"`
	// Unreachable names targets that are said to hold the unit and can't be reached from the router.
	Unreachable []celerylanding.Endpoint `cbor:"7,keyasint,omitempty"`
}

// WakeReply tells what will become of it.
type WakeReply struct {
	Leads bool `cbor:"1,keyasint"`
	// Expected is when the unit will be there, from now; zero means that it is there.
	Expected time.Duration `cbor:"2,keyasint"`
	// Infeasible is set when the unit can't be loaded within the caller's patience.
	Infeasible bool `cbor:"3,keyasint"`
	// Cause says why, for logs.
	Cause string `cbor:"4,keyasint,omitempty"`
}
