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
	// operatorPartition is the only partition of the operator's topic that is read.
	operatorPartition = 0
	// readWait is how long a read waits for news. One that waits while the store drops
	// its history hears nothing until it is asked anew, and a configuration has to be in
	// force within 2 s.
	readWait = 800 * time.Millisecond
	// readMargin is added to the wait for the way there and back.
	readMargin = 700 * time.Millisecond
	// newestTimeout bounds a question for the newest records.
	newestTimeout = 1500 * time.Millisecond
)

// offsetUnknown is the offset of a reader that has to begin with the newest records.
const offsetUnknown = -1

// Reader follows the operator's topic. It is used by one goroutine.
type Reader struct {
	store      *platform.Store
	clock      clockwork.Clock
	nextOffset int64
	// skipWait has the next read answered at once: after a failure it counts how soon it
	// is known again what operators want.
	skipWait  bool
	evacuated map[string]bool
}

// Update is what a read found.
type Update struct {
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
	return &Reader{store: store, clock: clock, nextOffset: offsetUnknown, skipWait: true, evacuated: map[string]bool{}}
}

// Restart has the next read return the newest record of each key.
func (reader *Reader) Restart() { reader.nextOffset = offsetUnknown }

// Read waits for news, for less than a second. Without any it returns what is known
// with the moment at which it was confirmed.
func (reader *Reader) Read(ctx context.Context) (Update, error) {
	asked := reader.clock.Now()
	whole := reader.nextOffset == offsetUnknown
	tail, err := reader.read(ctx)
	if err != nil {
		reader.skipWait = true
		if platform.IsGone(err) {
			reader.Restart()
		}
		return Update{}, err
	}
	reader.skipWait = false
	if whole {
		// What is not among the newest records has been dropped.
		clear(reader.evacuated)
	}
	reader.nextOffset = tail.Next
	for _, record := range tail.Records {
		reader.apply(record)
	}
	news := Update{Records: tail.Records, Evacuations: NewEvacuations(reader.nextOffset, slices.Collect(maps.Keys(reader.evacuated)))}
	if tail.Next >= tail.End {
		news.AsOf = asked
	}
	return news, nil
}

func (reader *Reader) read(ctx context.Context) (platform.ReadResult, error) {
	if reader.nextOffset == offsetUnknown {
		ctx, cancel := context.WithTimeout(ctx, newestTimeout)
		defer cancel()
		return reader.store.Newest(ctx, platform.OperatorTopic, operatorPartition)
	}
	wait := readWait
	if reader.skipWait {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, wait+readMargin)
	defer cancel()
	return reader.store.Read(ctx, platform.OperatorTopic, operatorPartition, reader.nextOffset, wait)
}

func (reader *Reader) apply(record platform.Record) {
	domain, found := platform.ParseEvacuationKey(record.Key)
	if !found {
		return
	}
	if len(record.Value) == 0 {
		delete(reader.evacuated, domain)
		return
	}
	reader.evacuated[domain] = true
}
