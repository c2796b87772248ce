package agent

import (
	"context"
	"log/slog"
	"time"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/operator"
	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/wire"
)

const (
	// maxStartTime bounds the time from the agent's decision on a start order until the worker has started
	// the run: the timeout of the call, plus scheduling delays before it.
	maxStartTime = callTimeout + 200*time.Millisecond
	// evacuationsRetryDelay is the pause after a failed read of the operators' records.
	evacuationsRetryDelay = 200 * time.Millisecond
)

// handleEvacuations updates the known evacuations from an owner's message, which may carry none. The
// message dates them on the agent's clock.
func (agent *Agent) handleEvacuations(message *wire.Evacuations, now time.Time) {
	if message == nil {
		return
	}
	asOf := agent.startedAt.Add(time.Duration(message.GetAsOfNanos()))
	if asOf.After(now) {
		asOf = now // The clocks drift apart by more than owners allow for.
	}
	agent.applyEvacuations(operator.NewEvacuations(message.GetVersion(), message.GetFailureDomains()), asOf)
}

// applyEvacuations updates the known evacuations, and logs when the worker's failure domain is evacuated or
// no longer is.
func (agent *Agent) applyEvacuations(evacuations operator.Evacuations, asOf time.Time) {
	before := agent.evacuationState.Evacuations()
	agent.evacuationState.Update(evacuations, asOf)
	after := agent.evacuationState.Evacuations()
	domain := agent.failureDomain()
	if before.Has(domain) == after.Has(domain) {
		return
	}
	code := event.DomainGivenBack
	if after.Has(domain) {
		code = event.DomainEvacuated
	}
	agent.log(code, slog.String("failure_domain", domain), slog.Int64("version", after.Version()))
}

// failureDomain returns the worker's failure domain, or the agent's where the worker reports none.
func (agent *Agent) failureDomain() string {
	if agent.worker != nil && agent.worker.heartbeat.FailureDomain != "" {
		return agent.worker.heartbeat.FailureDomain
	}
	return agent.options.FailureDomain
}

// checkFailureDomain returns whether a task may be started in the worker's failure domain. The known
// evacuations must be recent enough: were an evacuation requested right after they were read, the start
// would still take effect within the evacuation deadline.
func (agent *Agent) checkFailureDomain(now time.Time) operator.Verdict {
	return agent.evacuationState.Check(agent.failureDomain(), now, agent.options.EvacuationDeadline-maxStartTime)
}

// requestEvacuations makes FollowOperator read the operators' records.
func (agent *Agent) requestEvacuations() {
	select {
	case agent.evacuationsWanted <- struct{}{}:
	default:
	}
}

// FollowOperator reads the operators' records from the store whenever a start order arrives without
// evacuations while the known ones are outdated: owners of earlier builds send none. It returns when ctx
// ends.
func (agent *Agent) FollowOperator(ctx context.Context, store *platform.Store) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-agent.evacuationsWanted:
		}
		update, err := operator.NewReader(store, agent.options.Clock).Read(ctx)
		if err != nil {
			agent.options.Events.Log(ctx, event.StoreLost, slog.Any("error", err))
			agent.sleep(ctx, evacuationsRetryDelay)
			continue
		}
		agent.eventLoop.Post(func(time.Time) { agent.applyEvacuations(update.Evacuations, update.AsOf) })
	}
}
