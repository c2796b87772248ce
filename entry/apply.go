package entry

import (
	"context"
	"log/slog"

	"ambertiller.example/ambertiller/config"
	"ambertiller.example/ambertiller/document"
	"ambertiller.example/ambertiller/event"
)

// applyDocument puts a document in force if it is newer than the version in force,
// and applies the limits of a new configuration. An unusable document is logged and
// the version in force stays.
func (entry *Entry) applyDocument(ctx context.Context, doc document.Copy) {
	changed, err := entry.documents.Activate(doc)
	attributes := []slog.Attr{slog.String("document", doc.Name), slog.Uint64("version", doc.Version)}
	if err != nil {
		entry.options.Events.Log(ctx, event.DocumentRejected, append(attributes, slog.String("error", err.Error()))...)
		return
	}
	if !changed {
		return
	}
	entry.options.Events.Log(ctx, event.DocumentInForce, attributes...)
	if doc.Name == config.DocumentName {
		limits := entry.documents.Config().Limits()
		entry.retryBudget.SetRatio(limits.RetryRatio())
		entry.view.SetTimeout(limits.WorkerSilent())
	}
}
