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
	// offerTime is how long a guard has to take an offer up, on its own clock.
	offerTime = 10 * time.Second
	// refusalBackoff is how long a worker that refused a task is not asked again
	// for the same task.
	refusalBackoff = 5 * time.Second
	// maxAssignmentsPerRound bounds the assignments that share one append.
	maxAssignmentsPerRound = 64
	// startFailureWindow and maxStartFailures keep a worker that fails what it
	// starts from looking empty and so attracting more.
	startFailureWindow = 30 * time.Second
	maxStartFailures   = 3
	waitingLogInterval = 10 * time.Second
)

// refusal is a worker's refusal of a task.
type refusal struct {
	worker string
	until  time.Time
}

// placer assigns pending tasks to workers.
type placer struct {
	entry        *Entry
	policyRunner *policy.Runner

	mu              sync.Mutex
	refusals        map[string][]refusal // by task
	startFailures   map[string][]time.Time
	waitingLoggedAt map[string]time.Time
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

// PlacePending makes one round of placements.
func (entry *Entry) PlacePending(ctx context.Context, now time.Time) { entry.placer.runRound(ctx, now) }

// assignment is one proposed placement.
type assignment struct {
	assign   *record.TaskAssign
	spec     *record.TaskSpec
	attempt  uint64
	address  string
	decision *placement.Decision
}

// runRound places as many pending tasks as there is room for.
func (placing *placer) runRound(ctx context.Context, now time.Time) {
	entry := placing.entry
	if !entry.isLogFresh(now) || entry.documents.Config() == nil || entry.shuttingDown.Load() {
		return
	}
	assignments := placing.decide(ctx, now)
	if len(assignments) == 0 {
		return
	}
	records := make([]*record.Record, 0, len(assignments))
	for _, each := range assignments {
		rec := changelog.NewRecord(now)
		rec.Body = &record.Record_TaskAssign{TaskAssign: each.assign}
		records = append(records, rec)
	}
	appendCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	outcomes, err := entry.journal.Append(appendCtx, records...)
	if err != nil {
		// An assignment that takes effect late is found in the state and
		// released there once its offer has ended unused.
		return
	}
	for index, each := range assignments {
		placing.handleOutcome(ctx, each, outcomes[index])
	}
}

// decide makes the decisions of one round from the present state.
func (placing *placer) decide(ctx context.Context, now time.Time) []*assignment {
	entry := placing.entry
	settings := entry.documents.Config()
	policies := entry.policies()
	var assignments []*assignment
	entry.journal.View(func(folded *state.State) {
		if folded.PendingCount() == 0 {
			return
		}
		board := placing.workerSet(folded, now)
		usage := newTeamUsage(folded)
		for _, task := range sortByShare(folded.Pending(), usage, settings) {
			if len(assignments) == maxAssignmentsPerRound {
				return
			}
			if !entry.isResponsibleFor(task.ID(), now) {
				continue
			}
			decision := placing.decideTask(board, usage, settings, policies, task, now)
			if !decision.IsPlaced() {
				placing.logWaiting(ctx, task, decision, now)
				continue
			}
			chosen := board.Worker(decision.Worker())
			board.Reserve(decision.Worker(), task.Spec())
			usage.add(task.Spec())
			assignments = append(assignments, newAssignment(entry.view.Guard(chosen.Name), task, decision, entry.leaseForKind(task.Spec().GetKind()), now))
		}
	})
	return assignments
}

func (placing *placer) decideTask(board *placement.WorkerSet, usage usageByTeam, settings *config.Config, policies placement.Policies, task *state.Task, now time.Time) *placement.Decision {
	if usage.exceedsQuota(settings, task.Spec()) {
		return board.RejectAll(policies, placement.OverQuota)
	}
	return board.Decide(placing.policyRunner, policies, placing.newPlacementTask(settings, task, now))
}

func (placing *placer) newPlacementTask(settings *config.Config, task *state.Task, now time.Time) *placement.Task {
	kind, _ := settings.Kind(task.Spec().GetKind())
	return &placement.Task{
		ID:        task.ID(),
		Spec:      task.Spec(),
		Class:     string(kind.Class()),
		Attempts:  task.Attempt(),
		Waited:    max(0, now.Sub(task.CreatedAt())),
		RefusedBy: placing.refusedBy(task.ID(), now),
	}
}

func newAssignment(guard *membership.Guard, task *state.Task, decision *placement.Decision, lease time.Duration, now time.Time) *assignment {
	// The guard's clock has moved on since it was heard; counting that in
	// keeps an offer from ending early, and never lets it end late.
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

// handleOutcome acts on the log's verdict on one assignment.
func (placing *placer) handleOutcome(ctx context.Context, each *assignment, outcome state.Outcome) {
	entry := placing.entry
	if !outcome.IsAccepted() {
		entry.metrics.countDecision(ctx, "lost")
		entry.options.Events.Log(ctx, event.PlacementLost, slog.String("task", each.assign.GetTask()), slog.String("reason", string(outcome.Reason())))
		return
	}
	entry.metrics.countDecision(ctx, "placed")
	logPlacement(ctx, entry.options.Events, each)
	entry.background.Go(func() { entry.offerAttempt(ctx, each.assign.GetTask(), each.attempt) })
}

func logPlacement(ctx context.Context, events *event.Logger, each *assignment) {
	second, secondScore := each.decision.RunnerUp()
	attributes := []slog.Attr{
		slog.String("task", each.assign.GetTask()),
		slog.Uint64("attempt", each.attempt),
		slog.String("worker", each.assign.GetWorker()),
		slog.Float64("score", each.decision.Score()),
		slog.String("second", second),
		slog.Float64("second_score", secondScore),
		slog.String("policy", each.decision.Policy()),
		slog.Int("workers", each.decision.WorkerCount()),
		rejectedAttr(each.decision),
	}
	if failure := each.decision.PolicyError(); failure != nil {
		events.Log(ctx, event.PolicyFellBack, slog.String("task", each.assign.GetTask()), slog.String("error", failure.Error()))
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

// logWaiting says why a task waits, now and then.
func (placing *placer) logWaiting(ctx context.Context, task *state.Task, decision *placement.Decision, now time.Time) {
	placing.mu.Lock()
	if placing.waitingLoggedAt == nil {
		placing.waitingLoggedAt = map[string]time.Time{}
	}
	due := now.Sub(placing.waitingLoggedAt[task.ID()]) >= waitingLogInterval
	if due {
		placing.waitingLoggedAt[task.ID()] = now
	}
	placing.mu.Unlock()
	if due {
		placing.entry.options.Events.Log(ctx, event.TaskWaiting, slog.String("task", task.ID()), slog.Int("workers", decision.WorkerCount()), rejectedAttr(decision))
	}
}

// prune drops what was kept about tasks that are no longer pending.
func (placing *placer) prune(folded *state.State, now time.Time) {
	placing.mu.Lock()
	defer placing.mu.Unlock()
	gone := func(id string) bool {
		task := folded.Task(id)
		return task == nil || task.Phase() != state.PhasePending
	}
	maps.DeleteFunc(placing.waitingLoggedAt, func(id string, _ time.Time) bool { return gone(id) })
	maps.DeleteFunc(placing.refusals, func(id string, _ []refusal) bool { return gone(id) })
	maps.DeleteFunc(placing.startFailures, func(_ string, times []time.Time) bool {
		return now.Sub(times[len(times)-1]) > startFailureWindow
	})
}

func (placing *placer) addRefusal(task, worker string, now time.Time) {
	placing.mu.Lock()
	defer placing.mu.Unlock()
	placing.refusals[task] = append(placing.refusals[task], refusal{worker: worker, until: now.Add(refusalBackoff)})
}

func (placing *placer) refusedBy(task string, now time.Time) []string {
	placing.mu.Lock()
	defer placing.mu.Unlock()
	var workers []string
	for _, each := range placing.refusals[task] {
		if now.Before(each.until) {
			workers = append(workers, each.worker)
		}
	}
	return workers
}

func (placing *placer) addStartFailure(worker string, now time.Time) {
	placing.mu.Lock()
	defer placing.mu.Unlock()
	if placing.startFailures == nil {
		placing.startFailures = map[string][]time.Time{}
	}
	placing.startFailures[worker] = append(placing.startFailures[worker], now)
}

func (placing *placer) recentStartFailures(worker string, now time.Time) int {
	placing.mu.Lock()
	defer placing.mu.Unlock()
	count := 0
	for _, failedAt := range placing.startFailures[worker] {
		if now.Sub(failedAt) < startFailureWindow {
			count++
		}
	}
	return count
}

// workerSet lays out what is known of every worker.
func (placing *placer) workerSet(folded *state.State, now time.Time) *placement.WorkerSet {
	guards := placing.entry.view.Guards()
	workers := make([]*placement.Worker, 0, len(guards))
	for _, guard := range guards {
		workers = append(workers, placing.newPlacementWorker(folded, guard, now))
	}
	return placement.NewWorkerSet(workers)
}

func (placing *placer) newPlacementWorker(folded *state.State, guard *membership.Guard, now time.Time) *placement.Worker {
	load := guard.Load()
	made := &placement.Worker{
		Name:          guard.Name(),
		Incarnation:   guard.Incarnation(),
		FailureDomain: guard.FailureDomain(),
		Rack:          guard.Rack(),
		Capacity:      resourcesOf(guard.Capacity()),
		UsedMilliCPU:  guard.Used().GetMilliCpu(),
		Latency:       time.Duration(load.GetLatencyNanos()),
		StartFailures: placing.recentStartFailures(guard.Name(), now),
		BlockedBy:     placing.blockedBy(folded, guard, now),
	}
	if load.GetSlots() > 0 {
		made.Load = float64(load.GetSlotsUsed()) / float64(load.GetSlots())
	}
	for _, task := range folded.TasksOnWorker(guard.Name()) {
		asked := placement.ResourcesOf(task.Spec())
		made.Committed.MilliCPU += asked.MilliCPU
		made.Committed.MemoryBytes += asked.MemoryBytes
		made.Committed.Accelerators += asked.Accelerators
		made.Tasks++
	}
	return made
}

func resourcesOf(resources *wire.Resources) placement.Resources {
	return placement.Resources{
		MilliCPU:     resources.GetMilliCpu(),
		MemoryBytes:  resources.GetMemoryBytes(),
		Accelerators: resources.GetAccelerators(),
	}
}

// blockedBy returns why a worker takes no tasks at all now, empty when it does.
func (placing *placer) blockedBy(folded *state.State, guard *membership.Guard, now time.Time) placement.Constraint {
	switch {
	case folded.ActiveSuspicion(guard.Name()) != 0 || placing.entry.view.HasTimedOut(guard, now):
		return placement.Suspected
	case folded.IsDraining(guard.Name()):
		return placement.Draining
	case !guard.IsReady():
		return placement.NotReady
	case placing.recentStartFailures(guard.Name(), now) >= maxStartFailures:
		return placement.Recovering
	}
	return ""
}
