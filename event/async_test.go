package event_test

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"time"

	"ambertiller.example/ambertiller/event"
)

// blockedWriter is a reader that takes nothing until it is let go.
type blockedWriter struct {
	mu      sync.Mutex
	written bytes.Buffer
	unblock chan struct{}
}

func (reader *blockedWriter) Write(text []byte) (int, error) {
	<-reader.unblock
	reader.mu.Lock()
	defer reader.mu.Unlock()
	return reader.written.Write(text)
}

// TestWriteDoesNotBlock writes far more than is kept while
// nobody reads: no write waits, and what is left out is counted.
func TestWriteDoesNotBlock(t *testing.T) {
	reader := &blockedWriter{unblock: make(chan struct{})}
	now := time.Unix(0, 0)
	writer := event.NewAsyncWriter(reader, func() time.Time { return now })
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		writer.Run(ctx)
		close(ended)
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
	close(reader.unblock)
	cancel()
	<-ended
	passed := reader.written.Len() / len(line)
	if dropped == 0 || dropped+passed != lines {
		t.Errorf("%d dropped, %d passed on, of %d", dropped, passed, lines)
	}
}

// TestVolumeIsBounded writes ten times what a second may hold.
func TestVolumeIsBounded(t *testing.T) {
	tests := map[string]struct {
		lines int
		kept  int
	}{
		"within the bound":   {200, 200},
		"ten times too much": {5243, 262}, // 256 KiB wait at most
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
				t.Errorf("%d lines were kept", kept)
			}
		})
	}
}
