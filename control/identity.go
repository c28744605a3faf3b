package control

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/quorum"
	"celerylanding.example/celerylanding/quorum/wal"
)

const (
	// memberFile names the member that a data folder belongs to.
	memberFile = "member"
	// seedPrefix marks the members that the first configuration of the log names.
	seedPrefix = "seed@"
)

// identify returns the member that the data folder belongs to, and starts the log of a seed that has none.
func identify(options Options, log *wal.WAL, recovered *wal.Recovered, address, fresh string) (quorum.MemberID, error) {
	path := filepath.Join(options.DataFolder, memberFile)
	text, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return "", err
	}
	id := quorum.MemberID(text)
	mayStart := recovered.IsEmpty() && options.Bootstrap && slices.Contains(options.Seeds(), address)
	isFirst := strings.HasPrefix(string(id), seedPrefix)
	if id == "" || (isFirst && recovered.IsEmpty() && !mayStart) {
		if id = quorum.MemberID(address + "/" + fresh); mayStart {
			id = quorum.MemberID(seedPrefix + address)
		}
		if err := wal.WriteDurably(path, string(id)); err != nil {
			return "", err
		}
	}
	if mayStart && strings.HasPrefix(string(id), seedPrefix) {
		return id, startLog(options, log, recovered)
	}
	return id, nil
}

// startLog writes the first records of a new log.
func startLog(options Options, log *wal.WAL, recovered *wal.Recovered) error {
	records := quorum.BootstrapVoters(seedMembers(options.Seeds()))
	if err := log.Append(records); err != nil {
		return err
	}
	for _, record := range records {
		if err := recovered.Replay(record); err != nil {
			return err
		}
	}
	return nil
}

// seedMembers returns the voters of a new log; they are the same on every seed.
func seedMembers(seeds []string) []quorum.Member {
	seeds = slices.Sorted(slices.Values(seeds))
	members := make([]quorum.Member, 0, len(seeds))
	for _, address := range slices.Compact(seeds) {
		members = append(members, quorum.Member{ID: quorum.MemberID(seedPrefix + address), Node: celerylanding.NodeID(address),
			Address: address, Durable: true})
	}
	return members
}
