package event

import (
	"bytes"
	"context"
	"io"
	"sync"
	"time"
)

const (
	// maxPendingBytes limits the lines that wait to be written.
	maxPendingBytes = 256 << 10
	// maxBytesPerSecond limits the bytes accepted per second, so that a flood of lines does not use up the
	// process's share of a core.
	maxBytesPerSecond = 512 << 10
)

// AsyncWriter buffers log lines and writes them in the background, so that a slow reader of the log doesn't
// block the goroutines that log. Lines that exceed its limits are dropped and counted.
type AsyncWriter struct {
	out io.Writer

	mu          sync.Mutex
	pending     bytes.Buffer
	dropped     int
	bytesLeft   int
	secondStart time.Time
	now         func() time.Time
	wake        chan struct{}
}

// NewAsyncWriter returns a writer to out that only buffers lines until Run is called. now is the clock that
// the limit per second is measured with.
func NewAsyncWriter(out io.Writer, now func() time.Time) *AsyncWriter {
	return &AsyncWriter{out: out, now: now, wake: make(chan struct{}, 1)}
}

// Write implements io.Writer for one line. It never waits for out and never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	if now.Sub(w.secondStart) >= time.Second {
		w.secondStart, w.bytesLeft = now, maxBytesPerSecond
	}
	if w.pending.Len()+len(line) > maxPendingBytes || w.bytesLeft < len(line) {
		w.dropped++
		return len(line), nil
	}
	w.bytesLeft -= len(line)
	w.pending.Write(line)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// TakeDropped returns how many lines were dropped since the last call.
func (w *AsyncWriter) TakeDropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := w.dropped
	w.dropped = 0
	return count
}

// Run writes buffered lines until ctx ends, and then those that remain.
func (w *AsyncWriter) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			w.flush()
			return
		case <-w.wake:
			w.flush()
		}
	}
}

// flush writes the buffered lines. It doesn't hold the lock meanwhile, so that Write doesn't wait for out.
func (w *AsyncWriter) flush() {
	w.mu.Lock()
	lines := bytes.Clone(w.pending.Bytes())
	w.pending.Reset()
	w.mu.Unlock()
	if len(lines) == 0 {
		return
	}
	// There is nowhere to report that the log can't be written.
	_, _ = w.out.Write(lines)
}
