package entry

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"ambertiller.example/ambertiller/changelog"
	"ambertiller.example/ambertiller/config"
	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/membership"
	"ambertiller.example/ambertiller/placement"
	"ambertiller.example/ambertiller/policy"
	"ambertiller.example/ambertiller/record"
	"ambertiller.example/ambertiller/state"
	"ambertiller.example/ambertiller/wire"
)

const (
	// offerTime is how long a guard may accept an offer, on the guard's clock.
	offerTime = 10 * time.Second
	// refusalBackoff is how long a task is not offered again to a worker that
	// refused it.
	refusalBackoff = 5 * time.Second
	// maxAssignmentsPerRound is the maximum number of assignments in one append.
	maxAssignmentsPerRound = 64
	// A worker that fails every attempt at its start has no running tasks and
	// would look like the best candidate. A worker with maxStartFailures within
	// startFailureWindow therefore gets no tasks.
	startFailureWindow = 30 * time.Second
	maxStartFailures   = 3
	waitingLogInterval = 10 * time.Second
)

// refusal excludes a worker from the candidates of one task for a while.
type refusal struct {
	worker string
	until  time.Time
}

// placer assigns pending tasks to workers.
type placer struct {
	entry        *Entry
	policyRunner *policy.Runner

	mu              sync.Mutex
	refusals        map[string][]refusal   // by task ID
	startFailures   map[string][]time.Time // by worker
	waitingLoggedAt map[string]time.Time   // by task ID
}

