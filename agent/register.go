package agent

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/incarnation"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/platform"
)

const (
	// registerTimeout bounds a try, registerPause keeps tries apart.
	registerTimeout = 1500 * time.Millisecond
	registerPause   = 200 * time.Millisecond
	// endedKept bounds the incarnations of one machine that the store is told
	// of; runs of earlier ones have long been given up.
	endedKept = 8
)

// Register puts the agent's address into the store, where owners find it, and
// again whenever an incarnation of the worker has ended. It tries until the store
// has taken it or ctx ends.
func (agent *Agent) Register(ctx context.Context, store *platform.Store, address string) {
	for ctx.Err() == nil {
		var ended []incarnation.Name
		if !agent.decisions.Ask(ctx, func(time.Time) { ended = slices.Clone(agent.ended) }) {
			return
		}
		agent.registerOnce(ctx, store, job.NewAgentRecord(agent.options.Name, address, ended))
		select {
		case <-ctx.Done():
		case <-agent.endedNews:
		}
	}
}

func (agent *Agent) registerOnce(ctx context.Context, store *platform.Store, record *job.AgentRecord) {
	value, err := proto.Marshal(record)
	if err != nil {
		// A message that was just built always encodes.
		agent.options.Events.Log(ctx, event.RecordUnreadable, slog.Any("error", err))
		return
	}
	add := platform.Append{Topic: job.TopicAgents, Part: job.AgentsPart, Records: []platform.Record{{Key: agent.options.Name, Value: value}}}
	for tries := 1; ctx.Err() == nil; tries++ {
		err := appendOnce(ctx, store, add)
		if err == nil {
			agent.options.Events.Log(ctx, event.AgentRegistered, slog.String("address", record.GetAddress()),
				slog.Int("ended", len(record.GetEnded())+len(record.GetOver())), slog.Int("tries", tries))
			return
		}
		if tries == 1 {
			agent.options.Events.Log(ctx, event.StoreLost, slog.Any("error", err))
		}
		select {
		case <-ctx.Done():
		case <-agent.options.Clock.After(registerPause):
		}
	}
}

// noteEnded has the store told that an incarnation has ended for certain.
func (agent *Agent) noteEnded(over incarnation.Name) {
	agent.ended = append(agent.ended, over)
	if len(agent.ended) > endedKept {
		agent.ended = agent.ended[1:]
	}
	select {
	case agent.endedNews <- struct{}{}:
	default:
	}
}

func appendOnce(ctx context.Context, store *platform.Store, add platform.Append) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	_, err := store.Append(ctx, add)
	return err
}
