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
	owner.decisions.Post(func(time.Time) { owner.applyEvacuations(told, asOf) })
}

func (owner *Owner) applyEvacuations(told operator.Evacuations, asOf time.Time) {
	before := owner.knowledge.Evacuations()
	owner.knowledge.Note(told, asOf)
	after := owner.knowledge.Evacuations()
	for _, domain := range after.Less(before) {
		owner.log(event.DomainEvacuated, slog.String("failure_domain", domain), slog.Int64("version", after.Version()))
	}
	for _, domain := range before.Less(after) {
		owner.log(event.DomainGivenBack, slog.String("failure_domain", domain), slog.Int64("version", after.Version()))
		owner.lookout.addAll()
	}
	owner.meters.evacuated.Record(owner.ctx, int64(len(after.Domains())))
}

// isEvacuated reports whether the worker's failure domain is evacuated.
func (owner *Owner) isEvacuated(view *agentView) bool {
	return owner.knowledge.Evacuations().Has(view.status().GetFailureDomain())
}

// addEvacuations adds what is known of evacuations to the message that goes out next: with
// every start, since its agent starts nothing by what is known too old, and when it has
// changed. Without starts it costs nothing.
func (owner *Owner) addEvacuations(view *agentView) {
	known := owner.knowledge.Evacuations()
	if owner.knowledge.AsOf().IsZero() || !view.greeted {
		return
	}
	if len(view.message.Starts) == 0 && slices.Equal(view.toldEvacuated, known.Domains()) {
		return
	}
	view.toldEvacuated = known.Domains()
	asOf := operator.PeerUptime(owner.knowledge.AsOf(), view.heardAt, view.uptime)
	view.message.Evacuations = &wire.Evacuations{
		Version: known.Version(), FailureDomains: known.Domains(), AsOfNanos: int64(asOf),
	}
}
