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
	// maxStartTime is how long an order takes at most from its agent's decision until the
	// worker has begun with it: as long as the call may take, and the wake-ups before it.
	maxStartTime = callTimeout + 200*time.Millisecond
	// evacuationsRetryDelay keeps reads of the operators' records apart that failed.
	evacuationsRetryDelay = 200 * time.Millisecond
)

// handleEvacuations takes in what an owner knows of evacuations.
func (agent *Agent) handleEvacuations(told *wire.Evacuations, now time.Time) {
	if told == nil {
		return
	}
	asOf := agent.startedAt.Add(time.Duration(told.GetAsOfNanos()))
	if asOf.After(now) {
		asOf = now // The clocks differ by more than owners reckon with.
	}
	agent.applyEvacuations(operator.NewEvacuations(told.GetVersion(), told.GetFailureDomains()), asOf)
}

func (agent *Agent) applyEvacuations(told operator.Evacuations, asOf time.Time) {
	before := agent.evacuationState.Evacuations()
	agent.evacuationState.Note(told, asOf)
	after := agent.evacuationState.Evacuations()
	own := agent.failureDomain()
	if before.Has(own) == after.Has(own) {
		return
	}
	code := event.DomainGivenBack
	if after.Has(own) {
		code = event.DomainEvacuated
	}
	agent.log(code, slog.String("failure_domain", own), slog.Int64("version", after.Version()))
}

// failureDomain returns where the worker stands.
func (agent *Agent) failureDomain() string {
	if agent.worker != nil && agent.worker.heartbeat.FailureDomain != "" {
		return agent.worker.heartbeat.FailureDomain
	}
	return agent.options.FailureDomain
}

// checkFailureDomain says whether a task may be started in the worker's failure domain. What is
// known must be so fresh that the start takes effect before an evacuation holds that was
// asked for right after.
func (agent *Agent) checkFailureDomain(now time.Time) operator.Verdict {
	return agent.evacuationState.Judge(agent.failureDomain(), now, agent.options.EvacuationDeadline-maxStartTime)
}

// requestEvacuations has FollowOperator read what operators wrote.
func (agent *Agent) requestEvacuations() {
	select {
	case agent.evacuationsWanted <- struct{}{}:
	default:
	}
}

// FollowOperator reads what operators wrote whenever an order came from an owner that does
// not tell it, as one of an earlier build does not. It returns when ctx ends.
func (agent *Agent) FollowOperator(ctx context.Context, store *platform.Store) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-agent.evacuationsWanted:
		}
		news, err := operator.NewReader(store, agent.options.Clock).Read(ctx)
		if err != nil {
			agent.options.Events.Log(ctx, event.StoreLost, slog.Any("error", err))
			agent.sleep(ctx, evacuationsRetryDelay)
			continue
		}
		agent.eventLoop.Post(func(time.Time) { agent.applyEvacuations(news.Evacuations, news.AsOf) })
	}
}
