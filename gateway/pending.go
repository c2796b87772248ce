package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"ambertiller.example/ambertiller/wire"
)

// pendingCountMaxAge is how long a count of waiting jobs is told again.
const pendingCountMaxAge = 500 * time.Millisecond

// pendingCount is what the owners of all shards said together.
type pendingCount struct {
	count     int64
	countedAt time.Time
}

// pendingJobs returns how many jobs of a queue wait, over all shards. It fails
// rather than leave a shard out.
func (directory *ownerDirectory) pendingJobs(ctx context.Context, queue string) (int64, error) {
	now := directory.options.Clock.Now()
	if count, fresh := directory.recentPendingCount(queue, now); fresh {
		return count, nil
	}
	count := int64(0)
	err := directory.retryUntilAnswered(ctx, "ask the owners of all shards", func() (err error) {
		count, err = directory.countPending(ctx, queue)
		return err
	})
	if err != nil {
		return 0, err
	}
	directory.mu.Lock()
	defer directory.mu.Unlock()
	directory.pendingCounts[queue] = pendingCount{count: count, countedAt: now}
	return count, nil
}

// recentPendingCount returns the last count of a queue, if it may still be told.
func (directory *ownerDirectory) recentPendingCount(queue string, now time.Time) (int64, bool) {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	known, found := directory.pendingCounts[queue]
	return known.count, found && now.Sub(known.countedAt) < pendingCountMaxAge
}

// countPending asks the owner in this process and those of the other entries.
func (directory *ownerDirectory) countPending(ctx context.Context, queue string) (int64, error) {
	directory.refresh(ctx, ownersMaxAge)
	request := &wire.PendingRequest{Queue: queue}
	counted := map[int32]bool{}
	total := int64(0)
	note := func(reply *wire.PendingReply) {
		total += reply.GetPending()
		for _, shard := range reply.GetShards() {
			counted[shard] = true
		}
	}
	own, err := directory.options.Owner.Pending(ctx, request)
	if err != nil {
		return 0, err
	}
	note(own)
	for _, member := range directory.peers() {
		reply, err := directory.requestPending(ctx, member, request)
		if err != nil {
			return 0, err
		}
		note(reply)
	}
	if len(counted) < directory.options.Shards {
		return 0, errors.Errorf("%d of %d shards have an owner that answers", len(counted), directory.options.Shards)
	}
	return total, nil
}

// requestPending asks another entry how many jobs wait in its shards.
func (directory *ownerDirectory) requestPending(ctx context.Context, member string, request *wire.PendingRequest) (*wire.PendingReply, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return directory.peerClient(member).Pending(ctx, request)
}
