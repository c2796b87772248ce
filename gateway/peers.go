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
func (directory *ownerDirectory) jobState(ctx context.Context, id string) (*wire.JobStateReply, error) {
	shard := job.ShardOf(id, directory.options.Shards)
	request := &wire.JobStateRequest{Id: id, Shard: int32(shard)}
	var reply *wire.JobStateReply
	err := directory.retryUntilAnswered(ctx, "ask the owner of the job's shard", func() (err error) {
		reply, err = directory.queryOwner(ctx, shard, request)
		return err
	})
	if err != nil {
		return nil, err
	}
	return reply, nil
}

// queryOwner asks this process's own owner, and the one that the store names if that
// is another one.
func (directory *ownerDirectory) queryOwner(ctx context.Context, shard int, request *wire.JobStateRequest) (*wire.JobStateReply, error) {
	reply, err := directory.options.Owner.JobState(ctx, request)
	if err == nil {
		return reply, nil
	}
	directory.refresh(ctx, ownersMaxAge)
	member := directory.ownerOf(shard)
	if member == "" || member == directory.options.MemberName {
		return nil, err
	}
	return directory.requestState(ctx, member, request)
}

// requestState asks another entry.
func (directory *ownerDirectory) requestState(ctx context.Context, member string, request *wire.JobStateRequest) (*wire.JobStateReply, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return directory.peerClient(member).JobState(ctx, request)
}

// notifyOwner tells the owner of a shard what the store has taken. It is an economy of
// time only: an owner that is not told reads it. It goes on for longer than the
// client's request, which has been answered by then; ctx does not end with that.
func (directory *ownerDirectory) notifyOwner(ctx context.Context, request *wire.TakenRequest) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	directory.refresh(ctx, ownersMaxAge)
	member := directory.ownerOf(int(request.GetShard()))
	if member == directory.options.MemberName || member == "" {
		// Only a shard that is not owned here is passed over in silence.
		_, _ = directory.options.Owner.Taken(ctx, request)
		return
	}
	_, _ = directory.peerClient(member).Taken(ctx, request)
}

// relay has a peer append a record that the store does not take from here.
func (directory *ownerDirectory) relay(ctx context.Context, request *wire.RelayRequest) appendResult {
	result := appendResult{status: appendRefused, reason: "the store refuses, and no peer answers"}
	for _, member := range directory.peers() {
		if ctx.Err() != nil {
			return result
		}
		reply, err := directory.requestRelay(ctx, member, request)
		switch {
		case err == nil && reply.GetAppended():
			return appendResult{status: appendSucceeded, appendedBy: member}
		case err == nil && !reply.GetUnsure():
			continue
		}
		var dial *rpc.DialError
		if err != nil && errors.As(err, &dial) {
			continue
		}
		result = appendResult{status: appendUnknown, reason: "a peer did not say whether the store took the record"}
	}
	return result
}

// requestRelay has one peer append a record.
func (directory *ownerDirectory) requestRelay(ctx context.Context, member string, request *wire.RelayRequest) (*wire.RelayReply, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	return directory.peerClient(member).Relay(ctx, request)
}
