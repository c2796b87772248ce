package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"ambertiller.example/ambertiller/wire"
)

// pendingCountMaxAge is how long a count of pending jobs is cached.
const pendingCountMaxAge = 500 * time.Millisecond

// pendingCount is the number of pending jobs of a queue, summed over the owners of all shards.
type pendingCount struct {
	count     int64
	countedAt time.Time
}

// pendingJobs returns the number of pending jobs of a queue over all shards: those none of whose tasks has
// started. It fails rather than return a count that omits a shard.
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

// recentPendingCount returns the cached count of a queue, and whether it is recent enough to be used.
func (directory *ownerDirectory) recentPendingCount(queue string, now time.Time) (int64, bool) {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	cached, found := directory.pendingCounts[queue]
	return cached.count, found && now.Sub(cached.countedAt) < pendingCountMaxAge
}

// countPending sums the counts of the owner in this process and of the other entries. It fails if the answers
// don't cover all shards.
func (directory *ownerDirectory) countPending(ctx context.Context, queue string) (int64, error) {
	directory.refresh(ctx, ownersMaxAge)
	request := &wire.PendingRequest{Queue: queue}
	countedShards := map[int32]bool{}
	total := int64(0)
	addReply := func(reply *wire.PendingReply) {
		total += reply.GetPending()
		for _, shard := range reply.GetShards() {
			countedShards[shard] = true
		}
	}
	localReply, err := directory.options.Owner.Pending(ctx, request)
	if err != nil {
		return 0, err
	}
	addReply(localReply)
	for _, member := range directory.peers() {
		reply, err := directory.requestPending(ctx, member, request)
		if err != nil {
			return 0, err
		}
		addReply(reply)
	}
	if len(countedShards) < directory.options.Shards {
		return 0, errors.Errorf("%d of %d shards have an owner that answered", len(countedShards), directory.options.Shards)
	}
	return total, nil
}

// requestPending requests the number of pending jobs in the shards of another entry.
func (directory *ownerDirectory) requestPending(ctx context.Context, member string, request *wire.PendingRequest) (*wire.PendingReply, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return directory.peerClient(member).Pending(ctx, request)
}
