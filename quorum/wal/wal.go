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
	logName    = "control.wal"
	lockName   = "lock"
	headerSize = 8
	// maxRecord bounds one record in bytes, so that a damaged length is not taken for a long record.
	maxRecord = 1 << 30
)

var (
	// ErrCorrupt means that a record before the end of the file is damaged; the file is left as it is.
	ErrCorrupt = celerylanding.Namespace.NewType("wal_corrupt")
	// ErrLocked means that another process uses the data folder.
	ErrLocked = celerylanding.Namespace.NewType("wal_locked")
	// ErrNotWritten means that the disk has refused a write and that the file is as before; the write may be tried again.
	ErrNotWritten = celerylanding.Namespace.NewType("wal_not_written")

	decoder    = mustDecoder()
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// Recovered is what the file held when it was opened.
type Recovered struct {
	quorum.PersistentState
	// TornBytes is the number of bytes cut from an unfinished last write.
	TornBytes int64
}

// IsEmpty reports whether the folder holds no log.
func (recovered Recovered) IsEmpty() bool {
	return recovered.Records == 0
}

// WAL is an open log file; it has one user.
type WAL struct {
	folder string
	file   *os.File
	lock   *os.File
	sync   bool
	size   int64
}

// Open reads the log in the folder and makes it ready for writing; without sync, writes are not made durable.
func Open(folder string, sync bool) (*WAL, Recovered, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, Recovered{}, err
	}
	lock, err := lockFolder(folder)
	if err != nil {
		return nil, Recovered{}, err
	}
	path := filepath.Join(folder, logName)
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		_ = lock.Close()
		return nil, Recovered{}, err
	}
	wal := &WAL{folder: folder, file: file, lock: lock, sync: sync}
	recovered, err := wal.recover(path)
	if err != nil {
		// The first error names the cause; closing adds nothing to it.
		_ = wal.Close()
		return nil, Recovered{}, err
	}
	return wal, recovered, syncFolder(folder)
}

// Append makes the records durable, in order and all or none: they share one checksum.
func (wal *WAL) Append(records []quorum.Record) error {
	if len(records) == 0 {
		return nil
	}
	buffer, err := encode(records)
	if err != nil {
		return err
	}
	if _, err := wal.file.Write(buffer); err != nil {
		return wal.undo(err)
	}
	wal.size += int64(len(buffer))
	if !wal.sync {
		return nil
	}
	return wal.file.Sync()
}

// undo takes back an unfinished write, so that the same records can be written again later.
func (wal *WAL) undo(cause error) error {
	if err := wal.file.Truncate(wal.size); err != nil {
		return errors.Join(cause, err)
	}
	if _, err := wal.file.Seek(wal.size, io.SeekStart); err != nil {
		return errors.Join(cause, err)
	}
	return ErrNotWritten.Wrap(cause, "%s", logName)
}

// Rewrite replaces the file by one that holds just this state; a crash leaves either the old file or the new one.
func (wal *WAL) Rewrite(hard quorum.HardState, snapshot quorum.Snapshot, entries []quorum.Entry) error {
	path := filepath.Join(wal.folder, logName)
	temporary, err := os.OpenFile(path+".new", os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return ErrNotWritten.Wrap(err, "%s", logName)
	}
	next := &WAL{folder: wal.folder, file: temporary, sync: wal.sync}
	records := []quorum.Record{{Snapshot: &snapshot}, {HardState: &hard}}
	for i := range entries {
		records = append(records, quorum.Record{Entry: &entries[i]})
	}
	if err := next.Append(records); err != nil {
		return errors.Join(err, temporary.Close())
	}
	if err := os.Rename(path+".new", path); err != nil {
		return errors.Join(err, temporary.Close())
	}
	if err := syncFolder(wal.folder); err != nil {
		return errors.Join(err, temporary.Close())
	}
	old := wal.file
	wal.file = temporary
	wal.size = next.size
	return old.Close()
}

// Size returns the length of the file in bytes.
func (wal *WAL) Size() int64 { return wal.size }

