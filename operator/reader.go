package operator

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"ambertiller.example/ambertiller/platform"
)

const (
	// part is the only partition of the operator's topic that is read.
	part = 0
	// readWait is how long a read waits for news. One that waits while the store drops
	// its history hears nothing until it is asked anew, and a configuration has to be in
	// force within 2 s.
	readWait = 800 * time.Millisecond
	// readOver is added to the wait for the way there and back.
	readOver = 700 * time.Millisecond
	// newestTimeout bounds a question for the newest records.
	newestTimeout = 1500 * time.Millisecond
)

// unread is the offset of a reader that has to begin with the newest records.
const unread = -1

// Reader follows the operator's topic. It is used by one goroutine.
type Reader struct {
	store *platform.Store
	clock clockwork.Clock
	next  int64
	// prompt has the next read answered at once: after a failure it counts how soon it
	// is known again what operators want.
	prompt  bool
	domains map[string]bool
}

// News is what a read found.
type News struct {
	// Records are the operators' records in the order in which they were written, or the
	// newest of each key.
	Records     []platform.Record
	Evacuations Evacuations
	// AsOf is the moment up to which everything that operators wrote is taken account of;
	// zero if the read did not reach the end of the topic.
	AsOf time.Time
}

// NewReader returns a reader that begins with the newest record of each key.
func NewReader(store *platform.Store, clock clockwork.Clock) *Reader {
	return &Reader{store: store, clock: clock, next: unread, prompt: true, domains: map[string]bool{}}
}

// Restart has the next read return the newest record of each key.
func (reader *Reader) Restart() { reader.next = unread }

// Read waits for news, for less than a second. Without any it returns what is known
// with the moment at which it was confirmed.
func (reader *Reader) Read(ctx context.Context) (News, error) {
	asked := reader.clock.Now()
	whole := reader.next == unread
	tail, err := reader.read(ctx)
	if err != nil {
		reader.prompt = true
		if platform.IsGone(err) {
			reader.Restart()
		}
		return News{}, err
	}
	reader.prompt = false
	if whole {
		// What is not among the newest records has been dropped.
		clear(reader.domains)
	}
	reader.next = tail.Next
	for _, record := range tail.Records {
		reader.note(record)
	}
	news := News{Records: tail.Records, Evacuations: NewEvacuations(reader.next, slices.Collect(maps.Keys(reader.domains)))}
	if tail.Next >= tail.End {
		news.AsOf = asked
	}
	return news, nil
}

func (reader *Reader) read(ctx context.Context) (platform.Tail, error) {
	if reader.next == unread {
		ctx, cancel := context.WithTimeout(ctx, newestTimeout)
		defer cancel()
		return reader.store.Newest(ctx, platform.OperatorTopic, part)
	}
	wait := readWait
	if reader.prompt {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, wait+readOver)
	defer cancel()
	return reader.store.Read(ctx, platform.OperatorTopic, part, reader.next, wait)
}

func (reader *Reader) note(record platform.Record) {
	domain, found := platform.EvacuationOf(record.Key)
	if !found {
		return
	}
	if len(record.Value) == 0 {
		delete(reader.domains, domain)
		return
	}
	reader.domains[domain] = true
}
