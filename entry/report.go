package entry

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/journal"
	"ambertiller.example/ambertiller/lease"
	"ambertiller.example/ambertiller/membership"
	"ambertiller.example/ambertiller/record"
	"ambertiller.example/ambertiller/state"
	"ambertiller.example/ambertiller/wire"
)

// Report takes in what a guard says, and answers what it must know. It
// implements the drpc service.
func (entry *Entry) Report(ctx context.Context, report *wire.ReportRequest) (*wire.ReportReply, error) {
	now := entry.now()
	entry.learnDocuments(ctx, report.GetDocuments(), report.GetAddress())
	reply := &wire.ReportReply{
		Entry:     entry.options.Name,
		Documents: wire.Copies(entry.shelf.NewerThan(wire.FromVersions(report.GetDocuments()))),
	}
	guard := entry.view.Heard(report, now)
	if guard == nil {
		return reply, nil
	}
	entry.table.Update(guard, false)
	verdicts := entry.judge(guard, now)
	reply.Grants = verdicts.grants
	if len(verdicts.records) > 0 || len(verdicts.stops) > 0 || len(verdicts.starts) > 0 {
		// The guard is answered first; it hears of the outcome next time.
		entry.background.Go(func() { entry.act(context.WithoutCancel(ctx), guard, verdicts) })
	}
	return reply, nil
}

// verdicts is what one report leads to.
type verdicts struct {
	grants  []*wire.TaskGrant
	records []*record.Record
	stops   []*wire.StopRequest
	starts  []*state.Task
}

// judge compares the attempts that a guard reports with the state.
func (entry *Entry) judge(guard *membership.Guard, now time.Time) *verdicts {
	made := &verdicts{}
	fresh := entry.log.FreshAt()
	entry.log.View(func(folded *state.State) {
		reported := map[string]bool{}
		for _, task := range guard.Tasks() {
			reported[task.GetTask()] = true
			entry.judgeReported(made, folded, guard, task, fresh, now)
		}
		for _, task := range folded.OnWorker(guard.Name()) {
			if !reported[task.ID()] && entry.owns(task.ID(), now) {
				entry.judgeMissing(made, task, guard, now)
			}
		}
		entry.judgeSuspect(made, folded, guard, now)
	})
	return made
}

// judgeReported judges one attempt that the guard answers for.
func (entry *Entry) judgeReported(made *verdicts, folded *state.State, guard *membership.Guard, reported *wire.TaskReport, fresh, now time.Time) {
	grant := &wire.TaskGrant{Task: reported.GetTask(), Attempt: reported.GetAttempt()}
	task := folded.Task(reported.GetTask())
	switch {
	case task == nil:
		// Unknown and reported before the last whole read began: forgotten.
		grant.Recorded = !guard.HeardBefore().IsZero() && fresh.After(guard.HeardBefore())
		grant.Stop = grant.Recorded
	case reported.GetAttempt() > task.Attempt():
		// This entry's state is behind; another entry knows better.
	case reported.GetAttempt() < task.Attempt() || !task.Phase().Placed():
		grant.Recorded, grant.Stop = true, true
	default:
		entry.judgeCurrent(made, folded, guard, task, reported, grant, fresh, now)
	}
	if grant.GetLeaseNanos() > 0 || grant.GetStop() || grant.GetRecorded() {
		made.grants = append(made.grants, grant)
	}
}

func (entry *Entry) judgeCurrent(made *verdicts, folded *state.State, guard *membership.Guard, task *state.Task, reported *wire.TaskReport, grant *wire.TaskGrant, fresh, now time.Time) {
	owned := entry.owns(task.ID(), now)
	if rec := endOf(reported, now); rec != nil {
		if owned {
			made.records = append(made.records, rec)
		}
		return
	}
	if folded.Suspicion(guard.Name()) == 0 {
		// A lease counts from the last time this entry is sure that nobody
		// had withdrawn it, not from now.
		grant.LeaseNanos = lease.Left(task.Lease(), fresh, now).Nanoseconds()
	}
	switch {
	case !owned:
	case task.Phase() == state.PhaseAssigned:
		made.records = append(made.records, runningRecord(task.ID(), task.Attempt(), now))
	case task.Phase() == state.PhaseStopping && reported.GetPhase() == wire.TaskPhase_TASK_RUNNING:
		made.stops = append(made.stops, stopOf(task, guard))
	case task.Phase() == state.PhaseRunning && (folded.Draining(guard.Name()) || guard.ListedLeaving()):
		made.records = append(made.records, evictRecord(task, "its worker is drained", now))
	}
}

