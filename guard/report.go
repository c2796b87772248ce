package guard

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/instances"
	"ambertiller.example/ambertiller/wire"
	"ambertiller.example/ambertiller/worker"
)

// pollLoop polls the worker once per workerPollInterval until ctx is done.
func (guard *Guard) pollLoop(ctx context.Context) {
	ticker := guard.options.Clock.NewTicker(workerPollInterval)
	defer ticker.Stop()
	for {
		if err := guard.PollWorker(ctx); err != nil {
			guard.options.Events.Log(ctx, event.WorkerUnreachable, attrError(err))
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

// PollWorker reads the attempts on the worker and its resource usage once. Until the attempts
// have been adopted, it adopts them instead.
func (guard *Guard) PollWorker(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	guard.mu.Lock()
	ready := guard.ready
	guard.mu.Unlock()
	if !ready {
		return guard.AdoptTasks(ctx)
	}
	listing, err := guard.options.Worker.Tasks(ctx)
	if err != nil {
		return err
	}
	usage, err := guard.options.Worker.Usage(ctx)
	if err != nil {
		return err
	}
	if guard.applyWorkerState(ctx, listing, usage) {
		guard.triggerReport()
	}
	return nil
}

// applyWorkerState stores what a poll returned, adopts attempts that the guard doesn't know,
// and releases the resources of those that have ended. It reports whether any has ended.
func (guard *Guard) applyWorkerState(ctx context.Context, listing worker.Listing, usage worker.Usage) bool {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	guard.workerUsage = usage
	guard.workerUptime = listing.Uptime
	anyEnded := false
	for _, task := range listing.Tasks {
		current, found := guard.attempts[task.Task]
		if !found {
			guard.adoptTask(ctx, task)
			continue
		}
		if current.number != task.Attempt || current.hasEnded() || current.starting {
			continue
		}
		current.update(task)
		if current.hasEnded() {
			anyEnded = true
			guard.gate.ReleaseTask(task.Task)
			if current.phase == wire.TaskPhase_TASK_LAPSED {
				guard.options.Events.Log(ctx, event.LeaseLapsed, attrTask(task.Task), attrAttempt(task.Attempt))
			}
			guard.options.Events.Log(ctx, event.TaskEnded, attrTask(task.Task), attrAttempt(task.Attempt), attrReason(task.Reason))
		}
	}
	return anyEnded
}

// reportLoop reports to all entries once per reportInterval, and immediately after a call of
// triggerReport, until ctx is done.
func (guard *Guard) reportLoop(ctx context.Context) {
	ticker := guard.options.Clock.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		guard.ReportAll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-guard.reportTrigger:
		case <-ticker.Chan():
		}
	}
}

// refreshLoop reads the instance list once per instancesInterval until ctx is done.
func (guard *Guard) refreshLoop(ctx context.Context) {
	ticker := guard.options.Clock.NewTicker(instancesInterval)
	defer ticker.Stop()
	for {
		guard.RefreshInstances(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

// RefreshInstances reads the entries from the instance list. If the list can't be read, the
// guard keeps the entries that it knows.
func (guard *Guard) RefreshInstances(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entries, err := guard.options.Instances.List(ctx, instances.Entry)
	if err != nil {
		return
	}
	guard.mu.Lock()
	wasEmpty := len(guard.entries) == 0
	guard.entries = entries
	guard.mu.Unlock()
	if wasEmpty {
		guard.triggerReport()
	}
}

// ReportAll reports to all entries concurrently and waits until the calls have ended.
func (guard *Guard) ReportAll(ctx context.Context) {
	guard.mu.Lock()
	entries := slices.Clone(guard.entries)
	guard.mu.Unlock()
	var wg sync.WaitGroup
	for _, entry := range entries {
		wg.Go(func() { guard.ReportTo(ctx, entry) })
	}
	wg.Wait()
}

// ReportTo reports the guard's load and attempts to one entry and applies the documents and
// grants in the reply.
func (guard *Guard) ReportTo(ctx context.Context, entry instances.Instance) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := wire.NewDRPCEntryClient(guard.options.Pool.Conn(entry.Address))
	report, workerUptime := guard.newReport(guard.options.Clock.Now())
	reply, err := client.Report(ctx, report)
	if err != nil {
		guard.options.Events.Log(ctx, event.ReportFailed, slog.String("entry", entry.Name), attrError(err))
		return
	}
	guard.applyDocuments(ctx, reply.GetDocuments())
	guard.applyGrants(ctx, reply.GetGrants(), workerUptime)
}

// newReport returns a report, and the worker's uptime from which to count the leases that the
// reply grants. That uptime was read before the leases are granted, so a lease may end too
// early but not too late, however long the reply takes.
func (guard *Guard) newReport(now time.Time) (*wire.ReportRequest, time.Duration) {
	usage := guard.gate.Usage()
	capacity := guard.gate.Capacity()
	guard.mu.Lock()
	defer guard.mu.Unlock()
	report := &wire.ReportRequest{
		Worker:        guard.options.Name,
		Incarnation:   guard.incarnation,
		UptimeNanos:   guard.leaseHolder.ReportUptime(guard.uptime(now)).Nanoseconds(),
		FailureDomain: guard.options.FailureDomain,
		Rack:          guard.workerCapacity.Rack,
		Service:       guard.options.Service,
		Address:       guard.options.Address,
		Leaving:       guard.gate.Leaving(),
		Ready:         guard.ready,
		Capacity:      &wire.Resources{MilliCpu: capacity.MilliCPU, MemoryBytes: capacity.MemoryBytes, Accelerators: capacity.Accelerators},
		Used:          &wire.Resources{MilliCpu: guard.workerUsage.MilliCPU, MemoryBytes: guard.workerUsage.MemoryBytes, Accelerators: usage.Resources.Accelerators},
		Load:          guard.currentLoad(),
		Documents:     wire.EncodeVersions(guard.documents.Versions()),
	}
	for _, taskID := range slices.Sorted(maps.Keys(guard.attempts)) {
		current := guard.attempts[taskID]
		report.Tasks = append(report.Tasks, &wire.TaskReport{
			Task:       taskID,
			Attempt:    current.number,
			Phase:      current.phase,
			Reason:     current.reason,
			Result:     current.result,
			Checkpoint: current.checkpoint,
		})
	}
	return report, guard.workerUptime
}

// applyGrants applies an entry's decisions about the reported attempts: it renews leases,
// stops attempts that are no longer current, and forgets those whose end is recorded in the
// log. The leases are counted from workerUptime.
func (guard *Guard) applyGrants(ctx context.Context, grants []*wire.TaskGrant, workerUptime time.Duration) {
	var renewals []worker.Renewal
	for _, grant := range grants {
		if grant.GetRecorded() {
			guard.forgetAttempt(ctx, grant)
		}
		if grant.GetStop() {
			guard.stopOrphan(ctx, grant)
		}
		if grant.GetLeaseNanos() > 0 {
			renewals = append(renewals, worker.Renewal{
				Task:     grant.GetTask(),
				Attempt:  grant.GetAttempt(),
				LeaseEnd: workerUptime + time.Duration(grant.GetLeaseNanos()),
			})
		}
	}
	if len(renewals) == 0 {
		return
	}
	if err := guard.options.Worker.Renew(ctx, renewals); err != nil {
		guard.options.Events.Log(ctx, event.WorkerUnreachable, attrError(err))
	}
}

// forgetAttempt removes an ended attempt, whose end is recorded in the log, from the worker
// and from the guard.
func (guard *Guard) forgetAttempt(ctx context.Context, grant *wire.TaskGrant) {
	guard.mu.Lock()
	current := guard.attempts[grant.GetTask()]
	hasEnded := current != nil && current.number == grant.GetAttempt() && current.hasEnded()
	guard.mu.Unlock()
	if !hasEnded {
		return
	}
	if err := guard.options.Worker.Forget(ctx, grant.GetTask(), grant.GetAttempt()); err != nil {
		guard.options.Events.Log(ctx, event.WorkerUnreachable, attrError(err))
		return
	}
	guard.mu.Lock()
	defer guard.mu.Unlock()
	guard.removeAttempt(grant.GetTask())
}

// stopOrphan stops a running attempt that is no longer the current one of its task.
func (guard *Guard) stopOrphan(ctx context.Context, grant *wire.TaskGrant) {
	guard.mu.Lock()
	current := guard.attempts[grant.GetTask()]
	isRunning := current != nil && current.number == grant.GetAttempt() && current.phase == wire.TaskPhase_TASK_RUNNING
	guard.mu.Unlock()
	if !isRunning {
		return
	}
	guard.options.Events.Log(ctx, event.TaskOrphanStopped, attrTask(grant.GetTask()), attrAttempt(grant.GetAttempt()))
	if _, err := guard.Stop(ctx, &wire.StopRequest{Task: grant.GetTask(), Attempt: grant.GetAttempt(), Reason: "orphan"}); err != nil {
		guard.options.Events.Log(ctx, event.WorkerUnreachable, attrError(err))
	}
}

// Documents returns the documents of which the entry has no copy or an older one, for example
// because it started while the log was down. It implements the Documents method of the DRPC
// service Guard.
func (guard *Guard) Documents(_ context.Context, request *wire.DocumentsRequest) (*wire.DocumentsReply, error) {
	return &wire.DocumentsReply{
		Documents: wire.EncodeCopies(guard.documents.NewerThan(wire.DecodeVersions(request.GetHave()))),
		InForce:   wire.EncodeVersions(guard.documents.Versions()),
	}, nil
}
