//go:build review

package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file of what was sent, answered and run; it is safe for concurrent use.
type record struct {
	mutex sync.Mutex
	file  *os.File
	out   *bufio.Writer
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, out: bufio.NewWriter(file), began: time.Now()}, nil
}

// add writes one line: the time in seconds, who says it, and the text.
func (record *record) add(who, format string, args ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	_, _ = fmt.Fprintf(record.out, "%8.3f %s: %s\n", time.Since(record.began).Seconds(), who, fmt.Sprintf(format, args...))
}

func (record *record) close() {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	_ = record.out.Flush()
	_ = record.file.Close()
}
