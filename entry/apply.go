package entry

import (
	"context"
	"log/slog"

	"ambertiller.example/ambertiller/config"
	"ambertiller.example/ambertiller/document"
	"ambertiller.example/ambertiller/event"
)

// applyDocument puts a newer copy of a document in force.
func (entry *Entry) applyDocument(ctx context.Context, offered document.Copy) {
	changed, err := entry.documents.Offer(offered)
	attributes := []slog.Attr{slog.String("document", offered.Name), slog.Uint64("version", offered.Version)}
	if err != nil {
		entry.options.Events.Log(ctx, event.DocumentRejected, append(attributes, slog.String("error", err.Error()))...)
		return
	}
	if !changed {
		return
	}
	entry.options.Events.Log(ctx, event.DocumentInForce, attributes...)
	if offered.Name == config.DocumentName {
		limits := entry.documents.Config().Limits()
		entry.retryBudget.SetRatio(limits.RetryRatio())
		entry.view.SetSilent(limits.WorkerSilent())
	}
}
