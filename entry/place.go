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
	// refusalTime is how long a worker that refused a task is not asked again
	// for the same task.
	refusalTime = 5 * time.Second
	// mostPerRound bounds the assignments that share one append.
	mostPerRound = 64
	// recoverTime and mostStartFailures keep a worker that fails what it
	// starts from looking empty and so attracting more.
	recoverTime       = 30 * time.Second
	mostStartFailures = 3
	waitingLogEvery   = 10 * time.Second
)

// refusal is a worker's refusal of a task.
type refusal struct {
	worker string
	until  time.Time
}

// placer assigns pending tasks to workers.
type placer struct {
	entry  *Entry
	runner *policy.Runner

	mu            sync.Mutex
	refusals      map[string][]refusal // by task
	startFailures map[string][]time.Time
	waitingLogged map[string]time.Time
}

func (entry *Entry) placeLoop(ctx context.Context) {
	ticker := entry.options.Clock.NewTicker(placeInterval)
	defer ticker.Stop()
	for {
		entry.Place(ctx, entry.now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

// Place makes one round of placements.
func (entry *Entry) Place(ctx context.Context, now time.Time) { entry.placer.round(ctx, now) }

// assignment is one proposed placement.
type assignment struct {
	task     *record.TaskAssign
	spec     *record.TaskSpec
	attempt  uint64
	address  string
	decision *placement.Decision
}

// round places as many pending tasks as there is room for.
func (placing *placer) round(ctx context.Context, now time.Time) {
	entry := placing.entry
	if !entry.logUp(now) || entry.shelf.Config() == nil || entry.leaving.Load() {
		return
	}
	assignments := placing.decide(ctx, now)
	if len(assignments) == 0 {
		return
	}
	records := make([]*record.Record, 0, len(assignments))
	for _, each := range assignments {
		rec := changelog.NewRecord(now)
		rec.Body = &record.Record_TaskAssign{TaskAssign: each.task}
		records = append(records, rec)
	}
	appendCtx, cancel := context.WithTimeout(ctx, appendWait)
	defer cancel()
	outcomes, err := entry.log.Append(appendCtx, records...)
	if err != nil {
		// An assignment that takes effect late is found in the state and
		// released there once its offer has ended unused.
		return
	}
	for index, each := range assignments {
		placing.settle(ctx, each, outcomes[index])
	}
}

// decide makes the decisions of one round from the present state.
func (placing *placer) decide(ctx context.Context, now time.Time) []*assignment {
	entry := placing.entry
	settings := entry.shelf.Config()
	policies := entry.policies()
	var assignments []*assignment
	entry.log.View(func(folded *state.State) {
		if folded.PendingCount() == 0 {
			return
		}
		board := placing.board(folded, now)
		usage := teamUsage(folded)
		for _, task := range byShare(folded.Pending(), usage, settings) {
			if len(assignments) == mostPerRound {
				return
			}
			if !entry.owns(task.ID(), now) {
				continue
			}
			decision := placing.decideOne(board, usage, settings, policies, task, now)
			if !decision.IsPlaced() {
				placing.logWaiting(ctx, task, decision, now)
				continue
			}
			chosen := board.Worker(decision.Worker())
			board.Reserve(decision.Worker(), task.Spec())
			usage.add(task.Spec())
			assignments = append(assignments, assignmentOf(entry.view.Guard(chosen.Name), task, decision, entry.leaseOf(task.Spec().GetKind()), now))
		}
	})
	return assignments
}

func (placing *placer) decideOne(board *placement.WorkerSet, usage teamUse, settings *config.Config, policies placement.Policies, task *state.Task, now time.Time) *placement.Decision {
	if usage.over(settings, task.Spec()) {
		return board.RejectAll(policies, placement.OverQuota)
	}
	return board.Decide(placing.runner, policies, placing.taskOf(settings, task, now))
}

func (placing *placer) taskOf(settings *config.Config, task *state.Task, now time.Time) *placement.Task {
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

func assignmentOf(guard *membership.Guard, task *state.Task, decision *placement.Decision, lease time.Duration, now time.Time) *assignment {
	// The guard's clock has moved on since it was heard; counting that in
	// keeps an offer from ending early, and never lets it end late.
	uptime := guard.Uptime() + now.Sub(guard.HeardAt())
	return &assignment{
		task: &record.TaskAssign{
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

// settle acts on the log's verdict on one assignment.
func (placing *placer) settle(ctx context.Context, each *assignment, outcome state.Outcome) {
	entry := placing.entry
	if !outcome.Accepted() {
		entry.metrics.decided(ctx, "lost")
		entry.options.Events.Log(ctx, event.PlacementLost, slog.String("task", each.task.GetTask()), slog.String("reason", string(outcome.Reason())))
		return
	}
	entry.metrics.decided(ctx, "placed")
	logPlaced(ctx, entry.options.Events, each)
	entry.background.Go(func() { entry.start(ctx, each.task.GetTask(), each.attempt) })
}

func logPlaced(ctx context.Context, events *event.Logger, each *assignment) {
	second, secondScore := each.decision.RunnerUp()
	attributes := []slog.Attr{
		slog.String("task", each.task.GetTask()),
		slog.Uint64("attempt", each.attempt),
		slog.String("worker", each.task.GetWorker()),
		slog.Float64("score", each.decision.Score()),
		slog.String("second", second),
		slog.Float64("second_score", secondScore),
		slog.String("policy", each.decision.Policy()),
		slog.Int("workers", each.decision.WorkerCount()),
		rejectedAttr(each.decision),
	}
	if failure := each.decision.PolicyError(); failure != nil {
		events.Log(ctx, event.PolicyFellBack, slog.String("task", each.task.GetTask()), slog.String("error", failure.Error()))
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
	if placing.waitingLogged == nil {
		placing.waitingLogged = map[string]time.Time{}
	}
	due := now.Sub(placing.waitingLogged[task.ID()]) >= waitingLogEvery
	if due {
		placing.waitingLogged[task.ID()] = now
	}
	placing.mu.Unlock()
	if due {
		placing.entry.options.Events.Log(ctx, event.TaskWaiting, slog.String("task", task.ID()), slog.Int("workers", decision.WorkerCount()), rejectedAttr(decision))
	}
}

// forget drops what was kept about tasks that are no longer pending.
func (placing *placer) forget(folded *state.State, now time.Time) {
	placing.mu.Lock()
	defer placing.mu.Unlock()
	gone := func(id string) bool {
		task := folded.Task(id)
		return task == nil || task.Phase() != state.PhasePending
	}
	maps.DeleteFunc(placing.waitingLogged, func(id string, _ time.Time) bool { return gone(id) })
	maps.DeleteFunc(placing.refusals, func(id string, _ []refusal) bool { return gone(id) })
	maps.DeleteFunc(placing.startFailures, func(_ string, times []time.Time) bool {
		return now.Sub(times[len(times)-1]) > recoverTime
	})
}

func (placing *placer) refused(task, worker string, now time.Time) {
	placing.mu.Lock()
	defer placing.mu.Unlock()
	placing.refusals[task] = append(placing.refusals[task], refusal{worker: worker, until: now.Add(refusalTime)})
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

func (placing *placer) startFailed(worker string, now time.Time) {
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
		if now.Sub(failedAt) < recoverTime {
			count++
		}
	}
	return count
}

// board lays out what is known of every worker.
func (placing *placer) board(folded *state.State, now time.Time) *placement.WorkerSet {
	guards := placing.entry.view.Guards()
	workers := make([]*placement.Worker, 0, len(guards))
	for _, guard := range guards {
		workers = append(workers, placing.workerOf(folded, guard, now))
	}
	return placement.NewWorkerSet(workers)
}

func (placing *placer) workerOf(folded *state.State, guard *membership.Guard, now time.Time) *placement.Worker {
	load := guard.Load()
	made := &placement.Worker{
		Name:          guard.Name(),
		Incarnation:   guard.Incarnation(),
		FailureDomain: guard.FailureDomain(),
		Rack:          guard.Rack(),
		Capacity:      amountOf(guard.Capacity()),
		UsedMilliCPU:  guard.Used().GetMilliCpu(),
		Latency:       time.Duration(load.GetLatencyNanos()),
		StartFailures: placing.recentStartFailures(guard.Name(), now),
		BlockedBy:     placing.blocked(folded, guard, now),
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

func amountOf(resources *wire.Resources) placement.Resources {
	return placement.Resources{
		MilliCPU:     resources.GetMilliCpu(),
		MemoryBytes:  resources.GetMemoryBytes(),
		Accelerators: resources.GetAccelerators(),
	}
}

// blocked returns why a worker takes no tasks at all now, empty when it does.
func (placing *placer) blocked(folded *state.State, guard *membership.Guard, now time.Time) placement.Constraint {
	switch {
	case folded.ActiveSuspicion(guard.Name()) != 0 || placing.entry.view.Silent(guard, now):
		return placement.Suspected
	case folded.IsDraining(guard.Name()):
		return placement.Draining
	case !guard.Ready():
		return placement.NotReady
	case placing.recentStartFailures(guard.Name(), now) >= mostStartFailures:
		return placement.Recovering
	}
	return ""
}
