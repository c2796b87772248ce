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
	// appendPause keeps tries apart.
	appendPause = 60 * time.Millisecond
)

type appendKind int

const (
	unsure appendKind = iota
	appended
	refused
)

// String names the kind in metrics.
func (kind appendKind) String() string {
	switch kind {
	case appended:
		return "appended"
	case refused:
		return "refused"
	case unsure:
	}
	return "unsure"
}

// outcome says what became of an append.
type outcome struct {
	kind   appendKind
	reason string
	by     string // the entry that the store took it from
}

// append puts a record of a job into the store. The record is the same however
// often it is sent, so one that was not answered is sent again. While the store is known
// to be away nothing is sent, so that the refusal is true and comes at once.
func (gateway *Gateway) append(ctx context.Context, id, key string, value []byte) outcome {
	shard := job.ShardOf(id, gateway.options.Shards)
	add := platform.Append{Topic: job.TopicJobs, Partition: shard, Records: []platform.Record{{Key: key, Value: value}}}
	if gateway.outage.known(gateway.options.Clock.Now()) {
		return outcome{kind: refused, reason: "the platform's store is away"}
	}
	doubt := false // whether an earlier try may have taken effect
	reason := "the client's time is over"
	for ctx.Err() == nil {
		err := gateway.appendOnce(ctx, add)
		if err == nil {
			gateway.outage.over()
			go gateway.directory.taken(context.WithoutCancel(ctx), &wire.TakenRequest{Shard: int32(shard), Key: key, Value: value})
			return outcome{kind: appended, by: gateway.options.Name}
		}
		reason = err.Error()
		doubt = doubt || !platform.IsRefused(err)
		relayed := gateway.directory.relay(ctx, &wire.RelayRequest{Shard: int32(shard), Key: key, Value: value})
		if relayed.kind == appended {
			gateway.outage.over()
			return relayed
		}
		gateway.outage.failed(gateway.options.Clock.Now())
		doubt = doubt || relayed.kind == unsure
		if !doubt {
			break
		}
		pause(ctx, gateway.options.Clock, appendPause)
	}
	if doubt {
		return outcome{kind: unsure, reason: reason}
	}
	return outcome{kind: refused, reason: reason}
}

func (gateway *Gateway) appendOnce(ctx context.Context, add platform.Append) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := gateway.options.Store.Append(ctx, add)
	return err
}

// pause waits for a while, or until ctx ends.
func pause(ctx context.Context, clock clockwork.Clock, length time.Duration) {
	select {
	case <-ctx.Done():
	case <-clock.After(length):
	}
}
