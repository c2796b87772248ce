package owner

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/wire"
)

// NotOwnedError is returned for a shard that this entry does not own or has not loaded yet.
type NotOwnedError struct{ shard int }

// Error implements error.
func (err *NotOwnedError) Error() string {
	return "this entry does not own the job's shard; ask its owner"
}

// JobState implements wire.DRPCPeerServer: it returns the state of a job. It reports a job as unknown only
// after it has read the shard's partition to its end.
func (owner *Owner) JobState(ctx context.Context, request *wire.JobStateRequest) (*wire.JobStateReply, error) {
	reply, s, nextOffset := owner.findJob(ctx, request.GetId())
	if s == nil {
		return nil, &NotOwnedError{shard: int(request.GetShard())}
	}
	if reply.GetKnown() {
		return reply, nil
	}
	tail, err := owner.options.Store.Read(ctx, platform.Read{Topic: job.TopicJobs, Partition: s.number, Offset: nextOffset, Silence: readSilence})
	if err != nil {
		return nil, errors.Wrap(err, "read the shard to its end")
	}
	owner.eventLoop.Call(ctx, func(now time.Time) { owner.applyRecords(s, tail, now) })
	reply, s, _ = owner.findJob(ctx, request.GetId())
	if s == nil {
		return nil, &NotOwnedError{shard: int(request.GetShard())}
	}
	return reply, nil
}

// findJob looks a job up in its shard. The shard is nil if it is not loaded here; the offset is where
// reading its jobs continues.
func (owner *Owner) findJob(ctx context.Context, id string) (*wire.JobStateReply, *shard, int64) {
	reply := &wire.JobStateReply{}
	var loaded *shard
	nextOffset := int64(0)
	ok := owner.eventLoop.Call(ctx, func(now time.Time) {
		s, j := owner.loadedJob(id)
		if s == nil {
			return
		}
		loaded, nextOffset = s, s.nextOffset
		if j != nil {
			reply.Known = true
			reply.State = s.visibleState(j)
			// An end that is in the store is final, whoever owns the shard.
			_, isEndStored := s.endStoredAt[id]
			reply.Unconfirmed = !isEndStored && !owner.isConfirmed(now)
		}
	})
	if !ok {
		return reply, nil, 0
	}
	return reply, loaded, nextOffset
}

// visibleState returns the state of a job that clients may see. A job that has ended is shown as running
// until its end is in the store.
func (s *shard) visibleState(j *job.Job) job.State {
	if _, durable := s.endStoredAt[j.ID()]; j.HasEnded() && !durable {
		return job.State_STATE_RUNNING
	}
	return j.State()
}

// Pending implements wire.DRPCPeerServer: it counts the jobs of a queue in the shards of this entry of
// which no task has started yet.
func (owner *Owner) Pending(ctx context.Context, request *wire.PendingRequest) (*wire.PendingReply, error) {
	reply := &wire.PendingReply{}
	ok := owner.eventLoop.Call(ctx, func(time.Time) {
		for _, s := range owner.shards {
			if !s.loaded {
				continue
			}
			reply.Shards = append(reply.Shards, int32(s.number))
			for _, j := range s.live {
				if j.Submission().GetQueue() == request.GetQueue() && j.State() == job.State_STATE_QUEUED {
					reply.Pending++
				}
			}
		}
	})
	if !ok {
		return nil, errors.New("the entry stops; ask again")
	}
	return reply, nil
}

// Taken implements wire.DRPCPeerServer: it applies a record that another entry has appended to the store,
// before this owner reads it there. If the shard is not loaded here, the record is ignored: its owner will
// read it from the store.
func (owner *Owner) Taken(_ context.Context, request *wire.TakenRequest) (*wire.TakenReply, error) {
	record := platform.Record{Key: request.GetKey(), Value: request.GetValue()}
	owner.eventLoop.Post(func(now time.Time) {
		s, owned := owner.shards[int(request.GetShard())]
		if owned && s.loaded {
			owner.applyRecords(s, platform.ReadResult{Records: []platform.Record{record}}, now)
		}
	})
	return &wire.TakenReply{}, nil
}

// Relay implements wire.DRPCPeerServer: it appends a record on behalf of an entry whose own appends the store
// does not accept.
func (owner *Owner) Relay(ctx context.Context, request *wire.RelayRequest) (*wire.RelayReply, error) {
	appendRequest := platform.Append{
		Topic: job.TopicJobs, Partition: int(request.GetShard()),
		Records: []platform.Record{{Key: request.GetKey(), Value: request.GetValue()}},
	}
	_, err := owner.options.Store.Append(ctx, appendRequest)
	if err == nil {
		return &wire.RelayReply{Appended: true}, nil
	}
	return &wire.RelayReply{Unsure: !platform.IsRefused(err)}, nil
}
