package event

import (
	"bytes"
	"context"
	"io"
	"sync"
	"time"
)

const (
	// maxPendingBytes bounds the lines that wait for their reader.
	maxPendingBytes = 256 << 10
	// maxBytesPerSecond bounds the bytes written in a second, so that a flood of
	// lines does not use up the process's share of a core.
	maxBytesPerSecond = 512 << 10
)

// AsyncWriter passes lines on without making whoever logs wait for the reader.
// Lines that don't fit are left out and counted.
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

// NewAsyncWriter returns a writer that passes nothing on until Run. now is the
// clock that bounds the lines of a second.
func NewAsyncWriter(out io.Writer, now func() time.Time) *AsyncWriter {
	return &AsyncWriter{out: out, now: now, wake: make(chan struct{}, 1)}
}

// Write implements io.Writer for one line. It never waits and never fails.
func (writer *AsyncWriter) Write(line []byte) (int, error) {
	writer.mu.Lock()
	defer writer.mu.Unlock()
	now := writer.now()
	if now.Sub(writer.secondStart) >= time.Second {
		writer.secondStart, writer.bytesLeft = now, maxBytesPerSecond
	}
	if writer.pending.Len()+len(line) > maxPendingBytes || writer.bytesLeft < len(line) {
		writer.dropped++
		return len(line), nil
	}
	writer.bytesLeft -= len(line)
	writer.pending.Write(line)
	select {
	case writer.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// TakeDropped returns how many lines were left out since it was last asked.
func (writer *AsyncWriter) TakeDropped() int {
	writer.mu.Lock()
	defer writer.mu.Unlock()
	count := writer.dropped
	writer.dropped = 0
	return count
}

// Run passes lines on until ctx ends, then what is left.
func (writer *AsyncWriter) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			writer.flush()
			return
		case <-writer.wake:
			writer.flush()
		}
	}
}

func (writer *AsyncWriter) flush() {
	writer.mu.Lock()
	lines := bytes.Clone(writer.pending.Bytes())
	writer.pending.Reset()
	writer.mu.Unlock()
	if len(lines) == 0 {
		return
	}
	// A log that can't be written has nowhere to say so.
	_, _ = writer.out.Write(lines)
}
