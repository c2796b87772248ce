package gateway

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/wire"
)

const (
	// appendTimeout bounds one append to the store. After it, the same record is sent again on another
	// connection.
	appendTimeout = 900 * time.Millisecond
	// relayTimeout bounds one append that a peer makes for this entry.
	relayTimeout = 600 * time.Millisecond
	// appendRetryDelay is the delay between attempts to append a record.
	appendRetryDelay = 60 * time.Millisecond
)

// appendStatus is what is known about an append: whether it was stored, refused, or may have been stored.
type appendStatus int

const (
	appendUnknown appendStatus = iota
	appendSucceeded
	appendRefused
)

// String returns the name of the status in metrics.
func (status appendStatus) String() string {
	switch status {
	case appendSucceeded:
		return "appended"
	case appendRefused:
		return "refused"
	case appendUnknown:
	}
	return "unsure"
}

// appendResult is the outcome of an append, including its retries and relays.
type appendResult struct {
	status     appendStatus
	reason     string
	appendedBy string // name of the entry whose append succeeded
}

// appendRecord appends a record of a job to the store. Appending is idempotent, because every attempt sends
// the same record, so once an attempt may have taken effect, attempts go on until one succeeds or ctx ends.
// While the circuit breaker is open, only probes are sent. Any other record is refused at once, and is certain
// not to be in the store.
func (gateway *Gateway) appendRecord(ctx context.Context, id, key string, value []byte) appendResult {
	shard := job.ShardOf(id, gateway.options.Shards)
	request := platform.Append{Topic: job.TopicJobs, Partition: shard, Records: []platform.Record{{Key: key, Value: value}}}
	if gateway.breaker.shouldReject(gateway.options.Clock.Now()) {
		return appendResult{status: appendRefused, reason: event.ReasonStoreUnavailable}
	}
	mayBeStored := false // whether an attempt so far may have stored the record
	markUnsettled := func() {
		if !mayBeStored {
			mayBeStored = true
			gateway.startUnsettledReport(ctx, id, key)
		}
	}
	reason := event.ReasonDeadlinePassed
	for ctx.Err() == nil {
		err := gateway.appendOnce(ctx, request)
		if err == nil {
			gateway.breaker.recordSuccess()
			gateway.confirmation.recordStoreAnswer(gateway.options.Clock.Now())
			go gateway.directory.notifyOwner(context.WithoutCancel(ctx), &wire.TakenRequest{Shard: int32(shard), Key: key, Value: value})
			return appendResult{status: appendSucceeded, appendedBy: gateway.options.Name}
		}
		reason = err.Error()
		if !platform.IsRefused(err) {
			markUnsettled()
		}
		relayed := gateway.directory.relay(ctx, &wire.RelayRequest{Shard: int32(shard), Key: key, Value: value})
		if relayed.status == appendSucceeded {
			gateway.breaker.recordSuccess()
			return relayed
		}
		gateway.breaker.recordFailure(gateway.options.Clock.Now())
		if relayed.status == appendUnknown {
			markUnsettled()
		}
		if !mayBeStored || gateway.isAppendRetryUseless(ctx) {
			break
		}
		sleep(ctx, gateway.options.Clock, appendRetryDelay)
	}
	if mayBeStored {
		return appendResult{status: appendUnknown, reason: reason}
	}
	return appendResult{status: appendRefused, reason: reason}
}

func (gateway *Gateway) appendOnce(ctx context.Context, request platform.Append) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := gateway.options.Store.Append(ctx, request)
	return err
}

// sleep waits for a duration, or until ctx ends.
func sleep(ctx context.Context, clock clockwork.Clock, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-clock.After(duration):
	}
}
