package feed

import (
	"slices"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/routing"
)

// Unit is what a request runs on: a model, or an adapter together with its model.
type Unit struct {
	Model celerylanding.ModelID `cbor:"1,keyasint"`
	// Adapter is "" for the model without an adapter.
	Adapter string `cbor:"2,keyasint,omitempty"`
}

// String returns "model" or "model/adapter".
func (unit Unit) String() string {
	if unit.Adapter == "" {
		return string(unit.Model)
	}
	return string(unit.Model) + "/" + unit.Adapter
}

// LoadedModel is a model in an engine's memory, with its loaded adapters.
type LoadedModel struct {
	Model    celerylanding.ModelID `cbor:"1,keyasint"`
	Adapters []string              `cbor:"2,keyasint,omitempty"`
	// Draining is set when the model gets no new requests, since it is about to be unloaded or is missing in the engine's announcements.
	Draining bool `cbor:"3,keyasint,omitempty"`
}

// Target is the leader's state of one incarnation of a target.
type Target struct {
	ID          celerylanding.TargetID      `cbor:"1,keyasint"`
	Incarnation celerylanding.Incarnation   `cbor:"2,keyasint"`
	Service     celerylanding.ServiceID     `cbor:"3,keyasint"`
	Address     string                      `cbor:"4,keyasint"`
	Domain      celerylanding.FailureDomain `cbor:"5,keyasint"`
	Slots       int                         `cbor:"6,keyasint"`
	// Leaving is set when the target shuts down and gets no new requests; it is final for the incarnation.
	Leaving bool          `cbor:"7,keyasint,omitempty"`
	Loaded  []LoadedModel `cbor:"8,keyasint,omitempty"`
	// Silent is set when the leader misses the target's heartbeats.
	Silent bool `cbor:"9,keyasint,omitempty"`
	// Sequence is the sequence number of the target's last heartbeat.
	Sequence uint64 `cbor:"10,keyasint,omitempty"`
	// OnDisk and InMemory list the models whose weights the engine has a local copy of; they are not sent to routers.
	OnDisk   []celerylanding.ModelID `cbor:"11,keyasint,omitempty"`
	InMemory []celerylanding.ModelID `cbor:"12,keyasint,omitempty"`
	// Fetching is the model that the engine loads from the store; it is not sent to routers.
	Fetching celerylanding.ModelID `cbor:"13,keyasint,omitempty"`
	// Outlier is set while several routers report that the target fails nearly all requests.
	Outlier bool `cbor:"14,keyasint,omitempty"`
	// Software is the version of the target's software.
	Software celerylanding.SoftwareVersion `cbor:"15,keyasint,omitempty"`
	// Notice is the time after which a leaving target is taken away, whatever it is running, as of its publication; zero for none.
	Notice time.Duration `cbor:"16,keyasint,omitempty"`
}

// Endpoint returns the incarnation's endpoint.
func (target *Target) Endpoint() celerylanding.Endpoint {
	return celerylanding.Endpoint{Target: target.ID, Incarnation: target.Incarnation, Address: target.Address}
}

// CanServe reports whether new requests for the unit can run on the target.
func (target *Target) CanServe(unit Unit) bool {
	for _, model := range target.Loaded {
		if model.Model != unit.Model || model.Draining {
			continue
		}
		if unit.Adapter == "" {
			return true
		}
		for _, adapter := range model.Adapters {
			if adapter == unit.Adapter {
				return true
			}
		}
	}
	return false
}

// Usage counts one router's requests for one unit.
type Usage struct {
	Unit Unit `cbor:"1,keyasint"`
	// Arrivals is the number of requests since the last report.
	Arrivals int `cbor:"2,keyasint"`
	// InFlight is the number of requests that are running.
	InFlight int `cbor:"3,keyasint,omitempty"`
	// Urgency is the sum of the arrivals' urgencies; that of a request is the inverse of its latency objective in
	// seconds, within bounds.
	Urgency float64 `cbor:"4,keyasint,omitempty"`
	// Late is the number of answers since the last report whose first byte took longer than the latency objective after the request was sent.
	Late int `cbor:"5,keyasint,omitempty"`
}

