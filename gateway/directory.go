package gateway

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/owner"
	"ambertiller.example/ambertiller/wire"
)

const (
	// ownersMaxAge is how long the owners read from the store are used before they are read again.
	ownersMaxAge = 2 * time.Second
	// ownersRetryMaxAge is the same while a request is retried because its owner was not found or did not
	// answer.
	ownersRetryMaxAge = 150 * time.Millisecond
	// ownersTimeout bounds one request to the store for the owners.
	ownersTimeout = 800 * time.Millisecond
	// peerRetryDelay is the delay between requests to peers that are retried, as happens while a shard moves
	// from one entry to another.
	peerRetryDelay = 80 * time.Millisecond
)

// ownerDirectory caches which entry owns which shard, and sends requests to the owners. It may be used by
// many goroutines.
type ownerDirectory struct {
	options  Options
	shutdown *shutdown

	mu             sync.Mutex
	owners         map[int]string          // member names of entries, by shard
	refreshedAt    time.Time               // when the last request to the store ended, with or without an answer
	ownersAsOf     time.Time               // when the request was sent that owners is the answer to
	refreshing     bool                    // a request to the store is in flight
	refreshFailing bool                    // the last request to the store failed
	pendingCounts  map[string]pendingCount // by queue
}

func newOwnerDirectory(options Options) *ownerDirectory {
	return &ownerDirectory{options: options, shutdown: newShutdown(), owners: map[int]string{}, pendingCounts: map[string]pendingCount{}}
}

// refresh reads the owners from the store, unless they were read within maxAge.
func (directory *ownerDirectory) refresh(ctx context.Context, maxAge time.Duration) {
	if !directory.beginRefresh(maxAge, directory.options.Clock.Now()) {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), ownersTimeout)
	defer cancel()
	sentAt := directory.options.Clock.Now()
	owners, err := directory.options.Store.Owners(ctx, job.OwnersGroup)
	directory.mu.Lock()
	defer directory.mu.Unlock()
	if err == nil {
		directory.ownersAsOf = sentAt
	}
	directory.refreshing = false
	directory.refreshedAt = directory.options.Clock.Now()
	directory.updateOwners(ctx, owners, err)
}

// beginRefresh reports whether the caller must read the owners from the store, and marks the refresh as in
// flight if so. It reports false while another refresh is in flight, or if the last one ended within maxAge.
func (directory *ownerDirectory) beginRefresh(maxAge time.Duration, now time.Time) bool {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	if directory.refreshing || now.Sub(directory.refreshedAt) < maxAge {
		return false
	}
	directory.refreshing = true
	return true
}

// updateOwners applies the store's answer; the caller holds mu. After an error the owners known before stay
// in use, because most of them still own their shards.
func (directory *ownerDirectory) updateOwners(ctx context.Context, owners map[int]string, err error) {
	if err == nil {
		directory.owners = owners
		directory.refreshFailing = false
		return
	}
	if !directory.refreshFailing {
		directory.options.Events.Log(ctx, event.OwnersUnknown, slog.Int("known", len(directory.owners)), slog.Any("error", err))
	}
	directory.refreshFailing = true
}

// ownerOf returns the member name of the entry that owns a shard, or an empty string if the owner is unknown.
func (directory *ownerDirectory) ownerOf(shard int) string {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	return directory.owners[shard]
}

// peers returns the member names of the other entries that own shards, sorted.
func (directory *ownerDirectory) peers() []string {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	var members []string
	for _, member := range directory.owners {
		if member != directory.options.MemberName && !slices.Contains(members, member) {
			members = append(members, member)
		}
	}
	slices.Sort(members)
	return members
}

// peerClient returns a client for another entry.
func (directory *ownerDirectory) peerClient(member string) wire.DRPCPeerClient {
	return wire.NewDRPCPeerClient(directory.options.Pool.Conn(owner.MemberAddress(member)))
}

// isAbandoned reports whether no owner can answer: this entry has left the group of owners, and the store knows no other
// member since.
func (directory *ownerDirectory) isAbandoned() bool {
	directory.mu.Lock()
	asOf := directory.ownersAsOf
	directory.mu.Unlock()
	return directory.shutdown.hasLeftBefore(asOf) && len(directory.peers()) == 0
}

// retryUntilAnswered calls request until it succeeds, no owner can answer, or ctx ends, since shards may be moving from one
// entry to another. It returns the last error, or that of ctx if request was never called; action describes the
// request in it.
func (directory *ownerDirectory) retryUntilAnswered(ctx context.Context, action string, request func() error) error {
	var lastErr error
	for ctx.Err() == nil {
		lastErr = request()
		if lastErr == nil {
			return nil
		}
		if directory.isAbandoned() {
			break
		}
		directory.refresh(ctx, ownersRetryMaxAge)
		sleep(ctx, directory.options.Clock, peerRetryDelay)
	}
	if lastErr == nil {
		lastErr = ctx.Err()
	}
	return errors.Wrap(lastErr, action)
}
