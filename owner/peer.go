package owner

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/wire"
)

// NotOwnedError says that this entry does not own the shard, or has not read it
// yet.
type NotOwnedError struct{ shard int }

// Error implements error.
func (missing *NotOwnedError) Error() string {
	return "this entry does not own the job's shard; ask its owner"
}

// JobState implements wire.DRPCPeerServer. An unknown job is reported as such
// only after the shard has been read to its end.
func (owner *Owner) JobState(ctx context.Context, request *wire.JobStateRequest) (*wire.JobStateReply, error) {
	reply, held, next := owner.findJob(ctx, request.GetId())
	if held == nil {
		return nil, &NotOwnedError{shard: int(request.GetShard())}
	}
	if reply.GetKnown() {
		return reply, nil
	}
	tail, err := owner.options.Store.Read(ctx, job.TopicJobs, held.number, next, 0)
	if err != nil {
		return nil, errors.Wrap(err, "read the shard to its end")
	}
	owner.eventLoop.Call(ctx, func(now time.Time) { owner.applyRecords(held, tail, now) })
	reply, held, _ = owner.findJob(ctx, request.GetId())
	if held == nil {
		return nil, &NotOwnedError{shard: int(request.GetShard())}
	}
	return reply, nil
}

func (owner *Owner) findJob(ctx context.Context, id string) (*wire.JobStateReply, *shard, int64) {
	reply := &wire.JobStateReply{}
	var found *shard
	next := int64(0)
	asked := owner.eventLoop.Call(ctx, func(time.Time) {
		held, made := owner.loadedJob(id)
		if held == nil {
			return
		}
		found, next = held, held.nextOffset
		if made != nil {
			reply.Known = true
			reply.State = held.visibleState(made)
		}
	})
	if !asked {
		return reply, nil, 0
	}
	return reply, found, next
}

// visibleState returns the state that a client may be told: an end only once it is in
// the store.
func (held *shard) visibleState(made *job.Job) job.State {
	if _, durable := held.endStoredAt[made.ID()]; made.HasEnded() && !durable {
		return job.State_STATE_RUNNING
	}
	return made.State()
}

// Pending implements wire.DRPCPeerServer: the jobs of a queue, in the shards that
// this entry owns, none of whose tasks has begun.
func (owner *Owner) Pending(ctx context.Context, request *wire.PendingRequest) (*wire.PendingReply, error) {
	reply := &wire.PendingReply{}
	asked := owner.eventLoop.Call(ctx, func(time.Time) {
		for _, held := range owner.shards {
			if !held.loaded {
				continue
			}
			reply.Shards = append(reply.Shards, int32(held.number))
			for _, made := range held.live {
				if made.Submission().GetQueue() == request.GetQueue() && made.State() == job.State_STATE_QUEUED {
					reply.Pending++
				}
			}
		}
	})
	if !asked {
		return nil, errors.New("the entry stops; ask again")
	}
	return reply, nil
}

// Taken implements wire.DRPCPeerServer: it takes up a record that is in the store
// already. An owner that does not own the shard, or has not read it yet, passes it
// over and reads it there.
func (owner *Owner) Taken(_ context.Context, request *wire.TakenRequest) (*wire.TakenReply, error) {
	record := platform.Record{Key: request.GetKey(), Value: request.GetValue()}
	owner.eventLoop.Post(func(now time.Time) {
		held, owned := owner.shards[int(request.GetShard())]
		if owned && held.loaded {
			owner.applyRecords(held, platform.ReadResult{Records: []platform.Record{record}}, now)
		}
	})
	return &wire.TakenReply{}, nil
}

// Relay implements wire.DRPCPeerServer: it appends a record for an entry that the
// store turns away.
func (owner *Owner) Relay(ctx context.Context, request *wire.RelayRequest) (*wire.RelayReply, error) {
	add := platform.Append{
		Topic: job.TopicJobs, Partition: int(request.GetShard()),
		Records: []platform.Record{{Key: request.GetKey(), Value: request.GetValue()}},
	}
	_, err := owner.options.Store.Append(ctx, add)
	if err == nil {
		return &wire.RelayReply{Appended: true}, nil
	}
	return &wire.RelayReply{Unsure: !platform.IsRefused(err)}, nil
}
