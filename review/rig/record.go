//go:build review

package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the time since the start of the case. It is safe for concurrent use.
type record struct {
	mutex   sync.Mutex
	file    *os.File
	writer  *bufio.Writer
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, writer: bufio.NewWriter(file), started: time.Now()}, nil
}

func (rec *record) line(who, format string, args ...any) {
	rec.mutex.Lock()
	defer rec.mutex.Unlock()
	_, _ = fmt.Fprintf(rec.writer, "%8.3f %-12s %s\n", time.Since(rec.started).Seconds(), who, fmt.Sprintf(format, args...))
}

func (rec *record) close() {
	rec.mutex.Lock()
	defer rec.mutex.Unlock()
	// The record is a report; the exit code of the case does not depend on it.
	_ = rec.writer.Flush()
	_ = rec.file.Close()
}
