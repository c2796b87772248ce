package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that a case writes to. It may be used by many goroutines.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path) //nolint:gosec // the path is the script's own.
	if err != nil {
		return nil, err
	}
	return &record{file: file, started: time.Now()}, nil
}

// log writes a line with the seconds since the start. Lines of results also go to the standard output.
func (rec *record) log(format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(rec.started).Seconds()) + fmt.Sprintf(format, args...)
	// A record that can't be written shows in the file itself.
	_, _ = fmt.Fprintln(rec.file, line)
}

// say logs a line and prints it.
func (rec *record) say(format string, args ...any) {
	rec.log(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (rec *record) close() { _ = rec.file.Close() }
