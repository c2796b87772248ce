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
	// ownersFresh is how long what the store said of owners is gone by.
	ownersFresh = 2 * time.Second
	// ownersAgain keeps questions to the store apart while an owner is sought.
	ownersAgain = 150 * time.Millisecond
	// ownersTimeout bounds a question to the store.
	ownersTimeout = 800 * time.Millisecond
	// peerPause keeps questions apart while a shard passes to another entry.
	peerPause = 80 * time.Millisecond
)

// directory knows which entry owns which shard.
type directory struct {
	options Options

	mu      sync.Mutex
	owners  map[int]string          // names of entries, by shard
	readAt  time.Time               // when the store last answered, or did not
	reading bool                    // a question to the store is on its way
	failing bool                    // the store does not say who owns the shards
	counts  map[string]pendingCount // by queue
}

func newDirectory(options Options) *directory {
	return &directory{options: options, owners: map[int]string{}, counts: map[string]pendingCount{}}
}

// refresh asks the store for the owners unless that was done within age.
func (directory *directory) refresh(ctx context.Context, age time.Duration) {
	if !directory.beginReading(age, directory.options.Clock.Now()) {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), ownersTimeout)
	defer cancel()
	owners, err := directory.options.Store.Owners(ctx, job.OwnersGroup)
	directory.mu.Lock()
	defer directory.mu.Unlock()
	directory.reading = false
	directory.readAt = directory.options.Clock.Now()
	directory.noteOwners(ctx, owners, err)
}

// beginReading reports whether the store is to be asked: not while another question is
// on its way or if the last was within age.
func (directory *directory) beginReading(age time.Duration, now time.Time) bool {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	if directory.reading || now.Sub(directory.readAt) < age {
		return false
	}
	directory.reading = true
	return true
}

// noteOwners takes in what the store said of owners, with mu held. Where it says
// nothing, those known before are asked on: most of them still own what they did.
func (directory *directory) noteOwners(ctx context.Context, owners map[int]string, err error) {
	if err == nil {
		directory.owners = owners
		directory.failing = false
		return
	}
	if !directory.failing {
		directory.options.Events.Log(ctx, event.OwnersUnknown, slog.Int("known", len(directory.owners)), slog.Any("error", err))
	}
	directory.failing = true
}

// ownerOf returns the entry that owns a shard, empty while none is known.
func (directory *directory) ownerOf(shard int) string {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	return directory.owners[shard]
}

// peers returns the other entries that own shards.
func (directory *directory) peers() []string {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	var members []string
	for _, member := range directory.owners {
		if member != directory.options.Self && !slices.Contains(members, member) {
			members = append(members, member)
		}
	}
	slices.Sort(members)
	return members
}

// peer returns the calls to another entry.
func (directory *directory) peer(member string) wire.DRPCPeerClient {
	return wire.NewDRPCPeerClient(directory.options.Pool.Conn(owner.MemberAddress(member)))
}

// untilAnswered asks until there is an answer or ctx ends: shards pass from one
// entry to another meanwhile. It fails where nothing could be asked at all.
func (directory *directory) untilAnswered(ctx context.Context, what string, ask func() error) error {
	var last error
	for ctx.Err() == nil {
		last = ask()
		if last == nil {
			return nil
		}
		directory.refresh(ctx, ownersAgain)
		pause(ctx, directory.options.Clock, peerPause)
	}
	if last == nil {
		last = ctx.Err()
	}
	return errors.Wrap(last, what)
}