// WatchArgs ask for the changes since the node's last reply, and report the node's usage and outcomes.
type WatchArgs struct {
	Node celerylanding.NodeID `cbor:"1,keyasint"`
	// Term and Revision identify the last reply that the node has applied.
	Term     uint64 `cbor:"2,keyasint"`
	Revision uint64 `cbor:"3,keyasint"`
	// Version is the version of the configuration that the node has.
	Version uint64 `cbor:"4,keyasint"`
	// Router is set for a node that serves callers.
	Router bool    `cbor:"5,keyasint,omitempty"`
	Usage  []Usage `cbor:"6,keyasint,omitempty"`
	// Crashes lists the detected crashes that no leader has acknowledged yet.
	Crashes []Crash `cbor:"7,keyasint,omitempty"`
	// Answered lists the suspects of the last reply that targets have recently answered without a crash.
	Answered []uint64 `cbor:"11,keyasint,omitempty"`
	// Outcomes count the results of requests to targets with recent failures.
	Outcomes []Outcome `cbor:"8,keyasint,omitempty"`
	// Relay is the peer address of a control node that passes the feed on to routers, "" for other nodes. Routers is the number of its routers,
	// and Usage the sum of theirs.
	Relay   string `cbor:"9,keyasint,omitempty"`
	Routers int    `cbor:"10,keyasint,omitempty"`
	// Limits report what targets say of the requests that they take, and the demand for those with a limit.
	Limits []LimitReport `cbor:"12,keyasint,omitempty"`
	// Brittle report the demand for the targets that say that they are brittle, and the requests that these have turned away.
	Brittle []BrittleReport `cbor:"40,keyasint,omitempty"`
	// Origins list the streams that can be resumed and have begun since the last report that a leader has acknowledged.
	Origins []Origin `cbor:"13,keyasint,omitempty"`
	// OriginsNext is the number from which on a control node wants the leader's records of such streams; zero for a node that keeps none.
	OriginsNext uint64 `cbor:"60,keyasint,omitempty"`
	// Reports are what the node has learned of the targets' load since the last watch request.
	Reports []TargetReport `cbor:"15,keyasint,omitempty"`
	// Kept lists the parts of prompts that targets have read since the last report, and KeptNext is the number from which on the node wants those
	// that others have reported.
	Kept     []KeptPart `cbor:"20,keyasint,omitempty"`
	KeptNext uint64     `cbor:"21,keyasint,omitempty"`
	// IsSearch is set for a request that asks only who has the leader's state; Term is the last one that the node knows. It is answered at once, without
	// that state.
	IsSearch bool `cbor:"22,keyasint,omitempty"`
	// Detour is the router itself, if it connects other routers to targets; IsCut is set while it reaches none. Detours are the routers of a relay that
	// reach targets.
	Detour  *Detour  `cbor:"30,keyasint,omitempty"`
	Detours []Detour `cbor:"31,keyasint,omitempty"`
	IsCut   bool     `cbor:"33,keyasint,omitempty"`
	// DetoursDigest identifies the list of routers that the node has last received.
	DetoursDigest uint64 `cbor:"32,keyasint,omitempty"`
	// Format is the newest format of the log that a control node applies; zero for a build that states none.
	Format uint64 `cbor:"50,keyasint,omitempty"`
	// Unlisted are targets that the router has from an earlier leader and that the one of Term has not listed.
	Unlisted []TargetIncarnation `cbor:"62,keyasint,omitempty"`
}

// TargetIncarnation identifies an incarnation of a target.
type TargetIncarnation struct {
	Target      celerylanding.TargetID    `cbor:"1,keyasint"`
	Incarnation celerylanding.Incarnation `cbor:"2,keyasint"`
}

// Detour is a router that reaches targets and connects others to them.
type Detour struct {
	_ struct{} `cbor:",toarray"`
	// Address is where it accepts the connections of other routers.
	Address string
	Domain  celerylanding.FailureDomain
}

