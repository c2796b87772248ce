// Package logservice reaches the platform's append-only log service.
//
// The platform keeps named streams. An append adds one entry of bytes at the
// next offset; a read returns the entries from an offset on, and can wait for
// new ones. The platform keeps entries for a limited time, takes some hundred
// appends a second, and has outages: an append can fail before it takes
// effect, or lose its answer after it has.
//
// # Usage
//
//	client := logservice.NewClient("http://127.0.0.1:7000", &http.Client{})
//	offset, err := client.Append(ctx, "records", payload)
//	page, err := client.Read(ctx, "records", logservice.ReadOptions{From: offset, Max: 100})
//
// # Errors
//
// [ThrottledError] and [TrimmedError] say that nothing was done. [ErrRefused]
// marks an append that certainly did not take effect. Any other error of
// Append leaves it open whether the entry is in the stream; read to find out.
package logservice

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// MaxEntryBytes is the largest entry that the platform takes.
const MaxEntryBytes = 1 << 20

// ErrRefused marks an append that did not take effect.
var ErrRefused = errors.New("the log service refused the append")

// ThrottledError says that the platform takes no more appends for a while.
type ThrottledError struct {
	RetryAfter time.Duration
}

// Error implements error.
func (throttled *ThrottledError) Error() string {
	return fmt.Sprintf("the log service is throttling; come back in %s", throttled.RetryAfter)
}

// TrimmedError says that the entries asked for are no longer kept.
type TrimmedError struct {
	Earliest int64
}

// Error implements error.
func (trimmed *TrimmedError) Error() string {
	return fmt.Sprintf("the log service keeps entries from offset %d on", trimmed.Earliest)
}

// Entry is one entry of a stream.
type Entry struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

// Page is what one read returns.
type Page struct {
	// Earliest is the first offset that is still kept.
	Earliest int64 `json:"earliest"`
	// Next is the offset that the next append will get.
	Next int64 `json:"next"`
	// Entries are consecutive, from the offset asked for.
	Entries []Entry `json:"entries"`
}

// ReadOptions says what to read. Max bounds the number of entries; Wait is how
// long the platform holds the read while there is nothing to return.
type ReadOptions struct {
	From int64
	Max  int
	Wait time.Duration
}

// Service is the platform's log, as ambertiller uses it.
type Service interface {
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	Read(ctx context.Context, stream string, options ReadOptions) (Page, error)
}
