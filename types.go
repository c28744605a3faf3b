package celerylanding

import (
	"slices"
	"strings"
	"time"
	"unicode/utf8"
)

// NodeID names a node, the process that serves callers on a VM; it stays the same over restarts.
type NodeID string

// FailureDomain names a set of VMs and targets that can fail together.
type FailureDomain string

// TargetID names a model engine or plain service; it stays the same over restarts.
type TargetID string

// Incarnation identifies one start of a target; later starts have higher numbers.
type Incarnation uint64

// ModelID names a loadable unit: "base@version" for a model, or the adapter's name.
type ModelID string

// ServiceID names a plain service.
type ServiceID string

// Bytes is a size in bytes.
type Bytes int64

// FencingToken is the log index of the grant of the executor lease under which an order was issued.
type FencingToken uint64

// OrderNumber identifies the decision that an order carries out; later decisions have higher numbers.
type OrderNumber uint64

// TargetKind distinguishes model engines from plain services.
type TargetKind string

// The kinds of target.
const (
	KindEngine  TargetKind = "engine"
	KindService TargetKind = "service"
)

// Role is the phase of a generation that an engine runs: prefill, decode or both (mixed).
type Role string

// The roles.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// IsValid reports whether the role is one of the defined roles.
func (role Role) IsValid() bool {
	return role == RoleMixed || role == RolePrefill || role == RoleDecode
}

// Tier is the storage tier from which a target would load a checkpoint.
type Tier string

// The tiers, nearest first.
const (
	TierMemory Tier = "memory"
	TierDisk   Tier = "disk"
	TierRemote Tier = "remote"
)

// SoftwareVersion is the version of a target's software. Versions have no order.
type SoftwareVersion string

// Priority is the priority class of a request; lower values are served first.
type Priority int

// The priority classes.
const (
	PriorityInteractive Priority = iota
	PriorityNormal
	PriorityBatch
	PriorityCount
)

// ParsePriority returns the priority class of a name, ignoring case; "" is normal and an unknown name returns false.
func ParsePriority(name string) (Priority, bool) {
	switch strings.ToLower(name) {
	case "interactive":
		return PriorityInteractive, true
	case "", "normal":
		return PriorityNormal, true
	case "batch":
		return PriorityBatch, true
	}
	return PriorityNormal, false
}

// String returns the name of the class.
func (priority Priority) String() string {
	switch priority {
	case PriorityInteractive:
		return "interactive"
	case PriorityBatch:
		return "batch"
	}
	return "normal"
}

// CachedCheckpoint is a checkpoint in a target's cache and the tier that holds it.
type CachedCheckpoint struct {
	Model ModelID `json:"model" cbor:"1,keyasint"`
	Tier  Tier    `json:"tier" cbor:"2,keyasint"`
}

// LoadedModel is one entry of a target's inventory.
type LoadedModel struct {
	Model ModelID `json:"model" cbor:"1,keyasint"`
	Bytes Bytes   `json:"bytes" cbor:"2,keyasint"`
	// State is "ready", "loading" or "unloading".
	State string `json:"state" cbor:"3,keyasint"`
}

// TargetLoad is the load as the target itself reports it, with a delay.
type TargetLoad struct {
	Running int `json:"running" cbor:"1,keyasint"`
	Waiting int `json:"waiting" cbor:"2,keyasint"`
	// Slowdown is the time that work takes on the target's machine now, relative to the usual time: 1 as usual, 2 twice as long, 0 unknown.
	Slowdown float64 `json:"slowdown,omitempty" cbor:"3,keyasint,omitempty"`
}