// TargetReport is what one router, the routers of a relay, or all routers know of a target's load.
type TargetReport struct {
	Target      celerylanding.TargetID    `cbor:"1,keyasint"`
	Incarnation celerylanding.Incarnation `cbor:"2,keyasint"`
	// Load and Slots are what the target said in its newest answer, Age ago; Slots is zero if it said nothing.
	Load  celerylanding.TargetLoad `cbor:"3,keyasint,omitempty"`
	Slots int                      `cbor:"4,keyasint,omitempty"`
	Age   time.Duration            `cbor:"5,keyasint,omitempty"`
	// Sent is the number of prompt tokens that were sent to the target since the last report, and Read that of those whose answers have begun or
	// that the target does not read any more. Unread is the difference over all routers; only nodes that answer watch requests state it.
	Sent   int `cbor:"6,keyasint,omitempty"`
	Read   int `cbor:"7,keyasint,omitempty"`
	Unread int `cbor:"8,keyasint,omitempty"`
	// Models lists the prompt tokens for which routers chose the target since the last report, by model.
	Models []ModelTokens `cbor:"9,keyasint,omitempty"`
}

// ModelTokens is a number of prompt tokens for a model.
type ModelTokens struct {
	Model  celerylanding.ModelID `cbor:"1,keyasint"`
	Tokens int                   `cbor:"2,keyasint"`
}

// AddModelTokens adds tokens to a list that holds each model once.
func AddModelTokens(list []ModelTokens, more ...ModelTokens) []ModelTokens {
	for _, entry := range more {
		at := slices.IndexFunc(list, func(known ModelTokens) bool { return known.Model == entry.Model })
		if at < 0 {
			list = append(list, entry)
			continue
		}
		list[at].Tokens += entry.Tokens
	}
	return list
}

// LimitReport is what one router, or the routers of a relay, know of a target that has announced a limit on requests.
type LimitReport struct {
	Target      celerylanding.TargetID    `cbor:"1,keyasint"`
	Incarnation celerylanding.Incarnation `cbor:"2,keyasint"`
	// IsAnswered is set if the target has answered lately, Age ago; HasLimit and Limit, in requests per second, are what this answer named.
	IsAnswered bool          `cbor:"3,keyasint,omitempty"`
	Age        time.Duration `cbor:"4,keyasint,omitempty"`
	HasLimit   bool          `cbor:"5,keyasint,omitempty"`
	Limit      float64       `cbor:"6,keyasint,omitempty"`
	// Wanted is the number of requests for which the target was the best choice since the last report, and Sent that of those that were sent.
	Wanted int `cbor:"7,keyasint,omitempty"`
	Sent   int `cbor:"8,keyasint,omitempty"`
}

// TargetLimit is the limit on requests that a target announces, and the demand for it.
type TargetLimit struct {
	Target      celerylanding.TargetID    `cbor:"1,keyasint"`
	Incarnation celerylanding.Incarnation `cbor:"2,keyasint"`
	// Limit and Demand are requests per second of all routers together.
	Limit  float64 `cbor:"3,keyasint"`
	Demand float64 `cbor:"4,keyasint"`
	// Sent is the number of requests that all routers have sent in the last 4 s.
	Sent int `cbor:"5,keyasint,omitempty"`
	// Age is the time since the last answer that named the limit.
	Age time.Duration `cbor:"6,keyasint,omitempty"`
}

// RelayAddress is a control node from which routers can receive the feed.
type RelayAddress struct {
	Address string                      `cbor:"1,keyasint"`
	Domain  celerylanding.FailureDomain `cbor:"2,keyasint"`
}

// Origin is the software version that sent the first event of a call's stream.
type Origin struct {
	// Call is a hash of the call's ID.
	Call     uint64                        `cbor:"1,keyasint"`
	Software celerylanding.SoftwareVersion `cbor:"2,keyasint,omitempty"`
	// Age is the time since the first event.
	Age time.Duration `cbor:"3,keyasint,omitempty"`
}

// OriginArgs ask the leader which software version began a stream.
type OriginArgs struct {
	Service celerylanding.ServiceID `cbor:"1,keyasint"`
	Call    uint64                  `cbor:"2,keyasint"`
}

// OriginReply is the version that began a stream, if IsKnown is set.
type OriginReply struct {
	Leads    bool                          `cbor:"1,keyasint"`
	IsKnown  bool                          `cbor:"2,keyasint,omitempty"`
	Software celerylanding.SoftwareVersion `cbor:"3,keyasint,omitempty"`
	// IsStarting is set if the leader is new and may learn of the stream soon.
	IsStarting bool `cbor:"4,keyasint,omitempty"`
}

