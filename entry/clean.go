package entry

import (
	"context"
	"time"

	"ambertiller.example/ambertiller/changelog"
	"ambertiller.example/ambertiller/record"
	"ambertiller.example/ambertiller/state"
)

// mostForgotten bounds how much is forgotten in one append.
const mostForgotten = 200

// Clean suspects silent workers and forgets what is past its time.
func (entry *Entry) Clean(ctx context.Context) {
	entry.watchSilence(ctx)
	now := entry.now()
	settings := entry.shelf.Config()
	entry.log.View(func(folded *state.State) { entry.placer.forget(folded, now) })
	if settings == nil || !entry.logUp(now) || !entry.owns("clean", now) {
		return
	}
	var records []*record.Record
	entry.log.View(func(folded *state.State) {
		records = forgetRecords(folded, now, settings.Limits().KeepEnded(), settings.Limits().KeepClaims())
	})
	if len(records) > 0 {
		entry.propose(ctx, records...)
	}
}

func forgetRecords(folded *state.State, now time.Time, keepEnded, keepClaims time.Duration) []*record.Record {
	var records []*record.Record
	for _, id := range folded.EndedTaskIDs(now.Add(-keepEnded), mostForgotten) {
		rec := changelog.NewRecord(now)
		rec.Body = &record.Record_TaskForget{TaskForget: &record.TaskForget{Task: id}}
		records = append(records, rec)
	}
	for _, key := range folded.ClaimKeysWrittenBefore(now.Add(-keepClaims).UnixNano(), mostForgotten) {
		rec := changelog.NewRecord(now)
		rec.Body = &record.Record_ClaimForget{ClaimForget: &record.ClaimForget{Key: key}}
		records = append(records, rec)
	}
	return records
}
