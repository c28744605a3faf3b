//go:build review

package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, and counts what breaks a rule.
type record struct {
	mutex   sync.Mutex
	began   time.Time
	file    *os.File
	writer  *bufio.Writer
	broken  []string
	counted map[string]int
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: file, writer: bufio.NewWriter(file), counted: make(map[string]int)}, nil
}

// note writes a line with the time since the start.
func (record *record) note(format string, values ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	record.write(fmt.Sprintf(format, values...))
}

func (record *record) write(text string) {
	// A failed write shows in close.
	_, _ = fmt.Fprintf(record.writer, "%8.3f %s\n", time.Since(record.began).Seconds(), text)
}

// count counts an event that the summary names.
func (record *record) count(what string) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	record.counted[what]++
}

// breaks notes that a rule was broken.
func (record *record) breaks(rule, format string, values ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	text := rule + " broken: " + fmt.Sprintf(format, values...)
	record.broken = append(record.broken, text)
	record.write(text)
}

// conclude writes the summary and returns the exit code.
func (record *record) conclude() int {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	summary := fmt.Sprintf("summary: %v, rule broken %d times", record.counted, len(record.broken))
	record.write(summary)
	fmt.Println(summary)
	for _, text := range record.broken[:min(len(record.broken), 5)] {
		fmt.Println(text)
	}
	if len(record.broken) > 0 {
		return exitBroken
	}
	return exitHeld
}

func (record *record) close() error {
	if err := record.writer.Flush(); err != nil {
		return err
	}
	return record.file.Close()
}
