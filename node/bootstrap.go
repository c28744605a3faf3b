package node

import (
	"errors"
	"fmt"

	"github.com/joomcode/errorx"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/quorum"
	"celerylanding.example/celerylanding/quorum/wal"
)

// ErrLogExists means that the data folder already holds a control log.
var ErrLogExists = celerylanding.ErrorNamespace.NewType("has_log")

// BootstrapOptions describes the first voter of a new control log.
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
		return "", ErrLogExists.New("%s holds a control log already", options.DataFolder)
	}
	incarnation, err := loadIncarnation(options.DataFolder, fmt.Sprintf("%x", options.Seed))
	if err != nil {
		return "", err
	}
	member = MemberID(options.ID, incarnation)
	return member, log.Append(quorum.Bootstrap(quorum.Member{ID: member, Node: options.ID, Domain: options.Domain,
		Address: options.Address, Durable: true}))
}

// IsLogExists reports whether the error is an ErrLogExists.
func IsLogExists(err error) bool { return errorx.IsOfType(err, ErrLogExists) }
