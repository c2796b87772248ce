package guard

import (
	"log/slog"

	"ambertiller.example/ambertiller/wire"
)

func attrError(err error) slog.Attr { return slog.String("error", err.Error()) }

func attrDocument(documentCopy *wire.DocumentCopy) slog.Attr {
	return slog.String("document", documentCopy.GetName())
}

func attrVersion(documentCopy *wire.DocumentCopy) slog.Attr {
	return slog.Uint64("version", documentCopy.GetVersion())
}

func attrTask(id string) slog.Attr { return slog.String("task", id) }

func attrAttempt(number uint64) slog.Attr { return slog.Uint64("attempt", number) }

func attrReason(reason string) slog.Attr { return slog.String("reason", reason) }

func attrRequest(id string) slog.Attr { return slog.String("request", id) }

func attrDetail(detail string) slog.Attr { return slog.String("detail", detail) }
