package entry

import (
	"context"
	"time"

	"ambertiller.example/ambertiller/changelog"
	"ambertiller.example/ambertiller/record"
	"ambertiller.example/ambertiller/state"
)

// maxForgotten is the maximum number of tasks, and also of claims, that one append
// removes from the state.
const maxForgotten = 200

// RunMaintenance suspects workers whose guards have stopped reporting, releases
// their tasks after the leases have expired, and removes ended tasks and claims
// from the state when their retention time is over.
func (entry *Entry) RunMaintenance(ctx context.Context) {
	entry.updateSuspicions(ctx)
	now := entry.now()
	settings := entry.documents.Config()
	entry.journal.View(func(st *state.State) { entry.placer.prune(st, now) })
	if settings == nil || !entry.isLogFresh(now) || !entry.isResponsibleFor("clean", now) {
		return
	}
	var records []*record.Record
	entry.journal.View(func(st *state.State) {
		records = newForgetRecords(st, now, settings.Limits().KeepEnded(), settings.Limits().KeepClaims())
	})
	if len(records) > 0 {
		entry.propose(ctx, records...)
	}
}

// newForgetRecords returns the records that remove tasks that ended more than
// keepEnded ago and claims that were written more than keepClaims ago.
func newForgetRecords(st *state.State, now time.Time, keepEnded, keepClaims time.Duration) []*record.Record {
	var records []*record.Record
	for _, id := range st.EndedTaskIDs(now.Add(-keepEnded), maxForgotten) {
		rec := changelog.NewRecord(now)
		rec.Body = &record.Record_TaskForget{TaskForget: &record.TaskForget{Task: id}}
		records = append(records, rec)
	}
	for _, key := range st.ClaimKeysWrittenBefore(now.Add(-keepClaims).UnixNano(), maxForgotten) {
		rec := changelog.NewRecord(now)
		rec.Body = &record.Record_ClaimForget{ClaimForget: &record.ClaimForget{Key: key}}
		records = append(records, rec)
	}
	return records
}