// Outcome counts the requests of one router to one incarnation of a target since its last report.
type Outcome struct {
	Target      celerylanding.TargetID    `cbor:"1,keyasint"`
	Incarnation celerylanding.Incarnation `cbor:"2,keyasint"`
	Answered    int                       `cbor:"3,keyasint,omitempty"`
	Failed      int                       `cbor:"4,keyasint,omitempty"`
	// Node is the router that counted the requests; empty if it is the sender.
	Node celerylanding.NodeID `cbor:"5,keyasint,omitempty"`
}

// Crash reports that a request was running on an incarnation of a target when that crashed. Each fingerprint of a request makes a report.
type Crash struct {
	// Fingerprint is the same for all attempts of a request, or for all requests with a part of their prompts in common.
	Fingerprint uint64                    `cbor:"1,keyasint"`
	Target      celerylanding.TargetID    `cbor:"2,keyasint"`
	Incarnation celerylanding.Incarnation `cbor:"3,keyasint"`
	// Part is the position of the part in the prompt, from 1; zero for a whole request.
	Part int `cbor:"4,keyasint,omitempty"`
	// Run identifies the exchange that broke off, for a whole request; copies of a request have the same fingerprint and different runs.
	Run uint64 `cbor:"5,keyasint,omitempty"`
}

// DetourList is a list of routers, or the part of it that a router gets. The digest identifies the whole list.
type DetourList struct {
	_       struct{} `cbor:",toarray"`
	Digest  uint64
	Detours []Detour
}

// WatchReply holds the changes since the last reply.
type WatchReply struct {
	// Leads is set if the node is the leader. Unless Leads or Relayed is set, only Leader and Members are.
	Leads    bool     `cbor:"1,keyasint"`
	Leader   string   `cbor:"2,keyasint,omitempty"`
	Members  []string `cbor:"3,keyasint,omitempty"`
	Term     uint64   `cbor:"4,keyasint,omitempty"`
	Revision uint64   `cbor:"5,keyasint,omitempty"`
	// Configuration is nil if the node has the newest one.
	Configuration *routing.Configuration `cbor:"6,keyasint,omitempty"`
	Targets       *TargetList            `cbor:"7,keyasint,omitempty"`
	// Routers is the number of nodes that currently serve callers.
	Routers int `cbor:"8,keyasint,omitempty"`
	// Quarantined lists the fingerprints of requests and prompt parts that crash their targets, and Suspects those that may.
	Quarantined []uint64 `cbor:"9,keyasint,omitempty"`
	Suspects    []uint64 `cbor:"13,keyasint,omitempty"`
	// Trials lists the fingerprints of the requests whose copies run one at a time, each after the leader's consent.
	Trials []uint64 `cbor:"15,keyasint,omitempty"`
	// Limits lists the targets that announce a limit on requests, and Brittle those that say that they are brittle.
	Limits  []TargetLimit   `cbor:"14,keyasint,omitempty"`
	Brittle []BrittleTarget `cbor:"40,keyasint,omitempty"`
	// Departed are those of the request's unlisted targets that have left, each with the last incarnation that has.
	Departed []TargetIncarnation `cbor:"62,keyasint,omitempty"`
	// Relayed is set if the node is not the leader and passes on the leader's state, as of Age ago.
	Relayed bool          `cbor:"10,keyasint,omitempty"`
	Age     time.Duration `cbor:"11,keyasint,omitempty"`
	// Relays lists the nodes that pass on the leader's state, where there are too many routers for the leader alone.
	Relays []RelayAddress `cbor:"12,keyasint,omitempty"`
	// Version is the version of the newest configuration that can have been acknowledged Age before the node handled the request, or zero if the
	// node can't say. A router that has it, or a later one, in force knows that no key had been withdrawn by then that it still accepts.
	Version uint64 `cbor:"16,keyasint,omitempty"`
	// Reports are the load of the targets of which there is news since the last reply to the node.
	Reports []TargetReport `cbor:"18,keyasint,omitempty"`
	// Kept lists the parts of prompts that targets have read, as routers have reported them, and KeptNext is the number from which to ask next.
	Kept     []KeptPart `cbor:"20,keyasint,omitempty"`
	KeptNext uint64     `cbor:"21,keyasint,omitempty"`
	// Origins are records of the leader that a control node lacks, and OriginsNext is the number from which to ask next.
	Origins     []Origin `cbor:"60,keyasint,omitempty"`
	OriginsNext uint64   `cbor:"61,keyasint,omitempty"`
	// Detours lists routers that reach targets; nil if the node has the list.
	Detours *DetourList `cbor:"30,keyasint,omitempty"`
}

