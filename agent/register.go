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
	// registerTimeout is the timeout of one append. A partition with more than 2 s of appends waiting refuses
	// further ones, so an append that is not answered by then is lost rather than waiting.
	registerTimeout = 4 * time.Second
	// minRegisterDelay and maxRegisterDelay limit the delay between attempts, which doubles with each
	// attempt. It is randomized, so that agents that were refused at the same time do not retry at the same
	// time.
	minRegisterDelay = 250 * time.Millisecond
	maxRegisterDelay = 4 * time.Second
	// maxEndedToRegister limits the ended incarnations of one machine that are written to the store. The runs
	// of earlier ones have long been released.
	maxEndedToRegister = 8
)

// Register writes the agent's record to the store, where owners find its address, and again whenever an
// incarnation of the worker has ended. It retries until the store has accepted the record, and returns when
// ctx ends.
//
// It makes one append at a time, and waits for one that is queued in the store. A whole fleet may register at
// once: appends that were abandoned while queued would make the queue longer for all agents.
func (agent *Agent) Register(ctx context.Context, store *platform.Store, address string) {
	var stored *job.AgentRecord // the last record that the store has accepted
	delays := newRegisterBackoff()
	for tries := 1; ctx.Err() == nil; tries++ {
		record, ok := agent.newRecord(ctx, address)
		if !ok {
			return
		}
		if stored == nil || !proto.Equal(record, stored) {
			if err := agent.registerOnce(ctx, store, record); err != nil {
				agent.logRegisterFailure(ctx, tries, err)
				agent.sleep(ctx, delays.NextBackOff())
				continue
			}
			agent.options.Events.Log(ctx, event.AgentRegistered, slog.String("address", address),
				slog.Int("ended", len(record.GetEnded())+len(record.GetOver())), slog.Int("tries", tries))
			stored = record
			agent.eventLoop.Post(func(time.Time) { agent.handleRegistered(record) })
		}
		delays.Reset()
		tries = 0
		select {
		case <-ctx.Done():
		case <-agent.endedChanged:
		}
	}
}

// handleRegistered records that the store has a record of the agent, unless another incarnation has ended since.
func (agent *Agent) handleRegistered(record *job.AgentRecord) {
	if proto.Equal(record, job.NewAgentRecord(record.GetName(), record.GetAddress(), agent.endedToRegister)) {
		agent.registrationDue = false
	}
}

// newRegisterBackoff returns the delays between attempts to register.
func newRegisterBackoff() *backoff.ExponentialBackOff {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = minRegisterDelay
	delays.Multiplier = 2
	delays.MaxInterval = maxRegisterDelay
	return delays
}

// newRecord returns the agent's record for the store, or false once the agent has ended.
func (agent *Agent) newRecord(ctx context.Context, address string) (*job.AgentRecord, bool) {
	var ended []incarnation.ID
	if !agent.eventLoop.Call(ctx, func(time.Time) { ended = slices.Clone(agent.endedToRegister) }) {
		return nil, false
	}
	return job.NewAgentRecord(agent.options.Name, address, ended), true
}

// registerOnce appends the agent's record to the store, without a retry.
func (agent *Agent) registerOnce(ctx context.Context, store *platform.Store, record *job.AgentRecord) error {
	value, err := proto.Marshal(record)
	if err != nil {
		return errors.Wrap(err, "encode the agent's record")
	}
	ctx, cancel := clockwork.WithTimeout(ctx, agent.options.Clock, registerTimeout)
	defer cancel()
	_, err = store.Append(ctx, platform.Append{
		Topic: job.TopicAgents, Partition: job.AgentPartition(agent.options.Name, agent.options.Shards),
		Records: []platform.Record{{Key: agent.options.Name, Value: value}},
	})
	return err
}

// logRegisterFailure logs a failed attempt if it is the first one in a row.
func (agent *Agent) logRegisterFailure(ctx context.Context, tries int, err error) {
	if tries == 1 {
		agent.options.Events.Log(ctx, event.StoreLost, slog.Any("error", err))
	}
}

// sleep waits for the given time, or until ctx ends.
func (agent *Agent) sleep(ctx context.Context, length time.Duration) {
	select {
	case <-ctx.Done():
	case <-agent.options.Clock.After(length):
	}
}

// registerEnded has Register write to the store that an incarnation is certainly over.
func (agent *Agent) registerEnded(id incarnation.ID) {
	agent.registrationDue = true
	agent.endedToRegister = append(agent.endedToRegister, id)
	if len(agent.endedToRegister) > maxEndedToRegister {
		agent.endedToRegister = agent.endedToRegister[1:]
	}
	select {
	case agent.endedChanged <- struct{}{}:
	default:
	}
}
