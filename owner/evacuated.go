package owner

import (
	"log/slog"
	"slices"
	"time"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/operator"
	"ambertiller.example/ambertiller/wire"
)

// UpdateEvacuations takes in which failure domains are evacuated, as of a moment up to which
// that is known to be all; zero where that is not known.
func (owner *Owner) UpdateEvacuations(told operator.Evacuations, asOf time.Time) {
	owner.eventLoop.Post(func(time.Time) { owner.applyEvacuations(told, asOf) })
}

func (owner *Owner) applyEvacuations(told operator.Evacuations, asOf time.Time) {
	before := owner.evacuationState.Evacuations()
	owner.evacuationState.Note(told, asOf)
	after := owner.evacuationState.Evacuations()
	for _, domain := range after.Less(before) {
		owner.log(event.DomainEvacuated, slog.String("failure_domain", domain), slog.Int64("version", after.Version()))
	}
	for _, domain := range before.Less(after) {
		owner.log(event.DomainGivenBack, slog.String("failure_domain", domain), slog.Int64("version", after.Version()))
		owner.placementChanges.addAll()
	}
	owner.metrics.evacuatedDomains.Record(owner.ctx, int64(len(after.Domains())))
}

// isEvacuated reports whether the worker's failure domain is evacuated.
func (owner *Owner) isEvacuated(view *agentView) bool {
	return owner.evacuationState.Evacuations().Has(view.status().GetFailureDomain())
}

// addEvacuations adds what is known of evacuations to the message that goes out next: with
// every start, since its agent starts nothing by what is known too old, and when it has
// changed. Without starts it costs nothing.
func (owner *Owner) addEvacuations(view *agentView) {
	known := owner.evacuationState.Evacuations()
	if owner.evacuationState.AsOf().IsZero() || !view.heardOnConn {
		return
	}
	if len(view.nextMessage.Starts) == 0 && slices.Equal(view.sentEvacuations, known.Domains()) {
		return
	}
	view.sentEvacuations = known.Domains()
	asOf := operator.PeerUptime(owner.evacuationState.AsOf(), view.lastMessageAt, view.agentUptime)
	view.nextMessage.Evacuations = &wire.Evacuations{
		Version: known.Version(), FailureDomains: known.Domains(), AsOfNanos: int64(asOf),
	}
}
