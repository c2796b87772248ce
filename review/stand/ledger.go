package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// ledger records what clients, workers and the store have seen, and writes it to record.txt.
type ledger struct {
	mu      sync.Mutex
	file    *os.File
	begunAt time.Time
	jobs    map[string]*jobRecord // by job ID
	quiet   int                   // lines left out
	lines   int
}

// jobRecord is what workers have done for a job.
type jobRecord struct {
	running int
	starts  int
	done    map[string]bool // tasks with an end "done"
}

// job returns the record of a task's job. The lock must be held.
func (l *ledger) job(task string) *jobRecord {
	id, _, _ := strings.Cut(task, ".")
	if l.jobs[id] == nil {
		l.jobs[id] = &jobRecord{done: map[string]bool{}}
	}
	return l.jobs[id]
}

// progress returns how many tasks of a job run now, and how many are done.
func (l *ledger) progress(id string) (running, done, starts int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	record := l.job(id)
	return record.running, len(record.done), record.starts
}

// maxRunLines limits the lines about single runs in record.txt.
const maxRunLines = 3000

func newLedger(path string) (*ledger, error) {
	file, err := os.Create(path) //nolint:gosec // The path is the folder of the case.
	if err != nil {
		return nil, err
	}
	return &ledger{
		file: file, begunAt: time.Now(), jobs: map[string]*jobRecord{},
	}, nil
}

func (l *ledger) line(format string, args ...any) {
	_, _ = fmt.Fprintf(l.file, "%7.2f "+format+"\n", append([]any{time.Since(l.begunAt).Seconds()}, args...)...)
}

// note writes a line.
func (l *ledger) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.line(format, args...)
}

// runLine writes a line about one run, up to a number of lines.
func (l *ledger) runLine(format string, args ...any) {
	if l.lines++; l.lines > maxRunLines {
		l.quiet++
		return
	}
	l.line(format, args...)
}

func (l *ledger) started(worker, task string, number int32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	record := l.job(task)
	record.running++
	record.starts++
	l.runLine("start %s attempt %d on %s", task, number, worker)
}

func (l *ledger) ended(worker, task string, number int32, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	record := l.job(task)
	record.running--
	if how == "done" {
		record.done[task] = true
	}
	l.runLine("end %s attempt %d on %s: %s", task, number, worker, how)
}

func (l *ledger) noted(worker, task string, number int32, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runLine("note taken of the end of %s attempt %d on %s: %s", task, number, worker, how)
}

func (l *ledger) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.quiet > 0 {
		l.line("%d further lines about single runs are left out", l.quiet)
	}
	_ = l.file.Close()
}
