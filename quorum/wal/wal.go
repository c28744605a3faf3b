package wal

import (
	"bufio"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/fxamacker/cbor/v2"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/quorum"
)

const (
	fileName     = "control.wal"
	lockFileName = "lock"
	// corruptSuffix ends the name of a corrupt file that was set aside.
	corruptSuffix = ".corrupt"
	headerBytes   = 8
	// maxBatchBytes is the maximum length of one batch of records, so that a corrupt length field is not taken for a long batch.
	maxBatchBytes = 1 << 30
)

var (
	// ErrCorrupt means that a record before the end of the file is corrupt; the file is left unchanged.
	ErrCorrupt = celerylanding.ErrorNamespace.NewType("wal_corrupt")
	// ErrLocked means that another process holds the lock on the data folder.
	ErrLocked = celerylanding.ErrorNamespace.NewType("wal_locked")
	// ErrNotWritten means that a write failed and the file is unchanged; the write may be retried.
	ErrNotWritten = celerylanding.ErrorNamespace.NewType("wal_not_written")
	// ErrNotIntact means that the content of the file is unknown after a failed write; only Rewrite may follow.
	ErrNotIntact = celerylanding.ErrorNamespace.NewType("wal_not_intact")

	decoder    = mustDecoder()
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// Recovered is the state read from the file when it was opened.
type Recovered struct {
	quorum.PersistentState
	// TornBytes is the number of bytes truncated because the last write was incomplete.
	TornBytes int64
}

// IsEmpty reports whether no record was replayed.
func (recovered Recovered) IsEmpty() bool {
	return recovered.Records == 0
}

// WAL is an open log file; it is not safe for concurrent use.
type WAL struct {
	files  Files
	folder string
	file   File
	lock   *os.File
	sync   bool
	size   int64
	// isUnknown is set while it is unknown what the file, or its name, would hold after a crash.
	isUnknown bool
}

// Open locks the folder, reads its log and opens it for appending; it creates both if they do not exist. Without sync, Append does not
// call fsync. It returns ErrLocked or ErrCorrupt, or the error of the file system.
func Open(folder string, sync bool) (*WAL, Recovered, error) {
	return OpenIn(SystemFiles{}, folder, sync)
}

// OpenIn is Open in another file system; the folder and its lock are those of the operating system.
func OpenIn(files Files, folder string, sync bool) (*WAL, Recovered, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, Recovered{}, err
	}
	lock, err := lockFolder(folder)
	if err != nil {
		return nil, Recovered{}, err
	}
	path := filepath.Join(folder, fileName)
	file, err := files.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		_ = lock.Close()
		return nil, Recovered{}, err
	}
	wal := &WAL{files: files, folder: folder, file: file, lock: lock, sync: sync}
	recovered, err := wal.recover(path)
	if err == nil {
		// The process before may have ended between a write and its fsync.
		err = errors.Join(file.Sync(), files.SyncFolder(folder))
	}
	if err != nil {
		// The error of Close is ignored, since it would only hide the cause.
		_ = wal.Close()
		return nil, Recovered{}, err
	}
	return wal, recovered, nil
}

// Append writes the records and, if sync is set, flushes them to disk. The batch has one checksum, so that after a crash either all
// or none of its records are recovered. It returns ErrNotWritten if the file is unchanged; after any other error the file is not intact.
func (wal *WAL) Append(records []quorum.Record) error {
	if len(records) == 0 {
		return nil
	}
	if wal.isUnknown {
		return ErrNotIntact.New("%s must be rewritten", fileName)
	}
	buffer, err := encode(records)
	if err != nil {
		return err
	}
	if _, err := wal.file.Write(buffer); err != nil {
		return wal.rollBackWrite(err)
	}
	wal.size += int64(len(buffer))
	if !wal.sync {
		return nil
	}
	if err := wal.file.Sync(); err != nil {
		// A second fsync may succeed although the data is lost, so that nobody may read it back, as the next process would.
		wal.isUnknown = true
		wal.size -= int64(len(buffer))
		return errors.Join(err, wal.file.Truncate(wal.size))
	}
	return nil
}

