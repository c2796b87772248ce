package gateway

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/wire"
)

const (
	// appendTimeout is how long the store is waited for before the same record
	// is sent again on another connection.
	appendTimeout = 900 * time.Millisecond
	// relayTimeout bounds the same by way of a peer.
	relayTimeout = 600 * time.Millisecond
	// appendRetryDelay keeps tries apart.
	appendRetryDelay = 60 * time.Millisecond
)

type appendStatus int

const (
	appendUnknown appendStatus = iota
	appendSucceeded
	appendRefused
)

// String names the kind in metrics.
func (kind appendStatus) String() string {
	switch kind {
	case appendSucceeded:
		return "appended"
	case appendRefused:
		return "refused"
	case appendUnknown:
	}
	return "unsure"
}

// appendResult says what became of an append.
type appendResult struct {
	status     appendStatus
	reason     string
	appendedBy string // the entry that the store took it from
}

// appendRecord puts a record of a job into the store. The record is the same however
// often it is sent, so one that was not answered is sent again. While the store is known
// to be away nothing is sent, so that the refusal is true and comes at once.
func (gateway *Gateway) appendRecord(ctx context.Context, id, key string, value []byte) appendResult {
	shard := job.ShardOf(id, gateway.options.Shards)
	add := platform.Append{Topic: job.TopicJobs, Partition: shard, Records: []platform.Record{{Key: key, Value: value}}}
	if gateway.breaker.shouldReject(gateway.options.Clock.Now()) {
		return appendResult{status: appendRefused, reason: "the platform's store is away"}
	}
	doubt := false // whether an earlier try may have taken effect
	reason := "the client's time is over"
	for ctx.Err() == nil {
		err := gateway.appendOnce(ctx, add)
		if err == nil {
			gateway.breaker.recordSuccess()
			go gateway.directory.notifyOwner(context.WithoutCancel(ctx), &wire.TakenRequest{Shard: int32(shard), Key: key, Value: value})
			return appendResult{status: appendSucceeded, appendedBy: gateway.options.Name}
		}
		reason = err.Error()
		doubt = doubt || !platform.IsRefused(err)
		relayed := gateway.directory.relay(ctx, &wire.RelayRequest{Shard: int32(shard), Key: key, Value: value})
		if relayed.status == appendSucceeded {
			gateway.breaker.recordSuccess()
			return relayed
		}
		gateway.breaker.recordFailure(gateway.options.Clock.Now())
		doubt = doubt || relayed.status == appendUnknown
		if !doubt {
			break
		}
		sleep(ctx, gateway.options.Clock, appendRetryDelay)
	}
	if doubt {
		return appendResult{status: appendUnknown, reason: reason}
	}
	return appendResult{status: appendRefused, reason: reason}
}

func (gateway *Gateway) appendOnce(ctx context.Context, add platform.Append) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := gateway.options.Store.Append(ctx, add)
	return err
}

// sleep waits for a while, or until ctx ends.
func sleep(ctx context.Context, clock clockwork.Clock, length time.Duration) {
	select {
	case <-ctx.Done():
	case <-clock.After(length):
	}
}