// Announcement is the state that a target reports to any one node.
type Announcement struct {
	Target      TargetID           `json:"target" cbor:"1,keyasint"`
	Incarnation Incarnation        `json:"incarnation" cbor:"2,keyasint"`
	Sequence    uint64             `json:"sequence" cbor:"3,keyasint"`
	Domain      FailureDomain      `json:"failure_domain" cbor:"4,keyasint"`
	Group       string             `json:"group" cbor:"5,keyasint"`
	Address     string             `json:"address" cbor:"6,keyasint"`
	Kind        TargetKind         `json:"kind" cbor:"7,keyasint"`
	Memory      Bytes              `json:"memory" cbor:"8,keyasint"`
	Fencing     bool               `json:"fencing" cbor:"9,keyasint"`
	Leaving     bool               `json:"leaving" cbor:"10,keyasint"`
	Slots       int                `json:"slots" cbor:"11,keyasint"`
	Inventory   []LoadedModel      `json:"inventory" cbor:"12,keyasint"`
	Cached      []CachedCheckpoint `json:"cached" cbor:"13,keyasint"`
	Load        TargetLoad         `json:"load" cbor:"14,keyasint"`
	// Role is the engine's current role; "" means that it runs all phases of a request.
	Role Role `json:"role,omitempty" cbor:"15,keyasint,omitempty"`
	// Fetching is the model that an engine is loading from the weight store, set by the node that ordered the load; engines don't report it.
	Fetching ModelID `json:"fetching,omitempty" cbor:"16,keyasint,omitempty"`
	// Software is the version of the target's software, or "" if it is not stated.
	Software SoftwareVersion `json:"software,omitempty" cbor:"17,keyasint,omitempty"`
	// Notice is the time after which a leaving target is taken away, whatever it is running; zero if it has not said so. The platform's targets state it.
	Notice time.Duration `json:"-" cbor:"18,keyasint,omitempty"`
}

// Heartbeat is the part of an announcement that changes frequently.
type Heartbeat struct {
	Target      TargetID    `cbor:"1,keyasint"`
	Incarnation Incarnation `cbor:"2,keyasint"`
	Sequence    uint64      `cbor:"3,keyasint"`
	Load        TargetLoad  `cbor:"4,keyasint"`
}

// Heartbeat returns the part of the announcement that changes frequently.
func (ann Announcement) Heartbeat() Heartbeat {
	return Heartbeat{Target: ann.Target, Incarnation: ann.Incarnation, Sequence: ann.Sequence, Load: ann.Load}
}

// DiffersOnlyInHeartbeat reports whether the announcements are equal except for their heartbeats. The order of lists matters.
func (ann Announcement) DiffersOnlyInHeartbeat(other Announcement) bool {
	ann.Sequence, ann.Load = other.Sequence, other.Load
	return ann.Target == other.Target && ann.Incarnation == other.Incarnation && ann.Domain == other.Domain &&
		ann.Group == other.Group && ann.Address == other.Address && ann.Kind == other.Kind && ann.Memory == other.Memory &&
		ann.Fencing == other.Fencing && ann.Leaving == other.Leaving && ann.Slots == other.Slots && ann.Role == other.Role &&
		ann.Fetching == other.Fetching && ann.Software == other.Software && slices.Equal(ann.Inventory, other.Inventory) && slices.Equal(ann.Cached, other.Cached)
}

// IsUTF8 reports whether all texts of the announcement are UTF-8. Other ones can't be decoded by every node.
func (ann Announcement) IsUTF8() bool {
	for _, text := range []string{string(ann.Target), string(ann.Domain), ann.Group, ann.Address, string(ann.Kind), string(ann.Role), string(ann.Fetching),
		string(ann.Software)} {
		if !utf8.ValidString(text) {
			return false
		}
	}
	return !slices.ContainsFunc(ann.Inventory, func(entry LoadedModel) bool {
		return !utf8.ValidString(string(entry.Model)) || !utf8.ValidString(entry.State)
	}) && !slices.ContainsFunc(ann.Cached, func(entry CachedCheckpoint) bool {
		return !utf8.ValidString(string(entry.Model)) || !utf8.ValidString(string(entry.Tier))
	})
}

// Supersedes reports whether the announcement is newer than another one of the same target.
func (ann Announcement) Supersedes(other Announcement) bool {
	if ann.Incarnation != other.Incarnation {
		return ann.Incarnation > other.Incarnation
	}
	return ann.Sequence > other.Sequence
}

// OrderKind is the operation that an order requests.
type OrderKind string

// The kinds of order.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
)

// Order instructs one incarnation of a target to load or unload a model, or to change its role.
type Order struct {
	Number      OrderNumber   `json:"order"`
	Fence       FencingToken  `json:"fence"`
	Kind        OrderKind     `json:"kind"`
	Target      TargetID      `json:"target"`
	Incarnation Incarnation   `json:"incarnation"`
	Model       ModelID       `json:"model"`
	Base        ModelID       `json:"base,omitempty"`
	Bytes       Bytes         `json:"bytes"`
	Timeout     time.Duration `json:"timeout"`
	Role        Role          `json:"role,omitempty"`
}

// Endpoint is the network address of one incarnation of a target.
type Endpoint struct {
	Target      TargetID
	Incarnation Incarnation
	Address     string
}