// Close closes the file and releases the folder.
func (wal *WAL) Close() error {
	return errors.Join(wal.file.Close(), wal.lock.Close())
}

func lockFolder(folder string) (*os.File, error) {
	lock, err := os.OpenFile(filepath.Join(folder, lockName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, ErrLocked.Wrap(err, "%s is used by another process", folder)
	}
	return lock, nil
}

// WriteDurably writes a small file whose content and name outlast a loss of power.
func WriteDurably(path, text string) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if _, err := file.WriteString(text); err != nil {
		_ = file.Close()
		return err
	}
	if err := file.Sync(); err != nil {
		_ = file.Close()
		return err
	}
	if err := file.Close(); err != nil {
		return err
	}
	return syncFolder(filepath.Dir(path))
}

func syncFolder(folder string) error {
	handle, err := os.Open(folder)
	if err != nil {
		return err
	}
	return errors.Join(handle.Sync(), handle.Close())
}

// mustDecoder allows for as many entries as one batch can hold.
func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 24, MaxMapPairs: 1 << 24}.DecMode()
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
	buffer := make([]byte, headerSize, headerSize+len(payload))
	binary.LittleEndian.PutUint32(buffer[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(buffer[4:], crc32.Checksum(payload, castagnoli))
	return append(buffer, payload...), nil
}

// recover replays the file and cuts an unfinished last write.
func (wal *WAL) recover(path string) (Recovered, error) {
	info, err := wal.file.Stat()
	if err != nil {
		return Recovered{}, err
	}
	total := info.Size()
	reader := bufio.NewReader(wal.file)
	var recovered Recovered
	for wal.size < total {
		payload, err := readRecord(reader)
		if err != nil {
			return recovered, wal.cutTail(path, total, len(payload), err, &recovered)
		}
		if err := recovered.replayAll(payload); err != nil {
			return recovered, ErrCorrupt.Wrap(err, "%s: record at offset %d", path, wal.size)
		}
		wal.size += int64(headerSize + len(payload))
	}
	_, err = wal.file.Seek(wal.size, io.SeekStart)
	return recovered, err
}

var errChecksum = errors.New("checksum does not match")

// readRecord returns the next payload; with a wrong checksum it returns the payload as well.
func readRecord(reader io.Reader) ([]byte, error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return nil, err
	}
	length := binary.LittleEndian.Uint32(header[0:])
	if length == 0 || length > maxRecord {
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

// cutTail truncates a last write that did not finish. Damage that is followed by further data is not a torn write.
func (wal *WAL) cutTail(path string, total int64, length int, cause error, recovered *Recovered) error {
	isLast := errors.Is(cause, io.EOF) || errors.Is(cause, io.ErrUnexpectedEOF) ||
		wal.size+int64(headerSize+length) >= total
	isZero, err := wal.isZeroFrom(wal.size, total)
	if err != nil {
		return err
	}
	if hasRecord, err := wal.hasRecordAfter(wal.size, total); err != nil {
		return err
	} else if hasRecord || (!isLast && !isZero) {
		return ErrCorrupt.Wrap(cause, "%s: record at offset %d is damaged and more data follows", path, wal.size)
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

func (wal *WAL) isZeroFrom(offset, total int64) (bool, error) {
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

// hasRecordAfter looks for a whole record behind a damaged one, whose length can't be trusted.
func (wal *WAL) hasRecordAfter(offset, total int64) (bool, error) {
	rest := make([]byte, total-offset)
	if _, err := wal.file.ReadAt(rest, offset); err != nil {
		return false, err
	}
	for start := 1; start+headerSize < len(rest); start++ {
		length := int(binary.LittleEndian.Uint32(rest[start:]))
		end := start + headerSize + length
		if length == 0 || length > maxRecord || end > len(rest) {
			continue
		}
		sum := binary.LittleEndian.Uint32(rest[start+4:])
		if crc32.Checksum(rest[start+headerSize:end], castagnoli) == sum {
			return true, nil
		}
	}
	return false, nil
}

func (recovered *Recovered) replayAll(payload []byte) error {
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
