package control

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"unicode/utf8"

	"github.com/joomcode/errorx"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/quorum"
	"celerylanding.example/celerylanding/quorum/wal"
)

const (
	// memberFile is the file that holds the member ID of a data folder.
	memberFile = "member"
	// seedPrefix begins the IDs of the members in the initial configuration of the log.
	seedPrefix = "seed@"
)

// openLog opens the log of the data folder. A corrupt one counts as a lost disk: it is set aside, and the node joins as a new member.
func (ctl *Control) openLog(newID quorum.MemberID) (*wal.WAL, wal.Recovered, error) {
	log, recovered, err := wal.OpenIn(ctl.options.files(), ctl.options.DataFolder, true)
	if !errorx.IsOfType(err, wal.ErrCorrupt) {
		return log, recovered, err
	}
	// The new ID comes first: after a crash in between, nothing may act under the old one without its log.
	if err := wal.WriteDurably(filepath.Join(ctl.options.DataFolder, memberFile), string(newID)); err != nil {
		return nil, wal.Recovered{}, err
	}
	kept, asideErr := wal.SetAside(ctl.options.files(), ctl.options.DataFolder)
	if asideErr != nil {
		return nil, wal.Recovered{}, asideErr
	}
	ctl.options.Metrics.Counter("logs_set_aside").Inc(1)
	ctl.options.Log.Error().Err(err).Str("kept_as", kept).Str("member", string(newID)).
		Msg("control log is corrupt and set aside; this node joins as a new member")
	return wal.OpenIn(ctl.options.files(), ctl.options.DataFolder, true)
}

// loadMemberID returns the member ID of the data folder and bootstraps the log of a seed that has none. A folder without a readable ID or without a
// log gets the new one, unless it is that of a seed: the log may have been lost.
func loadMemberID(options Options, log *wal.WAL, recovered *wal.Recovered, address string, newID quorum.MemberID) (quorum.MemberID, error) {
	path := filepath.Join(options.DataFolder, memberFile)
	text, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return "", err
	}
	id := quorum.MemberID(text)
	if len(text) > maxMemberText || !utf8.Valid(text) {
		options.Log.Error().Str("path", path).Msg("member file can't be read; this node joins as a new member")
		id = ""
	}
	if id != "" && !recovered.IsEmpty() {
		return id, nil
	}
	id, err = newID, nil
	if isFirstStart := len(text) == 0 && (recovered.IsEmpty() || isBootstrapLog(recovered)); isFirstStart && options.Bootstrap &&
		slices.Contains(options.Seeds(), address) && !wal.HasSetAside(options.DataFolder) {
		// The log comes before the member file, so that a member file without a log is a lost log.
		id, err = quorum.MemberID(seedPrefix+address), bootstrapLog(options, log, recovered)
	}
	if err != nil {
		return "", err
	}
	return id, wal.WriteDurably(path, string(id))
}

// isBootstrapLog reports whether the log holds its first records only.
func isBootstrapLog(recovered *wal.Recovered) bool {
	return recovered.HardState.Term == quorum.BootstrapTerm && recovered.Snapshot.Index == 0 && len(recovered.Entries) == 1
}

// bootstrapLog writes the first records of a new log, unless they are there.
func bootstrapLog(options Options, log *wal.WAL, recovered *wal.Recovered) error {
	if !recovered.IsEmpty() {
		return nil
	}
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

// seedMembers returns the initial voters of a new log; they are the same on every seed.
func seedMembers(seeds []string) []quorum.Member {
	seeds = slices.Sorted(slices.Values(seeds))
	members := make([]quorum.Member, 0, len(seeds))
	for _, address := range slices.Compact(seeds) {
		members = append(members, quorum.Member{ID: quorum.MemberID(seedPrefix + address), Node: celerylanding.NodeID(address),
			Address: address, Durable: true})
	}
	return members
}
