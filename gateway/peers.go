package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/rpc"
	"ambertiller.example/ambertiller/wire"
)

// peerTimeout bounds one request to another entry, which may have stopped.
const peerTimeout = 700 * time.Millisecond

// referralTimeout bounds each request that is made although a state is known already that the client can be
// given. A slow store answers within a quarter of a second.
const referralTimeout = 250 * time.Millisecond

// jobState returns the state of a job from the owner of its shard.
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

// queryOwner requests the state from the owner in this process and, if that fails or the owner may have been
// replaced, from the entry that owns the shard according to the store.
func (directory *ownerDirectory) queryOwner(ctx context.Context, shard int, request *wire.JobStateRequest) (*wire.JobStateReply, error) {
	reply, err := directory.options.Owner.JobState(ctx, request)
	if err == nil && reply.GetUnconfirmed() {
		return directory.referral(ctx, shard, request, reply), nil
	}
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

// referral returns the state from the entry that owns the shard according to the store. If that is this entry
// or it doesn't answer, referral returns local, the reply of an owner that may have been replaced: it was right
// when the store last confirmed the owner.
func (directory *ownerDirectory) referral(ctx context.Context, shard int, request *wire.JobStateRequest, local *wire.JobStateReply) *wire.JobStateReply {
	directory.tryRefresh(ctx)
	member := directory.ownerOf(shard)
	if member == "" || member == directory.options.MemberName {
		return local
	}
	ctx, cancel := context.WithTimeout(ctx, referralTimeout)
	defer cancel()
	reply, err := directory.requestState(ctx, member, request)
	if err != nil {
		return local
	}
	return reply
}

// tryRefresh is refresh, but waits no longer than referralTimeout for the store. The read goes on until
// ownersTimeout, for later requests.
func (directory *ownerDirectory) tryRefresh(ctx context.Context) {
	waitCtx, cancel := context.WithTimeout(ctx, referralTimeout)
	defer cancel()
	refreshed := make(chan struct{})
	go func() {
		defer close(refreshed)
		directory.refresh(ctx, ownersMaxAge)
	}()
	select {
	case <-refreshed:
	case <-waitCtx.Done():
	}
}

// requestState requests the state of a job from another entry.
func (directory *ownerDirectory) requestState(ctx context.Context, member string, request *wire.JobStateRequest) (*wire.JobStateReply, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return directory.peerClient(member).JobState(ctx, request)
}

// notifyOwner sends the owner of a shard a record that is in the store. This only saves time, because an
// owner that is not notified reads the record from the store. The client's response does not wait for it, so
// ctx must not end with the client's request.
func (directory *ownerDirectory) notifyOwner(ctx context.Context, request *wire.TakenRequest) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	directory.refresh(ctx, ownersMaxAge)
	member := directory.ownerOf(int(request.GetShard()))
	if member == directory.options.MemberName || member == "" {
		// The owner ignores a record of a shard that it doesn't own, so there is no error to handle.
		_, _ = directory.options.Owner.Taken(ctx, request)
		return
	}
	_, _ = directory.peerClient(member).Taken(ctx, request)
}

// relay asks one peer after another to append a record, after the store has not accepted it from this entry.
// The result is appendRefused only if every peer that was asked either could not be reached or was refused by
// the store.
func (directory *ownerDirectory) relay(ctx context.Context, request *wire.RelayRequest) appendResult {
	result := appendResult{status: appendRefused, reason: "neither the store nor a peer accepted the record"}
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
		var dialError *rpc.DialError
		if err != nil && errors.As(err, &dialError) {
			continue
		}
		result = appendResult{status: appendUnknown, reason: "a peer did not answer whether the store accepted the record"}
	}
	return result
}

// requestRelay asks one peer to append a record.
func (directory *ownerDirectory) requestRelay(ctx context.Context, member string, request *wire.RelayRequest) (*wire.RelayReply, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	return directory.peerClient(member).Relay(ctx, request)
}
