package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/rpc"
	"ambertiller.example/ambertiller/wire"
)

// peerTimeout bounds a question to another entry, which may be gone.
const peerTimeout = 700 * time.Millisecond

// jobState asks the owner of the job's shard.
func (directory *directory) jobState(ctx context.Context, id string) (*wire.JobStateReply, error) {
	shard := job.ShardOf(id, directory.options.Shards)
	request := &wire.JobStateRequest{Id: id, Shard: int32(shard)}
	var reply *wire.JobStateReply
	err := directory.untilAnswered(ctx, "ask the owner of the job's shard", func() (err error) {
		reply, err = directory.askOwner(ctx, shard, request)
		return err
	})
	if err != nil {
		return nil, err
	}
	return reply, nil
}

// askOwner asks this process's own owner, and the one that the store names if that
// is another one.
func (directory *directory) askOwner(ctx context.Context, shard int, request *wire.JobStateRequest) (*wire.JobStateReply, error) {
	reply, err := directory.options.Owner.JobState(ctx, request)
	if err == nil {
		return reply, nil
	}
	directory.refresh(ctx, ownersFresh)
	member := directory.ownerOf(shard)
	if member == "" || member == directory.options.Self {
		return nil, err
	}
	return directory.askState(ctx, member, request)
}

// askState asks another entry.
func (directory *directory) askState(ctx context.Context, member string, request *wire.JobStateRequest) (*wire.JobStateReply, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return directory.peer(member).JobState(ctx, request)
}

// taken tells the owner of a shard what the store has taken. It is an economy of
// time only: an owner that is not told reads it. It goes on for longer than the
// client's request, which has been answered by then; ctx does not end with that.
func (directory *directory) taken(ctx context.Context, request *wire.TakenRequest) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	directory.refresh(ctx, ownersFresh)
	member := directory.ownerOf(int(request.GetShard()))
	if member == directory.options.Self || member == "" {
		// Only a shard that is not owned here is passed over in silence.
		_, _ = directory.options.Owner.Taken(ctx, request)
		return
	}
	_, _ = directory.peer(member).Taken(ctx, request)
}

// relay has a peer append a record that the store does not take from here.
func (directory *directory) relay(ctx context.Context, request *wire.RelayRequest) outcome {
	result := outcome{kind: refused, reason: "the store refuses, and no peer answers"}
	for _, member := range directory.peers() {
		if ctx.Err() != nil {
			return result
		}
		reply, err := directory.askRelay(ctx, member, request)
		switch {
		case err == nil && reply.GetAppended():
			return outcome{kind: appended, by: member}
		case err == nil && !reply.GetUnsure():
			continue
		}
		var dial *rpc.DialError
		if err != nil && errors.As(err, &dial) {
			continue
		}
		result = outcome{kind: unsure, reason: "a peer did not say whether the store took the record"}
	}
	return result
}

// askRelay has one peer append a record.
func (directory *directory) askRelay(ctx context.Context, member string, request *wire.RelayRequest) (*wire.RelayReply, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	return directory.peer(member).Relay(ctx, request)
}