func stopOf(task *state.Task, guard *membership.Guard) *wire.StopRequest {
	return &wire.StopRequest{Task: task.ID(), Attempt: task.Attempt(), Incarnation: guard.Incarnation(), Reason: task.Reason()}
}

func evictRecord(task *state.Task, reason string, now time.Time) *record.Record {
	rec := journal.NewRecord(now)
	rec.Body = &record.Record_TaskEvict{TaskEvict: &record.TaskEvict{Task: task.ID(), Attempt: task.Attempt(), Reason: reason}}
	return rec
}

// endOf returns the record of an attempt's end, nil while it runs.
func endOf(reported *wire.TaskReport, now time.Time) *record.Record {
	id, attempt := reported.GetTask(), reported.GetAttempt()
	switch reported.GetPhase() {
	case wire.TaskPhase_TASK_FINISHED, wire.TaskPhase_TASK_FAILED:
		rec := journal.NewRecord(now)
		rec.Body = &record.Record_TaskFinish{TaskFinish: &record.TaskFinish{
			Task:    id,
			Attempt: attempt,
			Failed:  reported.GetPhase() == wire.TaskPhase_TASK_FAILED,
			Reason:  reported.GetReason(),
			Result:  reported.GetResult(),
		}}
		return rec
	case wire.TaskPhase_TASK_STOPPED, wire.TaskPhase_TASK_LAPSED:
		return releaseOf(id, attempt, record.ReleaseReason_RELEASE_STOPPED, reported.GetReason(), reported.GetCheckpoint(), now)
	}
	return nil
}

// judgeMissing judges an attempt that the state gives to the worker and that
// its guard, by its own report, does not have.
func (entry *Entry) judgeMissing(made *verdicts, task *state.Task, guard *membership.Guard, now time.Time) {
	offered := task.Incarnation() == guard.Incarnation()
	switch {
	case !offered:
		// The offer was to an earlier incarnation, which has been replaced:
		// nobody takes it up any more, and this one has looked at what its
		// worker runs.
		// The case behind adoptSettle: a start that the earlier one had sent to
		// the worker when it died may reach the worker a moment later.
		if guard.Uptime() > adoptSettle {
			made.records = append(made.records, releaseOf(task.ID(), task.Attempt(), record.ReleaseReason_RELEASE_NOT_STARTED, "a new guard does not find it on the worker", nil, now))
		}
	case guard.Uptime() > task.OfferDeadline():
		made.records = append(made.records, releaseOf(task.ID(), task.Attempt(), record.ReleaseReason_RELEASE_NOT_STARTED, "the offer ended without being taken up", nil, now))
	case task.Phase() == state.PhaseAssigned:
		made.starts = append(made.starts, task)
	case task.Phase() == state.PhaseStopping:
		made.stops = append(made.stops, stopOf(task, guard))
	}
}

// adoptSettle is how old a guard must be before what it does not find on its
// worker counts as not there.
const adoptSettle = 3 * time.Second

// judgeSuspect ends the suspicion of a guard that speaks. Any entry that hears
// it does so, not only the one that acts for the worker: the case is a guard
// that reaches some entries and not that one.
func (entry *Entry) judgeSuspect(made *verdicts, folded *state.State, guard *membership.Guard, now time.Time) {
	suspicion := folded.Suspicion(guard.Name())
	if suspicion == 0 {
		return
	}
	rec := journal.NewRecord(now)
	rec.Body = &record.Record_WorkerSuspect{WorkerSuspect: &record.WorkerSuspect{
		Worker: guard.Name(), Incarnation: guard.Incarnation(), Cleared: true, Suspicion: suspicion,
	}}
	made.records = append(made.records, rec)
}

// act records the ends of attempts and sends stops and offers.
func (entry *Entry) act(ctx context.Context, guard *membership.Guard, made *verdicts) {
	if len(made.records) > 0 && entry.logUp(entry.now()) {
		outcomes := entry.propose(ctx, made.records...)
		entry.noteRecorded(ctx, made.records, outcomes)
		made.stops = append(made.stops, evicted(guard, made.records, outcomes)...)
	}
	for _, task := range made.starts {
		entry.start(ctx, task.ID(), task.Attempt())
	}
	for _, stop := range made.stops {
		entry.stop(ctx, guard, stop)
	}
}

// evicted returns the stops of the attempts whose eviction took effect.
func evicted(guard *membership.Guard, records []*record.Record, outcomes []state.Outcome) []*wire.StopRequest {
	var stops []*wire.StopRequest
	for index, outcome := range outcomes {
		evict := records[index].GetTaskEvict()
		if evict == nil || !outcome.Accepted() {
			continue
		}
		stops = append(stops, &wire.StopRequest{
			Task: evict.GetTask(), Attempt: evict.GetAttempt(), Incarnation: guard.Incarnation(), Reason: evict.GetReason(),
		})
	}
	return stops
}

