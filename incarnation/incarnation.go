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

// Name names one life of a worker. It is comparable: two names are equal only if they name the same
// life by the same words. The zero Name names none.
type Name struct {
	id   string
	born int64
}

// New returns the name of the life that began at a moment, in milliseconds since 1970 by the worker's
// clock; 0 where that is not known.
func New(id string, born int64) Name { return Name{id: id, born: born} }

// ID returns what the worker calls itself, empty for no worker.
func (name Name) ID() string { return name.id }

// Born returns when the life began, in milliseconds since 1970; 0 where that is not known.
func (name Name) Born() int64 { return name.born }

// IsDated reports whether it is known when the life began.
func (name Name) IsDated() bool { return name.born != 0 }

// IsZero reports whether the name names no worker.
func (name Name) IsZero() bool { return name.id == "" }

// MayBe reports whether both names may stand for one life: the ids are equal, and the starts are
// unless one of them is not known. Where it is false, they are two lives for certain.
func (name Name) MayBe(other Name) bool {
	return name.id == other.id && (name.born == other.born || !name.IsDated() || !other.IsDated())
}

// IsAnotherLifeOf reports whether both names have the id of one worker, and stand for two of its lives.
func (name Name) IsAnotherLifeOf(other Name) bool {
	return name.id == other.id && !name.MayBe(other)
}

// String returns the name as messages to people have it.
func (name Name) String() string {
	if !name.IsDated() {
		return name.id
	}
	return fmt.Sprintf("%s started at %d", name.id, name.born)
}

// Attributes returns what log lines say of the life.
func (name Name) Attributes() []slog.Attr {
	return []slog.Attr{slog.String("worker", name.id), slog.Int64("born", name.born)}
}
