package entry

import (
	"context"
	"time"

	"ambertiller.example/ambertiller/changelog"
	"ambertiller.example/ambertiller/record"
	"ambertiller.example/ambertiller/state"
)

// maxForgotten bounds how much is forgotten in one append.
const maxForgotten = 200

// RunMaintenance suspects silent workers and forgets what is past its time.
func (entry *Entry) RunMaintenance(ctx context.Context) {
	entry.updateSuspicions(ctx)
	now := entry.now()
	settings := entry.documents.Config()
	entry.journal.View(func(folded *state.State) { entry.placer.prune(folded, now) })
	if settings == nil || !entry.isLogFresh(now) || !entry.isResponsibleFor("clean", now) {
		return
	}
	var records []*record.Record
	entry.journal.View(func(folded *state.State) {
		records = newForgetRecords(folded, now, settings.Limits().KeepEnded(), settings.Limits().KeepClaims())
	})
	if len(records) > 0 {
		entry.propose(ctx, records...)
	}
}

func newForgetRecords(folded *state.State, now time.Time, keepEnded, keepClaims time.Duration) []*record.Record {
	var records []*record.Record
	for _, id := range folded.EndedTaskIDs(now.Add(-keepEnded), maxForgotten) {
		rec := changelog.NewRecord(now)
		rec.Body = &record.Record_TaskForget{TaskForget: &record.TaskForget{Task: id}}
		records = append(records, rec)
	}
	for _, key := range folded.ClaimKeysWrittenBefore(now.Add(-keepClaims).UnixNano(), maxForgotten) {
		rec := changelog.NewRecord(now)
		rec.Body = &record.Record_ClaimForget{ClaimForget: &record.ClaimForget{Key: key}}
		records = append(records, rec)
	}
	return records
}
