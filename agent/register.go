package agent

import (
	"context"
	"log/slog"
	"time"

	"google.golang.org/protobuf/proto"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/platform"
)

const (
	registerPart    = 0
	registerTimeout = 1500 * time.Millisecond
	registerPause   = 200 * time.Millisecond
)

// Register puts the agent's address into the store, where owners find it. It
// tries until the store has taken it or ctx ends.
func (agent *Agent) Register(ctx context.Context, store *platform.Store, address string) {
	value, err := proto.Marshal(&job.AgentRecord{Name: agent.options.Name, Address: address})
	if err != nil {
		agent.options.Events.Log(ctx, event.RecordUnreadable, slog.Any("error", err))
		return
	}
	add := platform.Append{Topic: job.TopicAgents, Part: registerPart, Records: []platform.Record{{Key: agent.options.Name, Value: value}}}
	for tries := 1; ctx.Err() == nil; tries++ {
		if err := appendOnce(ctx, store, add); err == nil {
			agent.options.Events.Log(ctx, event.AgentRegistered, slog.String("address", address), slog.Int("tries", tries))
			return
		} else if tries == 1 {
			agent.options.Events.Log(ctx, event.StoreLost, slog.Any("error", err))
		}
		select {
		case <-ctx.Done():
		case <-agent.options.Clock.After(registerPause):
		}
	}
}

func appendOnce(ctx context.Context, store *platform.Store, add platform.Append) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	_, err := store.Append(ctx, add)
	return err
}