func (entry *Entry) noteRecorded(ctx context.Context, records []*record.Record, outcomes []state.Outcome) {
	for index, outcome := range outcomes {
		if !outcome.Accepted() {
			continue
		}
		switch body := records[index].GetBody().(type) {
		case *record.Record_TaskFinish:
			entry.metrics.attemptEnded(ctx, "finished")
			entry.options.Events.Log(ctx, event.TaskRecorded, slog.String("task", body.TaskFinish.GetTask()),
				slog.Uint64("attempt", body.TaskFinish.GetAttempt()), slog.Bool("failed", body.TaskFinish.GetFailed()), slog.String("reason", body.TaskFinish.GetReason()))
		case *record.Record_TaskRelease:
			entry.metrics.attemptEnded(ctx, "released")
			entry.options.Events.Log(ctx, event.TaskRecorded, slog.String("task", body.TaskRelease.GetTask()),
				slog.Uint64("attempt", body.TaskRelease.GetAttempt()), slog.String("reason", body.TaskRelease.GetDetail()))
		case *record.Record_TaskEvict:
			entry.metrics.attemptEnded(ctx, "evicting")
			entry.options.Events.Log(ctx, event.TaskRevoked, slog.String("task", body.TaskEvict.GetTask()), slog.String("reason", body.TaskEvict.GetReason()))
		}
	}
}

// stop asks a guard to stop an attempt. A proof that it does not run there and
// never will ends the attempt at once.
func (entry *Entry) stop(ctx context.Context, guard *membership.Guard, request *wire.StopRequest) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := wire.NewDRPCGuardClient(entry.options.Pool.Conn(guard.Address())).Stop(ctx, request)
	if err != nil || !reply.GetRefusal().GetNotRun() {
		return
	}
	now := entry.now()
	entry.propose(ctx, releaseOf(request.GetTask(), request.GetAttempt(), record.ReleaseReason_RELEASE_NOT_STARTED, reply.GetRefusal().GetDetail(), nil, now))
}

// Documents answers another entry, or the guard of another process, with the
// documents that it lacks. It implements the drpc service.
func (entry *Entry) Documents(ctx context.Context, request *wire.DocumentsRequest) (*wire.DocumentsReply, error) {
	have := wire.FromVersions(request.GetHave())
	return &wire.DocumentsReply{
		Entry:     entry.options.Name,
		Documents: wire.Copies(entry.shelf.NewerThan(have)),
		InForce:   wire.Versions(entry.shelf.Versions()),
	}, nil
}

// AskPeers learns which other entries are there, and takes over documents that
// they have and the log has not brought here.
func (entry *Entry) AskPeers(ctx context.Context) {
	var calls sync.WaitGroup
	for _, peer := range entry.view.Entries() {
		if peer.Name == entry.options.Name {
			continue
		}
		calls.Go(func() { entry.askPeer(ctx, peer.Address) })
	}
	calls.Wait()
}

func (entry *Entry) askPeer(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := &wire.DocumentsRequest{Entry: entry.options.Name, Have: wire.Versions(entry.shelf.Versions())}
	reply, err := wire.NewDRPCEntryClient(entry.options.Pool.Conn(address)).Documents(ctx, request)
	if err != nil {
		return
	}
	entry.view.PeerHeard(membership.Peer{Name: reply.GetEntry(), HeardAt: entry.now(), Documents: wire.FromVersions(reply.GetInForce())})
	for _, copied := range reply.GetDocuments() {
		entry.offer(ctx, wire.FromCopy(copied))
	}
}

// learnDocuments notices that a guard holds a newer document than this entry,
// as after a cold start with the log down, and fetches it.
func (entry *Entry) learnDocuments(ctx context.Context, held []*wire.DocumentVersion, address string) {
	mine := map[string]uint64{}
	for _, each := range entry.shelf.Versions() {
		mine[each.Name] = each.Version
	}
	for _, each := range held {
		if each.GetVersion() > mine[each.GetName()] {
			entry.background.Go(func() { entry.fetchFromGuard(context.WithoutCancel(ctx), address) })
			return
		}
	}
}

func (entry *Entry) fetchFromGuard(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := &wire.DocumentsRequest{Entry: entry.options.Name, Have: wire.Versions(entry.shelf.Versions())}
	reply, err := wire.NewDRPCGuardClient(entry.options.Pool.Conn(address)).Documents(ctx, request)
	if err != nil {
		return
	}
	for _, copied := range reply.GetDocuments() {
		entry.offer(ctx, wire.FromCopy(copied))
	}
}
