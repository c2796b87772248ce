package owner

import (
	"log/slog"
	"slices"
	"time"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/operator"
	"ambertiller.example/ambertiller/wire"
)

// UpdateEvacuations updates which failure domains are evacuated. The evacuations given include
// everything that operators had written at the time asOf, which is zero if no such time is known.
func (owner *Owner) UpdateEvacuations(evacuations operator.Evacuations, asOf time.Time) {
	owner.eventLoop.Post(func(time.Time) { owner.applyEvacuations(evacuations, asOf) })
}

// applyEvacuations updates the known evacuations and logs which domains have been evacuated or given
// back. Workers in a domain that is given back may be used again, which requires a full placement pass.
func (owner *Owner) applyEvacuations(evacuations operator.Evacuations, asOf time.Time) {
	before := owner.evacuationState.Evacuations()
	owner.evacuationState.Update(evacuations, asOf)
	after := owner.evacuationState.Evacuations()
	for _, domain := range after.Difference(before) {
		owner.log(event.DomainEvacuated, slog.String("failure_domain", domain), slog.Int64("version", after.Version()))
	}
	for _, domain := range before.Difference(after) {
		owner.log(event.DomainGivenBack, slog.String("failure_domain", domain), slog.Int64("version", after.Version()))
		owner.placementChanges.addAll()
	}
	owner.metrics.evacuatedDomains.Record(owner.ctx, int64(len(after.Domains())))
}

// isEvacuated reports whether the worker's failure domain is evacuated.
func (owner *Owner) isEvacuated(view *agentView) bool {
	return owner.evacuationState.Evacuations().Has(view.status().GetFailureDomain())
}

// addEvacuations adds the known evacuations to the agent's next message if the message contains
// start orders or if they have changed. An agent refuses to start anything if what it knows of
// evacuations is too old. Agents that are given no starts need no such updates.
func (owner *Owner) addEvacuations(view *agentView) {
	evacuations := owner.evacuationState.Evacuations()
	if owner.evacuationState.AsOf().IsZero() || !view.receivedOnConn {
		return
	}
	if len(view.nextMessage.Starts) == 0 && slices.Equal(view.sentEvacuations, evacuations.Domains()) {
		return
	}
	view.sentEvacuations = evacuations.Domains()
	asOf := operator.PeerUptime(owner.evacuationState.AsOf(), view.lastMessageAt, view.agentUptime)
	view.nextMessage.Evacuations = &wire.Evacuations{
		Version: evacuations.Version(), FailureDomains: evacuations.Domains(), AsOfNanos: int64(asOf),
	}
}