// IsState reports whether the reply holds the leader's state, from the leader itself or from a relay.
func (reply *WatchReply) IsState() bool { return reply.Leads || reply.Relayed }

// TrialArgs ask the leader whether a copy of a request may run, or report how it ended.
type TrialArgs struct {
	Node        celerylanding.NodeID `cbor:"1,keyasint"`
	Fingerprint uint64               `cbor:"2,keyasint"`
	// Run identifies the copy.
	Run uint64 `cbor:"3,keyasint"`
	// Target is the target that would get the copy, and Longest the time after which the copy has ended in any case.
	Target  celerylanding.TargetID `cbor:"8,keyasint,omitempty"`
	Longest time.Duration          `cbor:"4,keyasint,omitempty"`
	// HasEnded is set for a copy that has ended, NotRun if no target has run it, Refused if one has got it nevertheless, and Answered if one has
	// answered it completely.
	HasEnded bool `cbor:"5,keyasint,omitempty"`
	NotRun   bool `cbor:"6,keyasint,omitempty"`
	Answered bool `cbor:"7,keyasint,omitempty"`
	Refused  bool `cbor:"9,keyasint,omitempty"`
}

// TrialReply is the leader's decision on a copy of a request.
type TrialReply struct {
	Leads bool `cbor:"1,keyasint"`
	// MayRun is set if the copy may run now; otherwise another one is running, unless IsQuarantined is set.
	MayRun        bool `cbor:"2,keyasint,omitempty"`
	IsQuarantined bool `cbor:"3,keyasint,omitempty"`
}

// WakeArgs ask the leader to load a unit for waiting requests.
type WakeArgs struct {
	Node    celerylanding.NodeID    `cbor:"1,keyasint"`
	Service celerylanding.ServiceID `cbor:"2,keyasint"`
	Unit    Unit                    `cbor:"3,keyasint"`
	// Waiting is the number of requests that wait at the router.
	Waiting int `cbor:"4,keyasint"`
	// MaxWait is the longest time that one of them can still wait.
	MaxWait time.Duration `cbor:"5,keyasint"`
	// Slack is the longest time that one of them can still wait and be answered within its latency objective; zero if all are late already.
	Slack time.Duration `cbor:"8,keyasint,omitempty"`
	// Refusals lists targets that refused requests for the unit although they were published as having it loaded.
	Refusals []celerylanding.Endpoint `cbor:"6,keyasint,omitempty"`
	// Unreachable lists targets that are published as having the unit loaded but that the router can't use.
	Unreachable []celerylanding.Endpoint `cbor:"7,keyasint,omitempty"`
	// Software is the version that the target must have, for streams that have begun; "" for any.
	Software celerylanding.SoftwareVersion `cbor:"9,keyasint,omitempty"`
}

// WakeReply contains the expected time until the unit is loaded.
type WakeReply struct {
	Leads bool `cbor:"1,keyasint"`
	// Expected is the time until the unit will be loaded; zero if it is loaded already.
	Expected time.Duration `cbor:"2,keyasint"`
	// Infeasible is set when the unit can't be loaded within MaxWait; Expected is then the delay after which to retry.
	Infeasible bool `cbor:"3,keyasint"`
	// Cause is the reason of a delay or of Infeasible, for logs and error responses.
	Cause string `cbor:"4,keyasint,omitempty"`
	// Busy is set when the node had no time for the request; the other fields, except for Cause, then say nothing.
	Busy bool `cbor:"5,keyasint,omitempty"`
}

// KeptPart is a part of prompts that a target has read and is believed to keep.
type KeptPart struct {
	_ struct{} `cbor:",toarray"`
	// Target is a hash of the target's ID and incarnation.
	Target uint64
	// Chain is a hash of the model, the adapter and the parts up to this one, and Tokens the length of the part.
	Chain  uint64
	Tokens int
	// Age is the time since the part was last known to be read or used.
	Age time.Duration
}
