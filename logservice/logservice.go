// Package logservice is a client of the platform's append-only log service.
//
// The service keeps named streams. An append adds one entry of bytes at the next
// offset. A read returns the entries from an offset on and can wait for new ones.
// The service retains entries for a limited time, accepts a few hundred appends per
// second, and has outages: an append can fail before it takes effect, or its answer
// can be lost after it has taken effect.
//
// # Usage
//
//	client := logservice.NewClient("http://127.0.0.1:7000", &http.Client{})
//	offset, err := client.Append(ctx, "records", payload)
//	page, err := client.Read(ctx, "records", logservice.ReadOptions{From: offset, Max: 100})
//
// # Errors
//
// After [ThrottledError] and [TrimmedError] nothing was done. An append that fails with
// [ErrRefused] has not taken effect. After any other error of Append the entry may be
// in the stream; read the stream to find out.
package logservice

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// MaxEntryBytes is the size of the largest entry that the log service accepts.
const MaxEntryBytes = 1 << 20

// ErrRefused is returned for an append that the service rejected, or that could not be
// sent. It has not taken effect.
var ErrRefused = errors.New("the log service refused the append")

// ThrottledError is returned if the service is limiting requests. RetryAfter is the time
// to wait before the next try.
type ThrottledError struct {
	RetryAfter time.Duration
}

// Error implements error.
func (e *ThrottledError) Error() string {
	return fmt.Sprintf("the log service is throttling; come back in %s", e.RetryAfter)
}

// TrimmedError is returned for a read of entries that are no longer retained. Earliest is
// the first offset that is.
type TrimmedError struct {
	Earliest int64
}

// Error implements error.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("the log service keeps entries from offset %d on", e.Earliest)
}

// Entry is one entry of a stream.
type Entry struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

// Page is the result of one read.
type Page struct {
	// Earliest is the first offset that is still retained.
	Earliest int64 `json:"earliest"`
	// Next is the offset that the next append will get.
	Next int64 `json:"next"`
	// Entries are consecutive and begin at the requested offset.
	Entries []Entry `json:"entries"`
}

// ReadOptions says what to read. From is the first offset and Max bounds the number
// of entries. Wait is how long the service holds the request if there are no entries.
type ReadOptions struct {
	From int64
	Max  int
	Wait time.Duration
}

// Service is the part of the log service that ambertiller uses.
type Service interface {
	// Append adds one entry to a stream and returns its offset.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	// Read returns the entries of a stream from an offset on.
	Read(ctx context.Context, stream string, options ReadOptions) (Page, error)
}
