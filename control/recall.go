package control

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/fxamacker/cbor/v2"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/waking"
)

const (
	// recallName is the file that holds the engines which a node last knew.
	recallName = "engines.cache"
	// recallInterval is the time between two writes of that file. What has changed since is found out by asking the engines, so
	// that it only bounds how many new ones are missing.
	recallInterval = 2 * time.Second
)

// ErrRecallDamaged means that the file of known engines is torn or of another format.
var ErrRecallDamaged = celerylanding.Namespace.NewType("recall_damaged")

// recall keeps the engines that this node knows over a restart of all nodes, after which nobody else could name them.
type recall struct {
	// engines were known before this start.
	engines []feed.Target
	saveDue time.Time
	saving  bool
	// unanswered is the number of engines that have not been heard of since they were asked.
	unanswered int
}

// SaveEngines replaces the file of known engines; a crash leaves either the old file or the new one.
func SaveEngines(folder string, engines []feed.Target) error {
	data, err := cbor.Marshal(engines)
	if err != nil {
		return err
	}
	data = binary.BigEndian.AppendUint32(data, crc32.ChecksumIEEE(data))
	path := filepath.Join(folder, recallName)
	file, err := os.OpenFile(path+".new", os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	if err = errors.Join(err, file.Close()); err != nil {
		return err
	}
	// The folder is not synced: the old file does as well.
	return os.Rename(path+".new", path)
}

// LoadEngines returns the engines of the file, none if there is no file.
func LoadEngines(folder string) ([]feed.Target, error) {
	path := filepath.Join(folder, recallName)
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	size := len(data) - crc32.Size
	if size < 0 || crc32.ChecksumIEEE(data[:size]) != binary.BigEndian.Uint32(data[size:]) {
		return nil, ErrRecallDamaged.New("%s: checksum does not match %d bytes", path, len(data))
	}
	var engines []feed.Target
	if err := cbor.Unmarshal(data[:size], &engines); err != nil {
		return nil, ErrRecallDamaged.Wrap(err, "%s", path)
	}
	return engines, nil
}

// loadRecall reads what an earlier start of this node has known; without it the engines' heartbeats tell the same.
func (ctl *Control) loadRecall() {
	engines, err := LoadEngines(ctl.options.DataFolder)
	if err != nil {
		ctl.options.Log.Warn().Err(err).Msg("earlier engines are not known, their heartbeats are awaited")
	}
	ctl.recall.engines = engines
}

// saveRecall writes the file of known engines when it is due; a slow disk delays only the next write.
func (ctl *Control) saveRecall(now time.Time) {
	if ctl.recall.saving || now.Before(ctl.recall.saveDue) {
		return
	}
	ctl.recall.saveDue = now.Add(recallInterval)
	var engines []feed.Target
	for _, target := range ctl.directory.Targets() {
		if view := ctl.viewOf(now, target); ctl.engineSpec(view.Service) != nil && !view.Leaving {
			engines = append(engines, view)
		}
	}
	if len(engines) == 0 {
		return
	}
	ctl.recall.saving = true
	ctl.tasks.Go(func(ctx context.Context) {
		err := SaveEngines(ctl.options.DataFolder, engines)
		ctl.post(ctx, func(time.Time) {
			ctl.recall.saving = false
			if err != nil {
				ctl.options.Log.Warn().Err(err).Msg("known engines can't be saved")
			}
		})
	})
}

// askRecalled asks the engines that an earlier start has known what has become of them. What they say counts as a heartbeat, so
// that callers are served before the next ones come.
func (ctl *Control) askRecalled(now time.Time) {
	engines := ctl.recall.engines
	ctl.recall.engines = nil
	if len(engines) == 0 || len(ctl.directory.Targets()) > 0 {
		return
	}
	ctl.options.Log.Info().Int("engines", len(engines)).Msg("engines of an earlier start are asked")
	ctl.recall.unanswered = len(engines)
	for _, engine := range engines {
		ctl.tasks.Go(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, orderTimeout)
			defer cancel()
			report, err := ctl.options.Engines.Inspect(ctx, now, engine.Endpoint())
			ctl.post(context.WithoutCancel(ctx), func(now time.Time) { ctl.takeRecalled(now, &engine, report, err) })
		})
	}
}

// takeRecalled takes an engine's account of itself in place of a heartbeat.
func (ctl *Control) takeRecalled(now time.Time, engine *feed.Target, report *waking.Report, err error) {
	ctl.recall.unanswered--
	if err == nil && (report.Incarnation != engine.Incarnation || !report.Ready) {
		err = fmt.Errorf("incarnation %d, ready %t", report.Incarnation, report.Ready)
	}
	if err != nil {
		ctl.options.Log.Info().Err(err).Str("target", string(engine.ID)).Msg("engine of an earlier start is not taken up")
	} else {
		announcement := announcementOf(engine)
		announcement.Inventory, announcement.Cached = report.Inventory, report.Cached
		if ctl.directory.Observe(now, announcement) {
			ctl.observeTarget(now, engine.ID)
			ctl.planner.Inspected(now, engine.Endpoint(), report)
		}
	}
	if ctl.recall.unanswered == 0 {
		ctl.planner.Inherited()
	}
}