// IsIntact reports whether Append may be called; otherwise Rewrite must succeed first.
func (wal *WAL) IsIntact() bool { return !wal.isUnknown }

// rollBackWrite truncates a partial write, so that the same records can be appended again.
func (wal *WAL) rollBackWrite(cause error) error {
	err := wal.file.Truncate(wal.size)
	if err == nil {
		_, err = wal.file.Seek(wal.size, io.SeekStart)
	}
	if err != nil {
		wal.isUnknown = true
		return errors.Join(cause, err)
	}
	return ErrNotWritten.Wrap(cause, "%s", fileName)
}

// Rewrite atomically replaces the file by one that holds only the given state; after a crash the folder holds either the old file or
// the new one. It may be called again after any error, and makes a file intact that was not.
func (wal *WAL) Rewrite(hard quorum.HardState, snapshot quorum.Snapshot, entries []quorum.Entry) error {
	path := filepath.Join(wal.folder, fileName)
	replacement, err := wal.files.OpenFile(path+".new", os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return ErrNotWritten.Wrap(err, "%s", fileName)
	}
	next := &WAL{files: wal.files, folder: wal.folder, file: replacement, sync: wal.sync}
	records := []quorum.Record{{Snapshot: &snapshot}, {HardState: &hard}}
	for i := range entries {
		records = append(records, quorum.Record{Entry: &entries[i]})
	}
	if err := next.Append(records); err != nil {
		return errors.Join(err, replacement.Close())
	}
	// From here on the name may belong to either file, until the folder is synced.
	wal.isUnknown = true
	if err := wal.files.Rename(path+".new", path); err != nil {
		return errors.Join(err, replacement.Close())
	}
	if err := wal.files.SyncFolder(wal.folder); err != nil {
		return errors.Join(err, replacement.Close())
	}
	old := wal.file
	wal.file, wal.size, wal.isUnknown = replacement, next.size, false
	// The old file has no name any more, so that an error of it loses nothing.
	_ = old.Close()
	return nil
}

// Size returns the size of the file in bytes.
func (wal *WAL) Size() int64 { return wal.size }

// Close closes the file and unlocks the folder.
func (wal *WAL) Close() error {
	return errors.Join(wal.file.Close(), wal.lock.Close())
}

