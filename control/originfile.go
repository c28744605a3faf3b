package control

import (
	"context"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/resume"
)

const (
	// originFile and formerOriginFile hold the records of streams of the last one to two originFileTime.
	originFile       = "origins.log"
	formerOriginFile = "origins.old"
	// originFileTime is the time after which a new file begins; no record is of use for longer.
	originFileTime = time.Minute
	// originInterval is the shortest time between two writes, and originRetryInterval that after a write that failed.
	originInterval      = 100 * time.Millisecond
	originRetryInterval = time.Second
	// frameHeader is the size of a frame's length and checksum.
	frameHeader = 8
	// maxOriginFile is the size up to which a file is read.
	maxOriginFile = 8 << 20
)

// OriginLog is the file in which a control node keeps the records of streams, so that they outlast a restart of all control nodes. It is not synced: what
// a loss of power takes is lost. It is used by one goroutine at a time.
type OriginLog struct {
	folder string
	file   *os.File
	began  time.Time
	// size is the length of the file up to the last whole frame.
	size int64
}

// NewOriginLog returns a log in the folder; its first write begins a new file.
func NewOriginLog(folder string) *OriginLog { return &OriginLog{folder: folder} }

// Append writes records, all of them or none.
func (log *OriginLog) Append(now time.Time, origins []feed.Origin) error {
	if log.file != nil && now.Sub(log.began) > originFileTime {
		if err := log.Close(); err != nil {
			return err
		}
	}
	if log.file == nil {
		if err := log.begin(now); err != nil {
			return err
		}
	}
	data, err := cbor.Marshal(origins)
	if err != nil {
		return err
	}
	frame := binary.BigEndian.AppendUint32(nil, uint32(len(data)))
	frame = append(binary.BigEndian.AppendUint32(frame, crc32.ChecksumIEEE(data)), data...)
	if _, err := log.file.Write(frame); err != nil {
		if cut := log.file.Truncate(log.size); cut != nil {
			// What follows a torn frame is not read.
			return errors.Join(err, cut, log.Close())
		}
		return err
	}
	log.size += int64(len(frame))
	return nil
}

// begin begins a new file and keeps the one before.
func (log *OriginLog) begin(now time.Time) error {
	path := filepath.Join(log.folder, originFile)
	if err := os.Rename(path, filepath.Join(log.folder, formerOriginFile)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	log.file, log.began, log.size = file, now, 0
	return nil
}

// Close closes the file.
func (log *OriginLog) Close() error {
	if log.file == nil {
		return nil
	}
	file := log.file
	log.file = nil
	return file.Close()
}

// LoadOrigins returns the records in a folder, oldest first, without their ages. What comes after a torn or corrupt frame of a file is left out.
func LoadOrigins(folder string) ([]feed.Origin, error) {
	var origins []feed.Origin
	var errs []error
	for _, name := range []string{formerOriginFile, originFile} {
		data, err := readBounded(filepath.Join(folder, name))
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			errs = append(errs, err)
		}
		for len(data) >= frameHeader {
			size, checksum := binary.BigEndian.Uint32(data), binary.BigEndian.Uint32(data[4:])
			data = data[frameHeader:]
			if uint64(size) > uint64(len(data)) || crc32.ChecksumIEEE(data[:size]) != checksum {
				break
			}
			var batch []feed.Origin
			if err := strictDecoder.Unmarshal(data[:size], &batch); err != nil {
				errs = append(errs, err)
				break
			}
			origins = append(origins, batch...)
			data = data[size:]
		}
	}
	return origins, errors.Join(errs...)
}

// readBounded returns the first maxOriginFile bytes of a file.
func readBounded(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() <= maxOriginFile {
		return os.ReadFile(path)
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	data := make([]byte, maxOriginFile)
	_, err = file.ReadAt(data, 0)
	return data, errors.Join(err, file.Close())
}

// originWriter writes the records that the ledger gets.
type originWriter struct {
	log *OriginLog
	// next is the number of the first record that is not written.
	next   uint64
	due    time.Time
	saving bool
	failed bool
}

// loadOrigins reads the records of the process before this one. Their ages are not known, since the clock may have been reset: they are kept as new ones,
// and written to the next file, too.
func (ctl *Control) loadOrigins(now time.Time) {
	origins, err := LoadOrigins(ctl.options.DataFolder)
	if err != nil {
		ctl.options.Log.Warn().Err(err).Msg("records of streams can't be read")
	}
	for _, origin := range origins {
		origin.Age = 0
		ctl.origins.Record(now, origin)
	}
	ctl.originWriter = originWriter{log: NewOriginLog(ctl.options.DataFolder), next: resume.FirstRecord}
}

// saveOrigins writes the records that are new, if a write is due.
func (ctl *Control) saveOrigins(now time.Time) {
	writer := &ctl.originWriter
	if writer.saving || now.Before(writer.due) || writer.next >= ctl.origins.Next() {
		return
	}
	first := writer.next
	origins, next := ctl.origins.Since(now, first)
	if writer.next = next; len(origins) == 0 {
		return
	}
	writer.due, writer.saving = now.Add(originInterval), true
	ctl.tasks.Go(func(ctx context.Context) {
		err := writer.log.Append(now, origins)
		ctl.post(context.WithoutCancel(ctx), func(now time.Time) { writer.handle(now, first, err, ctl.options.Log) })
	})
}

// handle takes over the outcome of a write that began with the record of a number.
func (writer *originWriter) handle(now time.Time, first uint64, err error, log zerolog.Logger) {
	if err != nil {
		writer.next, writer.due = first, now.Add(originRetryInterval)
		if !writer.failed {
			log.Warn().Err(err).Msg("records of streams can't be written")
		}
	}
	writer.saving, writer.failed = false, err != nil
}
