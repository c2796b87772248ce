package event_test

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"time"

	"ambertiller.example/ambertiller/event"
)

// blockedWriter is a writer whose Write blocks until unblock is closed.
type blockedWriter struct {
	mu      sync.Mutex
	written bytes.Buffer
	unblock chan struct{}
}

func (out *blockedWriter) Write(text []byte) (int, error) {
	<-out.unblock
	out.mu.Lock()
	defer out.mu.Unlock()
	return out.written.Write(text)
}

// TestWriteDoesNotBlock writes far more lines than are buffered while the underlying writer blocks. No write
// may wait, and all dropped lines must be counted.
func TestWriteDoesNotBlock(t *testing.T) {
	out := &blockedWriter{unblock: make(chan struct{})}
	now := time.Unix(0, 0)
	writer := event.NewAsyncWriter(out, func() time.Time { return now })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		writer.Run(ctx)
		close(done)
	}()
	line := bytes.Repeat([]byte("x"), 1000)
	const lines = 3000
	for index := range lines {
		now = now.Add(time.Duration(index) * time.Millisecond)
		if _, err := writer.Write(line); err != nil {
			t.Fatal(err)
		}
	}
	dropped := writer.TakeDropped()
	close(out.unblock)
	cancel()
	<-done
	written := out.written.Len() / len(line)
	if dropped == 0 || dropped+written != lines {
		t.Errorf("%d lines were dropped and %d written, of %d", dropped, written, lines)
	}
}

// TestVolumeIsBounded writes up to ten times as much in a second as the limit allows.
func TestVolumeIsBounded(t *testing.T) {
	tests := map[string]struct {
		lines int
		kept  int
	}{
		"within the bound":   {200, 200},
		"ten times too much": {5243, 262}, // at most 256 KiB are buffered
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			writer := event.NewAsyncWriter(&bytes.Buffer{}, func() time.Time { return time.Unix(1, 0) })
			line := bytes.Repeat([]byte("x"), 1000)
			for range test.lines {
				if _, err := writer.Write(line); err != nil {
					t.Fatal(err)
				}
			}
			if kept := test.lines - writer.TakeDropped(); kept != test.kept {
				t.Errorf("%d lines were buffered", kept)
			}
		})
	}
}
