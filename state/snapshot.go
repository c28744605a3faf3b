package state

import (
	"sort"

	"github.com/fxamacker/cbor/v2"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/chart"
	"celerylanding.example/celerylanding/config"
)

// snapshotImage is the serialized form of the state; its lists are sorted, so that equal states have equal bytes.
type snapshotImage struct {
	Index     uint64          `cbor:"1,keyasint"`
	Document  config.Document `cbor:"2,keyasint"`
	Revisions []revisionImage `cbor:"3,keyasint"`
	Targets   []Target        `cbor:"4,keyasint"`
	Replicas  []replicaImage  `cbor:"5,keyasint"`
	Leases    []leaseImage    `cbor:"6,keyasint"`
	Claims    []claimImage    `cbor:"7,keyasint"`
	Failures  []failureImage  `cbor:"8,keyasint"`
}

type revisionImage struct {
	Number uint64        `cbor:"1,keyasint"`
	Digest config.Digest `cbor:"2,keyasint"`
}

type replicaImage struct {
	Order       celerylanding.OrderNumber `cbor:"1,keyasint"`
	Model       celerylanding.ModelID     `cbor:"2,keyasint"`
	Target      celerylanding.TargetID    `cbor:"3,keyasint"`
	Incarnation celerylanding.Incarnation `cbor:"4,keyasint"`
	Bytes       celerylanding.Bytes       `cbor:"5,keyasint"`
	State       chart.State               `cbor:"6,keyasint"`
	Unplanned   bool                      `cbor:"7,keyasint,omitempty"`
}

type leaseImage struct {
	Domain celerylanding.FailureDomain `cbor:"1,keyasint"`
	Holder string                      `cbor:"2,keyasint"`
	Fence  celerylanding.FencingToken  `cbor:"3,keyasint"`
}

type claimImage struct {
	Service     celerylanding.ServiceID         `cbor:"1,keyasint"`
	Key         string                          `cbor:"2,keyasint"`
	Fingerprint uint64                          `cbor:"3,keyasint"`
	Owner       string                          `cbor:"4,keyasint"`
	TimeMillis  int64                           `cbor:"5,keyasint"`
	Response    *celerylanding.RecordedResponse `cbor:"6,keyasint,omitempty"`
}

type failureImage struct {
	Model celerylanding.ModelID `cbor:"1,keyasint"`
	Cause string                `cbor:"2,keyasint"`
}

// Snapshot returns the state as CBOR.
func (state *State) Snapshot() ([]byte, error) {
	image := snapshotImage{Index: state.index, Document: state.document, Targets: state.Targets()}
	for _, past := range state.revisions {
		image.Revisions = append(image.Revisions, revisionImage{past.number, past.digest})
	}
	for _, replica := range state.Replicas() {
		image.Replicas = append(image.Replicas, replicaImage{replica.order, replica.model, replica.target,
			replica.incarnation, replica.bytes, replica.state, replica.unplanned})
	}
	for domain, lease := range state.leases {
		image.Leases = append(image.Leases, leaseImage{domain, lease.holder, lease.fence})
	}
	sort.Slice(image.Leases, func(i, j int) bool { return image.Leases[i].Domain < image.Leases[j].Domain })
	image.Claims = state.claimImages()
	for model, cause := range state.failures {
		image.Failures = append(image.Failures, failureImage{model, cause})
	}
	sort.Slice(image.Failures, func(i, j int) bool { return image.Failures[i].Model < image.Failures[j].Model })
	return cbor.Marshal(image)
}

// claimImages returns the claims by age. A key that was released and claimed again is in claimOrder twice but is returned once.
func (state *State) claimImages() []claimImage {
	images := make([]claimImage, 0, len(state.claims))
	seen := make(map[claimID]bool, len(state.claims))
	for _, id := range state.claimOrder {
		record, ok := state.claims[id]
		if !ok || seen[id] {
			continue
		}
		seen[id] = true
		images = append(images, claimImage{id.service, id.key, record.fingerprint, record.owner, record.timeMillis, record.response})
	}
	return images
}

// Restore returns the state of a snapshot, or the empty state for an empty one; it fails if the snapshot cannot be decoded or its
// configuration is invalid.
func Restore(data []byte) (*State, error) {
	state, err := New()
	if err != nil || len(data) == 0 {
		return state, err
	}
	var image snapshotImage
	if err := snapshotDecoder.Unmarshal(data, &image); err != nil {
		return nil, err
	}
	state.index = image.Index
	if image.Document.Base != "" {
		if state.config, err = config.Parse(image.Document); err != nil {
			return nil, err
		}
		state.document = image.Document
	}
	for _, past := range image.Revisions {
		state.revisions = append(state.revisions, revision{past.Number, past.Digest})
	}
	for _, target := range image.Targets {
		state.targets[target.ID] = target
	}
	for _, replica := range image.Replicas {
		state.insert(&Replica{replica.Order, replica.Model, replica.Target, replica.Incarnation, replica.Bytes, replica.State, replica.Unplanned})
	}
	for _, lease := range image.Leases {
		state.leases[lease.Domain] = Lease{lease.Holder, lease.Fence}
	}
	for _, claim := range image.Claims {
		id := claimID{claim.Service, claim.Key}
		state.claims[id] = &claimRecord{claim.Fingerprint, claim.Owner, claim.TimeMillis, claim.Response}
		state.claimOrder = append(state.claimOrder, id)
	}
	for _, failure := range image.Failures {
		state.failures[failure.Model] = failure.Cause
	}
	return state, nil
}

// snapshotDecoder raises the limit on array elements for the snapshots of large sites.
var snapshotDecoder = mustDecoder()

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 24}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}