func (entry *Entry) runPlacement(ctx context.Context) {
	ticker := entry.options.Clock.NewTicker(placeInterval)
	defer ticker.Stop()
	for {
		entry.PlacePending(ctx, entry.now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

// PlacePending runs one placement round. Run does so every placeInterval.
func (entry *Entry) PlacePending(ctx context.Context, now time.Time) { entry.placer.runRound(ctx, now) }

// assignment is the proposed placement of one task.
type assignment struct {
	assign   *record.TaskAssign
	spec     *record.TaskSpec
	attempt  uint64
	address  string
	decision *placement.Decision
}

// runRound decides on the pending tasks this entry is responsible for, appends the
// assignments to the log, and sends an offer for each that the log accepts.
func (p *placer) runRound(ctx context.Context, now time.Time) {
	entry := p.entry
	if !entry.isLogFresh(now) || entry.documents.Config() == nil || entry.shuttingDown.Load() {
		return
	}
	assignments := p.decide(ctx, now)
	if len(assignments) == 0 {
		return
	}
	records := make([]*record.Record, 0, len(assignments))
	for _, a := range assignments {
		rec := changelog.NewRecord(now)
		rec.Body = &record.Record_TaskAssign{TaskAssign: a.assign}
		records = append(records, rec)
	}
	appendCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	outcomes, err := entry.journal.Append(appendCtx, records...)
	if err != nil {
		// The append may still take effect. reconcileMissing then offers the
		// attempt, or releases it after its offer has expired.
		return
	}
	for i, a := range assignments {
		p.handleOutcome(ctx, a, outcomes[i])
	}
}

// decide selects workers for pending tasks. Each assignment reserves its resources,
// so that later tasks of the same round are not placed on them.
func (p *placer) decide(ctx context.Context, now time.Time) []*assignment {
	entry := p.entry
	settings := entry.documents.Config()
	policies := entry.policies()
	var assignments []*assignment
	entry.journal.View(func(st *state.State) {
		if st.PendingCount() == 0 {
			return
		}
		workers := p.workerSet(st, now)
		usage := newTeamUsage(st)
		for _, task := range sortByShare(st.Pending(), usage, settings) {
			if len(assignments) == maxAssignmentsPerRound {
				return
			}
			if !entry.isResponsibleFor(task.ID(), now) {
				continue
			}
			decision := p.decideTask(workers, usage, settings, policies, task, now)
			if !decision.IsPlaced() {
				p.logWaiting(ctx, task, decision, now)
				continue
			}
			worker := workers.Worker(decision.Worker())
			workers.Reserve(decision.Worker(), task.Spec())
			usage.add(task.Spec())
			assignments = append(assignments, newAssignment(entry.view.Guard(worker.Name), task, decision, entry.leaseForKind(task.Spec().GetKind()), now))
		}
	})
	return assignments
}

// decideTask selects a worker for one task. It rejects all workers if the task
// would exceed the quota of its team.
func (p *placer) decideTask(workers *placement.WorkerSet, usage usageByTeam, settings *config.Config, policies placement.Policies, task *state.Task, now time.Time) *placement.Decision {
	if usage.exceedsQuota(settings, task.Spec()) {
		return workers.RejectAll(policies, placement.OverQuota)
	}
	return workers.Decide(p.policyRunner, policies, p.newPlacementTask(settings, task, now))
}

func (p *placer) newPlacementTask(settings *config.Config, task *state.Task, now time.Time) *placement.Task {
	kind, _ := settings.Kind(task.Spec().GetKind())
	return &placement.Task{
		ID:        task.ID(),
		Spec:      task.Spec(),
		Class:     string(kind.Class()),
		Attempts:  task.Attempt(),
		Waited:    max(0, now.Sub(task.CreatedAt())),
		RefusedBy: p.refusedBy(task.ID(), now),
	}
}

// newAssignment returns the assignment of the task to the guard's present
// incarnation, with the deadline of the offer on the guard's clock.
func newAssignment(guard *membership.Guard, task *state.Task, decision *placement.Decision, lease time.Duration, now time.Time) *assignment {
	// The guard's clock has advanced since its last report. Adding this time keeps
	// the offer from expiring early. It can't make it expire late, as the report
	// was sent before it was received.
	uptime := guard.Uptime() + now.Sub(guard.LastReportAt())
	return &assignment{
		assign: &record.TaskAssign{
			Task:               task.ID(),
			BasedOn:            task.Version(),
			Worker:             guard.Name(),
			Incarnation:        guard.Incarnation(),
			OfferDeadlineNanos: (uptime + offerTime).Nanoseconds(),
			PolicyVersion:      decision.Policy(),
			LeaseNanos:         lease.Nanoseconds(),
		},
		spec:     task.Spec(),
		attempt:  task.Attempt() + 1,
		address:  guard.Address(),
		decision: decision,
	}
}

// handleOutcome offers the attempt to its guard in the background if the log
// accepted the assignment. A rejected one is only logged and counted.
func (p *placer) handleOutcome(ctx context.Context, a *assignment, outcome state.Outcome) {
	entry := p.entry
	if !outcome.IsAccepted() {
		entry.metrics.countDecision(ctx, "lost")
		entry.options.Events.Log(ctx, event.PlacementLost, slog.String("task", a.assign.GetTask()), slog.String("reason", string(outcome.Reason())))
		return
	}
	entry.metrics.countDecision(ctx, "placed")
	logPlacement(ctx, entry.options.Events, a)
	entry.background.Go(func() { entry.offerAttempt(ctx, a.assign.GetTask(), a.attempt) })
}

func logPlacement(ctx context.Context, events *event.Logger, a *assignment) {
	runnerUp, runnerUpScore := a.decision.RunnerUp()
	attributes := []slog.Attr{
		slog.String("task", a.assign.GetTask()),
		slog.Uint64("attempt", a.attempt),
		slog.String("worker", a.assign.GetWorker()),
		slog.Float64("score", a.decision.Score()),
		slog.String("second", runnerUp),
		slog.Float64("second_score", runnerUpScore),
		slog.String("policy", a.decision.Policy()),
		slog.Int("workers", a.decision.WorkerCount()),
		rejectedAttr(a.decision),
	}
	if policyErr := a.decision.PolicyError(); policyErr != nil {
		events.Log(ctx, event.PolicyFellBack, slog.String("task", a.assign.GetTask()), slog.String("error", policyErr.Error()))
	}
	events.Log(ctx, event.TaskPlaced, attributes...)
}

func rejectedAttr(decision *placement.Decision) slog.Attr {
	var counts []any
	for _, constraint := range slices.Sorted(maps.Keys(decision.Rejected())) {
		counts = append(counts, slog.Int(string(constraint), decision.Rejected()[constraint]))
	}
	return slog.Group("rejected", counts...)
}

// logWaiting logs why a task is not placed, at most once per waitingLogInterval.
func (p *placer) logWaiting(ctx context.Context, task *state.Task, decision *placement.Decision, now time.Time) {
	p.mu.Lock()
	if p.waitingLoggedAt == nil {
		p.waitingLoggedAt = map[string]time.Time{}
	}
	due := now.Sub(p.waitingLoggedAt[task.ID()]) >= waitingLogInterval
	if due {
		p.waitingLoggedAt[task.ID()] = now
	}
	p.mu.Unlock()
	if due {
		p.entry.options.Events.Log(ctx, event.TaskWaiting, slog.String("task", task.ID()), slog.Int("workers", decision.WorkerCount()), rejectedAttr(decision))
	}
}

// prune removes the records of tasks that are no longer pending, and of workers
// without a start failure within startFailureWindow.
func (p *placer) prune(st *state.State, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	notPending := func(id string) bool {
		task := st.Task(id)
		return task == nil || task.Phase() != state.PhasePending
	}
	maps.DeleteFunc(p.waitingLoggedAt, func(id string, _ time.Time) bool { return notPending(id) })
	maps.DeleteFunc(p.refusals, func(id string, _ []refusal) bool { return notPending(id) })
	maps.DeleteFunc(p.startFailures, func(_ string, times []time.Time) bool {
		return now.Sub(times[len(times)-1]) > startFailureWindow
	})
}

// addRefusal keeps the task from being offered to the worker for refusalBackoff.
func (p *placer) addRefusal(task, worker string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refusals[task] = append(p.refusals[task], refusal{worker: worker, until: now.Add(refusalBackoff)})
}

// refusedBy returns the workers that refused the task within refusalBackoff.
func (p *placer) refusedBy(task string, now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var workers []string
	for _, r := range p.refusals[task] {
		if now.Before(r.until) {
			workers = append(workers, r.worker)
		}
	}
	return workers
}

func (p *placer) addStartFailure(worker string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.startFailures == nil {
		p.startFailures = map[string][]time.Time{}
	}
	p.startFailures[worker] = append(p.startFailures[worker], now)
}

func (p *placer) recentStartFailures(worker string, now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for _, failedAt := range p.startFailures[worker] {
		if now.Sub(failedAt) < startFailureWindow {
			count++
		}
	}
	return count
}

// workerSet returns every worker with a known guard as a placement candidate.
func (p *placer) workerSet(st *state.State, now time.Time) *placement.WorkerSet {
	guards := p.entry.view.Guards()
	workers := make([]*placement.Worker, 0, len(guards))
	for _, guard := range guards {
		workers = append(workers, p.newPlacementWorker(st, guard, now))
	}
	return placement.NewWorkerSet(workers)
}

// newPlacementWorker combines the guard's last report with the tasks that the state
// assigns to its worker.
func (p *placer) newPlacementWorker(st *state.State, guard *membership.Guard, now time.Time) *placement.Worker {
	load := guard.Load()
	worker := &placement.Worker{
		Name:          guard.Name(),
		Incarnation:   guard.Incarnation(),
		FailureDomain: guard.FailureDomain(),
		Rack:          guard.Rack(),
		Capacity:      resourcesOf(guard.Capacity()),
		UsedMilliCPU:  guard.Used().GetMilliCpu(),
		Latency:       time.Duration(load.GetLatencyNanos()),
		StartFailures: p.recentStartFailures(guard.Name(), now),
		BlockedBy:     p.blockedBy(st, guard, now),
	}
	if load.GetSlots() > 0 {
		worker.Load = float64(load.GetSlotsUsed()) / float64(load.GetSlots())
	}
	for _, task := range st.TasksOnWorker(guard.Name()) {
		requested := placement.ResourcesOf(task.Spec())
		worker.Committed.MilliCPU += requested.MilliCPU
		worker.Committed.MemoryBytes += requested.MemoryBytes
		worker.Committed.Accelerators += requested.Accelerators
		worker.Tasks++
	}
	return worker
}

func resourcesOf(resources *wire.Resources) placement.Resources {
	return placement.Resources{
		MilliCPU:     resources.GetMilliCpu(),
		MemoryBytes:  resources.GetMemoryBytes(),
		Accelerators: resources.GetAccelerators(),
	}
}

// blockedBy returns the constraint that keeps every task off the worker, or "" if
// there is none.
func (p *placer) blockedBy(st *state.State, guard *membership.Guard, now time.Time) placement.Constraint {
	switch {
	case st.ActiveSuspicion(guard.Name()) != 0 || p.entry.view.HasTimedOut(guard, now):
		return placement.Suspected
	case st.IsDraining(guard.Name()):
		return placement.Draining
	case !guard.IsReady():
		return placement.NotReady
	case p.recentStartFailures(guard.Name(), now) >= maxStartFailures:
		return placement.Recovering
	}
	return ""
}
