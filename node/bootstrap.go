package node

import (
	"errors"
	"fmt"

	"github.com/joomcode/errorx"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/quorum"
	"celerylanding.example/celerylanding/quorum/wal"
)

// ErrHasLog means that a data folder holds a control log already.
var ErrHasLog = celerylanding.Namespace.NewType("has_log")

// BootstrapOptions describe the first voter of a new control log.
type BootstrapOptions struct {
	ID         celerylanding.NodeID
	Domain     celerylanding.FailureDomain
	DataFolder string
	Address    string
	Seed       uint64
}

// Bootstrap starts a new control log with one voter and returns its member ID.
func Bootstrap(options BootstrapOptions) (member quorum.MemberID, err error) {
	log, recovered, err := wal.Open(options.DataFolder, true)
	if err != nil {
		return "", err
	}
	defer func() { err = errors.Join(err, log.Close()) }()
	if !recovered.IsEmpty() {
		return "", ErrHasLog.New("%s holds a control log already", options.DataFolder)
	}
	incarnation, err := folderIncarnation(options.DataFolder, fmt.Sprintf("%x", options.Seed))
	if err != nil {
		return "", err
	}
	member = MemberID(options.ID, incarnation)
	return member, log.Append(quorum.Bootstrap(quorum.Member{ID: member, Node: options.ID, Domain: options.Domain,
		Address: options.Address, Durable: true}))
}

// IsLogExists reports whether the error says that a folder holds a control log already.
func IsLogExists(err error) bool { return errorx.IsOfType(err, ErrHasLog) }
