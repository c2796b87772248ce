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
	// ownersMaxAge is how long what the store said of owners is gone by.
	ownersMaxAge = 2 * time.Second
	// ownersRetryMaxAge keeps questions to the store apart while an owner is sought.
	ownersRetryMaxAge = 150 * time.Millisecond
	// ownersTimeout bounds a question to the store.
	ownersTimeout = 800 * time.Millisecond
	// peerRetryDelay keeps questions apart while a shard passes to another entry.
	peerRetryDelay = 80 * time.Millisecond
)

// ownerDirectory knows which entry owns which shard.
type ownerDirectory struct {
	options Options

	mu             sync.Mutex
	owners         map[int]string          // names of entries, by shard
	refreshedAt    time.Time               // when the store last answered, or did not
	refreshing     bool                    // a question to the store is on its way
	refreshFailing bool                    // the store does not say who owns the shards
	pendingCounts  map[string]pendingCount // by queue
}

func newOwnerDirectory(options Options) *ownerDirectory {
	return &ownerDirectory{options: options, owners: map[int]string{}, pendingCounts: map[string]pendingCount{}}
}

// refresh asks the store for the owners unless that was done within age.
func (directory *ownerDirectory) refresh(ctx context.Context, age time.Duration) {
	if !directory.beginRefresh(age, directory.options.Clock.Now()) {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), ownersTimeout)
	defer cancel()
	owners, err := directory.options.Store.Owners(ctx, job.OwnersGroup)
	directory.mu.Lock()
	defer directory.mu.Unlock()
	directory.refreshing = false
	directory.refreshedAt = directory.options.Clock.Now()
	directory.updateOwners(ctx, owners, err)
}

// beginRefresh reports whether the store is to be asked: not while another question is
// on its way or if the last was within age.
func (directory *ownerDirectory) beginRefresh(age time.Duration, now time.Time) bool {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	if directory.refreshing || now.Sub(directory.refreshedAt) < age {
		return false
	}
	directory.refreshing = true
	return true
}

// updateOwners takes in what the store said of owners, with mu held. Where it says
// nothing, those known before are asked on: most of them still own what they did.
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

// ownerOf returns the entry that owns a shard, empty while none is known.
func (directory *ownerDirectory) ownerOf(shard int) string {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	return directory.owners[shard]
}

// peers returns the other entries that own shards.
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

// peerClient returns the calls to another entry.
func (directory *ownerDirectory) peerClient(member string) wire.DRPCPeerClient {
	return wire.NewDRPCPeerClient(directory.options.Pool.Conn(owner.MemberAddress(member)))
}

// retryUntilAnswered asks until there is an answer or ctx ends: shards pass from one
// entry to another meanwhile. It fails where nothing could be asked at all.
func (directory *ownerDirectory) retryUntilAnswered(ctx context.Context, what string, ask func() error) error {
	var last error
	for ctx.Err() == nil {
		last = ask()
		if last == nil {
			return nil
		}
		directory.refresh(ctx, ownersRetryMaxAge)
		sleep(ctx, directory.options.Clock, peerRetryDelay)
	}
	if last == nil {
		last = ctx.Err()
	}
	return errors.Wrap(last, what)
}
