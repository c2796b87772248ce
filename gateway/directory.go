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
	"ambertiller.example/ambertiller/rpc"
	"ambertiller.example/ambertiller/wire"
)

const (
	// ownersFresh is how long what the store said of owners is gone by.
	ownersFresh = 2 * time.Second
	// ownersAgain keeps questions to the store apart while an owner is sought.
	ownersAgain = 150 * time.Millisecond
	// ownersTimeout bounds a question to the store.
	ownersTimeout = 800 * time.Millisecond
	// peerTimeout bounds a question to another entry, which may be gone.
	peerTimeout = 700 * time.Millisecond
	// peerPause keeps questions apart while a shard passes to another entry.
	peerPause = 80 * time.Millisecond
	// pendingFresh is how long a count of waiting jobs is told again.
	pendingFresh = 500 * time.Millisecond
)

// directory knows which entry owns which shard.
type directory struct {
	options Options

	mu      sync.Mutex
	owners  map[int]string
	readAt  time.Time
	reading bool
	counts  map[string]pendingCount
	// failing is set while the store does not say who owns the shards.
	failing bool
}

type pendingCount struct {
	count int64
	at    time.Time
}

func newDirectory(options Options) *directory {
	return &directory{options: options, owners: map[int]string{}, counts: map[string]pendingCount{}}
}

// refresh asks the store for the owners unless that was done within age.
func (directory *directory) refresh(ctx context.Context, age time.Duration) {
	now := directory.options.Clock.Now()
	directory.mu.Lock()
	if directory.reading || now.Sub(directory.readAt) < age {
		directory.mu.Unlock()
		return
	}
	directory.reading = true
	directory.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), ownersTimeout)
	defer cancel()
	owners, err := directory.options.Store.Owners(ctx, job.OwnersGroup)
	directory.mu.Lock()
	defer directory.mu.Unlock()
	directory.reading = false
	directory.readAt = directory.options.Clock.Now()
	directory.noteOwners(ctx, owners, err)
}

// noteOwners takes in what the store said of owners. Where it says nothing, those
// known before are asked on: most of them still own what they did.
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

func (directory *directory) askState(ctx context.Context, member string, request *wire.JobStateRequest) (*wire.JobStateReply, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return directory.peer(member).JobState(ctx, request)
}

// pending returns how many jobs of a queue wait, over all shards. It fails
// rather than leave a shard out.
func (directory *directory) pending(ctx context.Context, queue string) (int64, error) {
	now := directory.options.Clock.Now()
	directory.mu.Lock()
	known, found := directory.counts[queue]
	directory.mu.Unlock()
	if found && now.Sub(known.at) < pendingFresh {
		return known.count, nil
	}
	count := int64(0)
	err := directory.untilAnswered(ctx, "ask the owners of all shards", func() (err error) {
		count, err = directory.countPending(ctx, queue)
		return err
	})
	if err != nil {
		return 0, err
	}
	directory.mu.Lock()
	defer directory.mu.Unlock()
	directory.counts[queue] = pendingCount{count: count, at: now}
	return count, nil
}

func (directory *directory) countPending(ctx context.Context, queue string) (int64, error) {
	directory.refresh(ctx, ownersFresh)
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
		reply, err := directory.askPending(ctx, member, request)
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

func (directory *directory) askPending(ctx context.Context, member string, request *wire.PendingRequest) (*wire.PendingReply, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return directory.peer(member).Pending(ctx, request)
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

func (directory *directory) askRelay(ctx context.Context, member string, request *wire.RelayRequest) (*wire.RelayReply, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	return directory.peer(member).Relay(ctx, request)
}
