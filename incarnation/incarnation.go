// Package incarnation identifies the incarnations of workers.
//
// A worker has an ID and may restart under the same ID. Each start is a new incarnation, which keeps nothing
// of the previous one: runs, reported ends, leases and fencing tokens of an earlier incarnation are
// meaningless to it, and its sequence numbers and its clock start over. The start time tells the incarnations
// of a worker apart.
//
// A worker that doesn't report its start time has to use a new ID for every incarnation. The same holds for
// data written by earlier builds, which stored the worker ID alone. An ID without a start time may denote
// any incarnation of the worker.
//
// # Usage
//
//	current := incarnation.New("i-1", 1_790_000_000_000)
//	if order.Incarnation().MayEqual(current) { ... }
package incarnation

import (
	"fmt"
	"log/slog"
)

// ID identifies one incarnation of a worker. The zero ID identifies none.
//
// IDs can be compared with ==, which also distinguishes an ID with a start time from one without. Use
// [ID.MayEqual] to ask whether two IDs may denote the same incarnation.
type ID struct {
	workerID  string
	startedMs int64
}

// New returns the ID of the incarnation of a worker that started at startedMs, in Unix milliseconds by the
// worker's clock. startedMs is 0 if the start time is unknown.
func New(workerID string, startedMs int64) ID { return ID{workerID: workerID, startedMs: startedMs} }

// WorkerID returns the ID that the worker reports, or "" for the zero ID.
func (id ID) WorkerID() string { return id.workerID }

// StartedMs returns the start time in Unix milliseconds, or 0 if it is unknown.
func (id ID) StartedMs() int64 { return id.startedMs }

// HasStartTime reports whether the start time is known.
func (id ID) HasStartTime() bool { return id.startedMs != 0 }

// IsZero reports whether the ID identifies no worker.
func (id ID) IsZero() bool { return id.workerID == "" }

// MayEqual reports whether both IDs may denote the same incarnation: the worker IDs are equal, and so are the
// start times unless one of them is unknown. If it returns false, the incarnations are certainly different.
func (id ID) MayEqual(other ID) bool {
	return id.workerID == other.workerID && (id.startedMs == other.startedMs || !id.HasStartTime() || !other.HasStartTime())
}

// IsOtherIncarnationOf reports whether the IDs certainly denote two different incarnations of the same
// worker.
func (id ID) IsOtherIncarnationOf(other ID) bool {
	return id.workerID == other.workerID && !id.MayEqual(other)
}

// String formats the ID for messages to people.
func (id ID) String() string {
	if !id.HasStartTime() {
		return id.workerID
	}
	return fmt.Sprintf("%s started at %d", id.workerID, id.startedMs)
}

// LogAttributes returns the attributes that identify the incarnation in log lines.
func (id ID) LogAttributes() []slog.Attr {
	return []slog.Attr{slog.String("worker", id.workerID), slog.Int64("born", id.startedMs)}
}
