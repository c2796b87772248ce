package agent

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/incarnation"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/platform"
)

const (
	// registerTimeout bounds a try. A partition that has more than 2 s of appends waiting
	// refuses another one, so what is not answered by then was lost and doesn't wait in line.
	registerTimeout = 4 * time.Second
	// minRegisterDelay and maxRegisterDelay bound the pause before the next try, which doubles
	// with each. It is spread, so that agents that were refused together don't come again together.
	minRegisterDelay = 250 * time.Millisecond
	maxRegisterDelay = 4 * time.Second
	// maxEndedToRegister bounds the incarnations of one machine that the store is told
	// of; runs of earlier ones have long been given up.
	maxEndedToRegister = 8
)

// Register puts the agent's address into the store, where owners find it, and
// again whenever an incarnation of the worker has ended. It tries until the store
// has taken it or ctx ends.
//
// One append is on its way at a time, and one that waits its turn is waited for: a whole fleet may
// register at once, and tries that are given up while they wait would make the line longer for all.
func (agent *Agent) Register(ctx context.Context, store *platform.Store, address string) {
	var taken *job.AgentRecord // by the store
	retry := newRegisterBackoff()
	for tries := 1; ctx.Err() == nil; tries++ {
		record, asked := agent.newRecord(ctx, address)
		if !asked {
			return
		}
		if taken == nil || !proto.Equal(record, taken) {
			if err := agent.registerOnce(ctx, store, record); err != nil {
				agent.logRegisterFailure(ctx, tries, err)
				agent.sleep(ctx, retry.NextBackOff())
				continue
			}
			agent.options.Events.Log(ctx, event.AgentRegistered, slog.String("address", address),
				slog.Int("ended", len(record.GetEnded())+len(record.GetOver())), slog.Int("tries", tries))
			taken = record
		}
		retry.Reset()
		tries = 0
		select {
		case <-ctx.Done():
		case <-agent.endedChanged:
		}
	}
}

func newRegisterBackoff() *backoff.ExponentialBackOff {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = minRegisterDelay
	retry.Multiplier = 2
	retry.MaxInterval = maxRegisterDelay
	return retry
}

// newRecord returns what the store is to know of the agent; false once the agent has ended.
func (agent *Agent) newRecord(ctx context.Context, address string) (*job.AgentRecord, bool) {
	var ended []incarnation.ID
	if !agent.eventLoop.Ask(ctx, func(time.Time) { ended = slices.Clone(agent.endedToRegister) }) {
		return nil, false
	}
	return job.NewAgentRecord(agent.options.Name, address, ended), true
}

// registerOnce appends the agent's record, with one try.
func (agent *Agent) registerOnce(ctx context.Context, store *platform.Store, record *job.AgentRecord) error {
	value, err := proto.Marshal(record)
	if err != nil {
		return errors.Wrap(err, "encode the agent's record")
	}
	ctx, cancel := clockwork.WithTimeout(ctx, agent.options.Clock, registerTimeout)
	defer cancel()
	_, err = store.Append(ctx, platform.Append{
		Topic: job.TopicAgents, Part: job.AgentPartition(agent.options.Name, agent.options.Shards),
		Records: []platform.Record{{Key: agent.options.Name, Value: value}},
	})
	return err
}

// logRegisterFailure logs the first of the tries that fail in a row.
func (agent *Agent) logRegisterFailure(ctx context.Context, tries int, err error) {
	if tries == 1 {
		agent.options.Events.Log(ctx, event.StoreLost, slog.Any("error", err))
	}
}

func (agent *Agent) sleep(ctx context.Context, length time.Duration) {
	select {
	case <-ctx.Done():
	case <-agent.options.Clock.After(length):
	}
}

// registerEnded has the store told that an incarnation has ended for certain.
func (agent *Agent) registerEnded(over incarnation.ID) {
	agent.endedToRegister = append(agent.endedToRegister, over)
	if len(agent.endedToRegister) > maxEndedToRegister {
		agent.endedToRegister = agent.endedToRegister[1:]
	}
	select {
	case agent.endedChanged <- struct{}{}:
	default:
	}
}
