package wal

import (
	"errors"
	"io"
	"os"
)

// File is an open file of a log.
type File interface {
	io.ReadWriteSeeker
	io.ReaderAt
	io.Closer
	Stat() (os.FileInfo, error)
	Truncate(size int64) error
	Sync() error
}

// Files are the operations of a file system that a log depends on.
type Files interface {
	OpenFile(path string, flags int, mode os.FileMode) (File, error)
	Rename(from, to string) error
	// SyncFolder makes the names of created and renamed files durable.
	SyncFolder(folder string) error
}

// SystemFiles is the file system of the operating system.
type SystemFiles struct{}

// OpenFile opens a file like os.OpenFile.
func (SystemFiles) OpenFile(path string, flags int, mode os.FileMode) (File, error) {
	return os.OpenFile(path, flags, mode)
}

// Rename renames a file like os.Rename.
func (SystemFiles) Rename(from, to string) error { return os.Rename(from, to) }

// SyncFolder flushes the entries of a folder to disk.
func (SystemFiles) SyncFolder(folder string) error {
	handle, err := os.Open(folder)
	if err != nil {
		return err
	}
	return errors.Join(handle.Sync(), handle.Close())
}
