// Package incarnation names the lives of workers.
//
// A worker has an id, and may start again under it. It then runs nothing and knows nothing of
// before: no run, no end, no lease and no fencing token of an earlier life means anything to it,
// and its numbers and its clock begin anew. The moment of its start tells the lives apart. A
// worker that doesn't say it has a new id in each life, and so has what builds sent that knew ids
// alone; such a name may stand for any life under its id.
//
// # Usage
//
//	present := incarnation.New("i-1", 1_790_000_000_000)
//	if order.Incarnation().MayBe(present) { ... }
package incarnation

import (
	"fmt"
	"log/slog"
)

// ID names one life of a worker. It is comparable: two names are equal only if they name the same
// life by the same words. The zero Name names none.
type ID struct {
	workerID  string
	startedMs int64
}

// New returns the name of the life that began at a moment, in milliseconds since 1970 by the worker's
// clock; 0 where that is not known.
func New(id string, born int64) ID { return ID{workerID: id, startedMs: born} }

// WorkerID returns what the worker calls itself, empty for no worker.
func (name ID) WorkerID() string { return name.workerID }

// StartedMs returns when the life began, in milliseconds since 1970; 0 where that is not known.
func (name ID) StartedMs() int64 { return name.startedMs }

// HasStartTime reports whether it is known when the life began.
func (name ID) HasStartTime() bool { return name.startedMs != 0 }

// IsZero reports whether the name names no worker.
func (name ID) IsZero() bool { return name.workerID == "" }

// MayEqual reports whether both names may stand for one life: the ids are equal, and the starts are
// unless one of them is not known. Where it is false, they are two lives for certain.
func (name ID) MayEqual(other ID) bool {
	return name.workerID == other.workerID && (name.startedMs == other.startedMs || !name.HasStartTime() || !other.HasStartTime())
}

// IsOtherIncarnationOf reports whether both names have the id of one worker, and stand for two of its lives.
func (name ID) IsOtherIncarnationOf(other ID) bool {
	return name.workerID == other.workerID && !name.MayEqual(other)
}

// String returns the name as messages to people have it.
func (name ID) String() string {
	if !name.HasStartTime() {
		return name.workerID
	}
	return fmt.Sprintf("%s started at %d", name.workerID, name.startedMs)
}

// LogAttributes returns what log lines say of the life.
func (name ID) LogAttributes() []slog.Attr {
	return []slog.Attr{slog.String("worker", name.workerID), slog.Int64("born", name.startedMs)}
}
