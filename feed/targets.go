package feed

import (
	"sync"

	"github.com/fxamacker/cbor/v2"
)

// TargetList is a list of targets that is encoded once for all replies that contain it; it must not be changed after its creation.
type TargetList struct {
	targets []Target
	once    sync.Once
	encoded []byte
	err     error
}

// NewTargetList returns a list of the targets, which must not be changed afterwards.
func NewTargetList(targets []Target) *TargetList { return &TargetList{targets: targets} }

// All returns the targets; a nil list has none.
func (list *TargetList) All() []Target {
	if list == nil {
		return nil
	}
	return list.targets
}

// MarshalCBOR returns the encoded list, or the error of the first encoding.
func (list *TargetList) MarshalCBOR() ([]byte, error) {
	list.once.Do(func() { list.encoded, list.err = cbor.Marshal(list.targets) })
	return list.encoded, list.err
}

// UnmarshalCBOR decodes a list.
func (list *TargetList) UnmarshalCBOR(data []byte) error {
	return listDecoder.Unmarshal(data, &list.targets)
}

// listDecoder decodes whatever MarshalCBOR encodes, so that one odd name does not cost all targets.
var listDecoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 20, UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()
