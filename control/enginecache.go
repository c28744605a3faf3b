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
	"celerylanding.example/celerylanding/loadplan"
)

const (
	// engineCacheFile is the file that holds the engines last known to a node.
	engineCacheFile = "engines.cache"
	// engineCacheInterval is the time between two writes of the file. Inspections after a restart find what has changed since the last
	// write, so the interval only bounds how many new engines are missing. A departure is written at once, since an engine that has left may still
	// answer.
	engineCacheInterval = 2 * time.Second
)

// ErrEngineCacheCorrupt means that the engine cache file is incomplete or has another format.
var ErrEngineCacheCorrupt = celerylanding.ErrorNamespace.NewType("recall_damaged")

// engineCache keeps the known engines across a restart of all nodes, after which no other node could list them.
type engineCache struct {
	// loaded holds the engines read from the file at the start of the process.
	loaded  []feed.Target
	saveDue time.Time
	saving  bool
	// pendingReplies is the number of cached engines whose inspection has not ended yet.
	pendingReplies int
}

// SaveEngines replaces the engine cache file in the folder; a crash leaves either the old file or the new one.
func SaveEngines(folder string, engines []feed.Target) error {
	data, err := cbor.Marshal(engines)
	if err != nil {
		return err
	}
	data = binary.BigEndian.AppendUint32(data, crc32.ChecksumIEEE(data))
	path := filepath.Join(folder, engineCacheFile)
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
	// The folder is not synced, since the old file is valid too.
	return os.Rename(path+".new", path)
}

// LoadEngines returns the engines of the cache file in the folder, or none if there is no file.
func LoadEngines(folder string) ([]feed.Target, error) {
	path := filepath.Join(folder, engineCacheFile)
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	size := len(data) - crc32.Size
	if size < 0 || crc32.ChecksumIEEE(data[:size]) != binary.BigEndian.Uint32(data[size:]) {
		return nil, ErrEngineCacheCorrupt.New("%s: checksum does not match %d bytes", path, len(data))
	}
	var engines []feed.Target
	if err := cbor.Unmarshal(data[:size], &engines); err != nil {
		return nil, ErrEngineCacheCorrupt.Wrap(err, "%s", path)
	}
	return engines, nil
}

// loadEngineCache reads the engine cache file; without it, engines become known by their heartbeats.
func (ctl *Control) loadEngineCache() {
	engines, err := LoadEngines(ctl.options.DataFolder)
	if err != nil {
		ctl.options.Log.Warn().Err(err).Msg("engine cache can't be read; waiting for heartbeats of engines")
	}
	ctl.engineCache.loaded = engines
}

// saveEngineCache writes the engine cache file when it is due; a slow disk delays only the next write.
func (ctl *Control) saveEngineCache(now time.Time) {
	if ctl.engineCache.saving || now.Before(ctl.engineCache.saveDue) {
		return
	}
	ctl.engineCache.saveDue = now.Add(engineCacheInterval)
	if ctl.configuration == nil || ctl.directory.Len() == 0 {
		// Without a configuration no target is known to be an engine.
		return
	}
	engines := []feed.Target{}
	for _, target := range ctl.directory.Targets() {
		if view := ctl.targetView(now, target); ctl.engineSpec(view.Service) != nil && !view.Leaving {
			engines = append(engines, view)
		}
	}
	ctl.engineCache.saving = true
	ctl.tasks.Go(func(ctx context.Context) {
		err := SaveEngines(ctl.options.DataFolder, engines)
		ctl.post(ctx, func(time.Time) {
			ctl.engineCache.saving = false
			if err != nil {
				ctl.options.Log.Warn().Err(err).Msg("engine cache can't be written")
			}
		})
	})
}

// inspectCachedEngines inspects the engines that were read from the engine cache, unless targets are known already. A reply counts as a
// heartbeat, so that callers are served before the next heartbeats arrive.
func (ctl *Control) inspectCachedEngines(now time.Time) {
	engines := ctl.engineCache.loaded
	ctl.engineCache.loaded = nil
	if len(engines) == 0 || len(ctl.directory.Targets()) > 0 {
		return
	}
	ctl.options.Log.Info().Int("engines", len(engines)).Msg("inspecting cached engines")
	ctl.engineCache.pendingReplies = len(engines)
	for _, engine := range engines {
		ctl.tasks.Go(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, orderTimeout)
			defer cancel()
			report, err := ctl.options.Engines.Inspect(ctx, now, engine.Endpoint())
			ctl.post(context.WithoutCancel(ctx), func(now time.Time) { ctl.handleCachedEngine(now, &engine, report, err) })
		})
	}
}

// handleCachedEngine applies the report of a cached engine like an announcement; an engine that does not reply, has
// restarted or is not ready is skipped.
func (ctl *Control) handleCachedEngine(now time.Time, engine *feed.Target, report *loadplan.Report, err error) {
	ctl.engineCache.pendingReplies--
	if err == nil && (report.Incarnation != engine.Incarnation || !report.Ready) {
		err = fmt.Errorf("engine reports incarnation %d and ready %t", report.Incarnation, report.Ready)
	}
	if err != nil {
		ctl.options.Log.Info().Err(err).Str("target", string(engine.ID)).Msg("cached engine is gone or not ready")
	} else {
		announcement := announcementOf(engine)
		announcement.Inventory, announcement.Cached = report.Inventory, report.Cached
		if ctl.directory.Observe(now, ctl.withDeparture(announcement)) {
			ctl.observeVersion(now, &announcement)
			ctl.observeTarget(now, engine.ID)
			ctl.planner.HandleReport(now, engine.Endpoint(), report)
		}
	}
	if ctl.engineCache.pendingReplies == 0 {
		ctl.planner.MarkDiscoveryComplete()
	}
}
