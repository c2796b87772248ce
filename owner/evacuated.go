package owner

import (
	"log/slog"
	"time"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/operator"
	"ambertiller.example/ambertiller/wire"
)

// NoteEvacuations takes in which failure domains are evacuated, as of a moment up to which
// that is known to be all; zero where that is not known.
func (owner *Owner) NoteEvacuations(told operator.Evacuations, asOf time.Time) {
	owner.decisions.Post(func(time.Time) { owner.noteEvacuations(told, asOf) })
}

func (owner *Owner) noteEvacuations(told operator.Evacuations, asOf time.Time) {
	before := owner.operator.Evacuations()
	owner.operator.Note(told, asOf)
	now := owner.operator.Evacuations()
	for _, domain := range now.Less(before) {
		owner.log(event.DomainEvacuated, slog.String("failure_domain", domain), slog.Int64("version", now.Version()))
	}
	for _, domain := range before.Less(now) {
		owner.log(event.DomainGivenBack, slog.String("failure_domain", domain), slog.Int64("version", now.Version()))
		owner.placeDue = true
	}
	owner.meters.evacuated.Record(owner.ctx, int64(len(now.Domains())))
}

// evacuated reports whether the worker's failure domain is evacuated.
func (owner *Owner) evacuated(view *agentView) bool {
	return owner.operator.Evacuations().Has(view.status().GetFailureDomain())
}

// tellEvacuations adds what is known of evacuations to the message that goes out next: with
// every start, since its agent starts nothing by what is known too old, and when it has
// changed. Without starts it costs nothing.
func (owner *Owner) tellEvacuations(view *agentView) {
	known := owner.operator.Evacuations()
	if owner.operator.AsOf().IsZero() || !view.greeted {
		return
	}
	if len(view.message.Starts) == 0 && view.toldEvacuations == known.Version() {
		return
	}
	view.toldEvacuations = known.Version()
	asOf := operator.PeerUptime(owner.operator.AsOf(), view.heardAt, view.uptime)
	view.message.Evacuations = &wire.Evacuations{
		Version: known.Version(), FailureDomains: known.Domains(), AsOfNanos: int64(asOf),
	}
}
