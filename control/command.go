package control

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/common/rpccodec"
	"celerylanding.example/celerylanding/quorum"
)

const (
	// maxCommandBytes bounds an encoded command. A snapshot with a command of this size fits into one frame between members.
	maxCommandBytes = 32 << 20
	// maxCallBytes bounds the data of the messages in one call, unless it has only one message.
	maxCallBytes = rpccodec.MaxFrame * 3 / 4
)

// ErrBadCommand means that a command can't be applied by every member; it was not proposed.
var ErrBadCommand = celerylanding.ErrorNamespace.NewType("bad_command")

// ErrLaterFormat means that a command or a snapshot is of a later build.
var ErrLaterFormat = celerylanding.ErrorNamespace.NewType("later_format")

var (
	// strictDecoder refuses texts that are not UTF-8, which members of other builds may be unable to decode, and lists that are too long for a call.
	strictDecoder = mustDecoder(rpccodec.MaxElements, cbor.UTF8RejectInvalid)
	// replicatedDecoder decodes whatever can be encoded, since a committed command can't be taken back.
	replicatedDecoder = mustDecoder(maxCommandBytes, cbor.UTF8DecodeInvalid)
)

func mustDecoder(elements int, utf8 cbor.UTF8Mode) cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: elements, MaxMapPairs: elements, UTF8: utf8}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// decodeReplicated decodes a committed command or a snapshot.
func decodeReplicated(data []byte) (*replicated, error) {
	state := &replicated{}
	if err := replicatedDecoder.Unmarshal(data, state); err != nil {
		return nil, err
	}
	return state, state.checkFormat()
}

// checkFormat returns ErrLaterFormat if a command or a snapshot needs a later format than this build applies.
func (state *replicated) checkFormat() error {
	if state.Format > logFormat {
		return ErrLaterFormat.New("format %d is needed, this build applies formats up to %d", state.Format, logFormat)
	}
	return nil
}

// checkCommand returns ErrBadCommand unless every member can replicate and apply the command.
func checkCommand(data []byte) error {
	if len(data) > maxCommandBytes {
		return ErrBadCommand.New("the command has %d bytes, at most %d are allowed", len(data), maxCommandBytes)
	}
	command := &replicated{}
	if err := strictDecoder.Unmarshal(data, command); err != nil {
		return ErrBadCommand.Wrap(err, "the command can't be decoded")
	}
	if err := command.checkFormat(); err != nil {
		return ErrBadCommand.Wrap(err, "the command can't be applied")
	}
	switch {
	case len(command.Departed) > 0 || command.hasFingerprints() || command.SettledTerm > 0 || command.Versions != nil:
		return nil
	case command.Version == 0:
		return ErrBadCommand.New("the command has no content")
	}
	if err := command.Validate(); err != nil {
		return ErrBadCommand.Wrap(err, "configuration %d is invalid", command.Version)
	}
	return nil
}

// encodeCommand encodes a command that every member can apply.
func encodeCommand(command any) ([]byte, error) {
	data, err := cbor.Marshal(command)
	if err != nil {
		return nil, err
	}
	return data, checkCommand(data)
}

// stall ends the application of the log at an entry or snapshot that this build can't read. The member keeps its log, replicates it and votes, since
// that does not depend on the content; it neither leads nor relays nor compacts until it gets a later snapshot or another build.
func (ctl *Control) stall(now time.Time, index uint64, cause error) {
	ctl.isStalled = true
	ctl.options.Metrics.Counter("log_unreadable").Inc(1)
	ctl.options.Log.Error().Err(cause).Uint64("index", index).
		Msg("log can't be read by this build from here on; this node does not lead until another build runs here")
	ctl.effects.Merge(ctl.core.SetElectable(now, false))
}

// withoutUnreadable returns the messages without snapshots that this build can't read. The sender repeats them.
func (ctl *Control) withoutUnreadable(messages []quorum.Message) []quorum.Message {
	kept := make([]quorum.Message, 0, len(messages))
	for _, message := range messages {
		if message.Snapshot != nil {
			if err := checkSnapshot(message.Snapshot); err != nil {
				ctl.options.Metrics.Counter("snapshots_refused").Inc(1)
				ctl.options.Log.Error().Err(err).Str("member", string(message.From)).Uint64("index", message.Snapshot.Index).
					Msg("received snapshot can't be read by this build; it is not installed")
				continue
			}
		}
		kept = append(kept, message)
	}
	return kept
}

func checkSnapshot(snapshot *quorum.Snapshot) error {
	if len(snapshot.Data) == 0 {
		return nil
	}
	_, err := decodeReplicated(snapshot.Data)
	return err
}