func lockFolder(folder string) (*os.File, error) {
	lock, err := os.OpenFile(filepath.Join(folder, lockFileName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, ErrLocked.Wrap(err, "%s is locked by another process", folder)
	}
	return lock, nil
}

// SetAside renames a corrupt file in the folder, so that Open creates a new one, and returns its new name. Only the last such file is kept.
func SetAside(files Files, folder string) (string, error) {
	path := filepath.Join(folder, fileName)
	return path + corruptSuffix, errors.Join(files.Rename(path, path+corruptSuffix), files.SyncFolder(folder))
}

// HasSetAside reports whether a corrupt file was set aside in the folder.
func HasSetAside(folder string) bool {
	_, err := os.Stat(filepath.Join(folder, fileName+corruptSuffix))
	return err == nil
}

// WriteDurably replaces a small file and flushes its content and its directory entry to disk, so that both survive a power failure. A crash leaves
// either the old file or the new one.
func WriteDurably(path, text string) error {
	file, err := os.Create(path + ".new")
	if err != nil {
		return err
	}
	_, err = file.WriteString(text)
	if err == nil {
		err = file.Sync()
	}
	if err = errors.Join(err, file.Close()); err != nil {
		return err
	}
	if err := os.Rename(path+".new", path); err != nil {
		return err
	}
	return SystemFiles{}.SyncFolder(filepath.Dir(path))
}

// mustDecoder returns a decoder that decodes whatever Append writes.
func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 24, MaxMapPairs: 1 << 24, UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func encode(records []quorum.Record) ([]byte, error) {
	payload, err := cbor.Marshal(records)
	if err != nil {
		return nil, err
	}
	buffer := make([]byte, headerBytes, headerBytes+len(payload))
	binary.LittleEndian.PutUint32(buffer[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(buffer[4:], crc32.Checksum(payload, castagnoli))
	return append(buffer, payload...), nil
}

// recover replays the file and truncates an incomplete last write.
func (wal *WAL) recover(path string) (Recovered, error) {
	info, err := wal.file.Stat()
	if err != nil {
		return Recovered{}, err
	}
	total := info.Size()
	reader := bufio.NewReader(wal.file)
	var recovered Recovered
	for wal.size < total {
		payload, err := readBatch(reader)
		if err != nil {
			return recovered, wal.truncateTornTail(path, total, len(payload), err, &recovered)
		}
		if err := recovered.replayBatch(payload); err != nil {
			return recovered, ErrCorrupt.Wrap(err, "%s: record at offset %d", path, wal.size)
		}
		wal.size += int64(headerBytes + len(payload))
	}
	_, err = wal.file.Seek(wal.size, io.SeekStart)
	return recovered, err
}

var errChecksum = errors.New("checksum does not match")

// readBatch returns the payload of the next batch. On a checksum mismatch it returns both the payload and errChecksum; an invalid length
// is errChecksum too, without a payload.
func readBatch(reader io.Reader) ([]byte, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return nil, err
	}
	length := binary.LittleEndian.Uint32(header[0:])
	if length == 0 || length > maxBatchBytes {
		return nil, errChecksum
	}
	payload, err := io.ReadAll(io.LimitReader(reader, int64(length)))
	if err != nil {
		return nil, err
	}
	if len(payload) < int(length) {
		return nil, io.ErrUnexpectedEOF
	}
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(header[4:]) {
		return payload, errChecksum
	}
	return payload, nil
}

// truncateTornTail truncates an incomplete last write. A corrupt record that is followed by further data is not a torn write, and
// truncateTornTail returns ErrCorrupt.
func (wal *WAL) truncateTornTail(path string, total int64, length int, cause error, recovered *Recovered) error {
	isLast := errors.Is(cause, io.EOF) || errors.Is(cause, io.ErrUnexpectedEOF) ||
		wal.size+int64(headerBytes+length) >= total
	isZero, err := wal.isZeroTail(wal.size, total)
	if err != nil {
		return err
	}
	if hasBatch, err := wal.hasBatchAfter(wal.size, total); err != nil {
		return err
	} else if hasBatch || (!isLast && !isZero) {
		return ErrCorrupt.Wrap(cause, "%s: record at offset %d is corrupt and more data follows", path, wal.size)
	}
	recovered.TornBytes = total - wal.size
	if err := wal.file.Truncate(wal.size); err != nil {
		return err
	}
	if _, err := wal.file.Seek(wal.size, io.SeekStart); err != nil {
		return err
	}
	return wal.file.Sync()
}

func (wal *WAL) isZeroTail(offset, total int64) (bool, error) {
	rest := make([]byte, total-offset)
	if _, err := wal.file.ReadAt(rest, offset); err != nil {
		return false, err
	}
	for _, value := range rest {
		if value != 0 {
			return false, nil
		}
	}
	return true, nil
}

// hasBatchAfter reports whether an intact batch follows the corrupt one at the offset. It tries every byte offset, since the corrupt
// length field can't be trusted.
func (wal *WAL) hasBatchAfter(offset, total int64) (bool, error) {
	rest := make([]byte, total-offset)
	if _, err := wal.file.ReadAt(rest, offset); err != nil {
		return false, err
	}
	for start := 1; start+headerBytes < len(rest); start++ {
		length := int(binary.LittleEndian.Uint32(rest[start:]))
		end := start + headerBytes + length
		if length == 0 || length > maxBatchBytes || end > len(rest) {
			continue
		}
		sum := binary.LittleEndian.Uint32(rest[start+4:])
		if crc32.Checksum(rest[start+headerBytes:end], castagnoli) == sum {
			return true, nil
		}
	}
	return false, nil
}

func (recovered *Recovered) replayBatch(payload []byte) error {
	var records []quorum.Record
	if err := decoder.Unmarshal(payload, &records); err != nil {
		return err
	}
	for _, record := range records {
		if err := recovered.Replay(record); err != nil {
			return err
		}
	}
	return nil
}
