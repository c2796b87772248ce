package operator

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"ambertiller.example/ambertiller/platform"
)

const (
	// operatorPartition is the only partition of the operator topic that is in use.
	operatorPartition = 0
	// MaxReadWait is how long a read waits for new records. A read that is waiting while the store drops its
	// history receives nothing until it is repeated, and a configuration has to take effect within 2 s.
	MaxReadWait = 800 * time.Millisecond
	// readSilence bounds how long a response may make no progress. A connection that has broken without notice
	// has to be found while there is time to read a configuration on another one.
	readSilence = 700 * time.Millisecond
	// retrySilence is readSilence after maxFastRetries reads that failed in a row, since the store may be slow.
	retrySilence   = 1500 * time.Millisecond
	maxFastRetries = 2
	// maxFollowedBytes is the size of a record above which it is not read if others follow it: the newest record
	// of each key takes less time than a series of large ones, of which only the newest counts.
	maxFollowedBytes = 64 << 10
)

// offsetUnknown is the offset of a reader that has to start with the newest records.
const offsetUnknown = -1

// Reader follows the operator topic. It must be used by one goroutine only.
type Reader struct {
	store      *platform.Store
	clock      clockwork.Clock
	nextOffset int64
	// failedReads is the number of reads that failed in a row.
	failedReads int
	// isLate is whether the last read took so long that what it returned may be outdated.
	isLate    bool
	evacuated map[string]bool
	// notifyBehind is called when the store has records that no read has returned yet. It may be nil.
	notifyBehind func()
}

// Update is the result of a read.
type Update struct {
	// Records holds the new records in the order in which operators wrote them, or the newest record of
	// each key if the reader has just been created or restarted.
	Records     []platform.Record
	Evacuations Evacuations
	// AsOf is the time up to which Evacuations reflects all records. It is zero if the read did not reach
	// the end of the topic.
	AsOf time.Time
}

// NewReader returns a reader that starts with the newest record of each key.
func NewReader(store *platform.Store, clock clockwork.Clock) *Reader {
	return &Reader{store: store, clock: clock, nextOffset: offsetUnknown, evacuated: map[string]bool{}}
}

// NotifyBehind makes the reader call notify as soon as a read finds out that the store has new records, before they
// have arrived. It must not be called during a read.
func (reader *Reader) NotifyBehind(notify func()) { reader.notifyBehind = notify }

// Restart makes the next read return the newest record of each key.
func (reader *Reader) Restart() { reader.nextOffset = offsetUnknown }

// Read waits for new records for less than a second, and then for as long as they arrive. If there are none, it
// returns the known evacuations with the time at which it confirmed them. If it fails because the store has removed
// the records that are to be read next, the next call reads the newest record of each key. If several large records
// are to be read, it reads the newest record of each key instead.
func (reader *Reader) Read(ctx context.Context) (Update, error) {
	startedAt := reader.clock.Now()
	result, err := reader.read(ctx)
	if errors.Is(err, platform.ErrFallenBehind) {
		reader.Restart()
		result, err = reader.read(ctx)
	}
	if err != nil {
		reader.failedReads++
		if platform.IsGone(err) {
			reader.Restart()
			if reader.notifyBehind != nil {
				reader.notifyBehind()
			}
		}
		return Update{}, err
	}
	reader.failedReads = 0
	reader.isLate = reader.clock.Since(startedAt) > MaxReadWait+readSilence
	if reader.nextOffset == offsetUnknown {
		// An evacuation without a record among the newest ones has been deleted.
		clear(reader.evacuated)
	}
	reader.nextOffset = result.Next
	for _, record := range result.Records {
		reader.apply(record)
	}
	update := Update{Records: result.Records, Evacuations: NewEvacuations(reader.nextOffset, slices.Collect(maps.Keys(reader.evacuated)))}
	if result.Next >= result.End {
		update.AsOf = startedAt
	}
	return update, nil
}

// read reads the newest record of each key if the offset is unknown, otherwise the records from the offset on.
func (reader *Reader) read(ctx context.Context) (platform.ReadResult, error) {
	wait, silence := MaxReadWait, readSilence
	if reader.failedReads > 0 || reader.isLate {
		// The current state has to be known as soon as possible, even if there are no new records.
		wait = 0
	}
	if reader.failedReads > maxFastRetries {
		silence = retrySilence
	}
	if reader.nextOffset == offsetUnknown {
		return reader.store.Newest(ctx, platform.OperatorTopic, operatorPartition, silence)
	}
	return reader.store.Read(ctx, platform.Read{
		Topic: platform.OperatorTopic, Partition: operatorPartition, Offset: reader.nextOffset,
		Wait: wait, Silence: silence, MaxFollowedBytes: maxFollowedBytes, NotifyFound: reader.notifyBehind,
	})
}

// apply updates the evacuated failure domains if the record evacuates one or ends an evacuation.
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
