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

// pollLoop follows the worker.
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

// PollWorker reads the worker once. The first one adopts what it runs.
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

// applyWorkerState takes over what the worker says and reports whether an attempt ended.
func (guard *Guard) applyWorkerState(ctx context.Context, listing worker.Listing, usage worker.Usage) bool {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	guard.workerUsage = usage
	guard.workerUptime = listing.Uptime
	someEnded := false
	for _, task := range listing.Tasks {
		each, known := guard.attempts[task.Task]
		if !known {
			guard.adoptTask(ctx, task)
			continue
		}
		if each.number != task.Attempt || each.hasEnded() || each.starting {
			continue
		}
		each.update(task)
		if each.hasEnded() {
			someEnded = true
			guard.gate.ReleaseTask(task.Task)
			if each.phase == wire.TaskPhase_TASK_LAPSED {
				guard.options.Events.Log(ctx, event.LeaseLapsed, attrTask(task.Task), attrAttempt(task.Attempt))
			}
			guard.options.Events.Log(ctx, event.TaskEnded, attrTask(task.Task), attrAttempt(task.Attempt), attrReason(task.Reason))
		}
	}
	return someEnded
}

// reportLoop reports once a second, and at once when an attempt ends.
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

// RefreshInstances learns where the entries are. An unreadable list changes nothing.
func (guard *Guard) RefreshInstances(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entries, err := guard.options.Instances.List(ctx, instances.Entry)
	if err != nil {
		return
	}
	guard.mu.Lock()
	first := len(guard.entries) == 0
	guard.entries = entries
	guard.mu.Unlock()
	if first {
		guard.triggerReport()
	}
}

// ReportAll tells every entry what the guard carries.
func (guard *Guard) ReportAll(ctx context.Context) {
	guard.mu.Lock()
	entries := slices.Clone(guard.entries)
	guard.mu.Unlock()
	var calls sync.WaitGroup
	for _, entry := range entries {
		calls.Go(func() { guard.ReportTo(ctx, entry) })
	}
	calls.Wait()
}

// ReportTo tells one entry what the guard carries and follows its reply.
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

// newReport makes a report, and returns with it the reading of the worker's clock
// from which the leases granted in reply are counted: it is older than the
// grant, so a lease ends early rather than late, however long the reply takes.
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
	for _, task := range slices.Sorted(maps.Keys(guard.attempts)) {
		each := guard.attempts[task]
		report.Tasks = append(report.Tasks, &wire.TaskReport{
			Task:       task,
			Attempt:    each.number,
			Phase:      each.phase,
			Reason:     each.reason,
			Result:     each.result,
			Checkpoint: each.checkpoint,
		})
	}
	return report, guard.workerUptime
}

// applyGrants renews leases, stops what no entry stands behind any more, and
// forgets what the log has recorded.
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

// forgetAttempt drops an attempt whose end is in the log.
func (guard *Guard) forgetAttempt(ctx context.Context, grant *wire.TaskGrant) {
	guard.mu.Lock()
	each := guard.attempts[grant.GetTask()]
	due := each != nil && each.number == grant.GetAttempt() && each.hasEnded()
	guard.mu.Unlock()
	if !due {
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

func (guard *Guard) stopOrphan(ctx context.Context, grant *wire.TaskGrant) {
	guard.mu.Lock()
	each := guard.attempts[grant.GetTask()]
	due := each != nil && each.number == grant.GetAttempt() && each.phase == wire.TaskPhase_TASK_RUNNING
	guard.mu.Unlock()
	if !due {
		return
	}
	guard.options.Events.Log(ctx, event.TaskOrphanStopped, attrTask(grant.GetTask()), attrAttempt(grant.GetAttempt()))
	if _, err := guard.Stop(ctx, &wire.StopRequest{Task: grant.GetTask(), Attempt: grant.GetAttempt(), Reason: "orphan"}); err != nil {
		guard.options.Events.Log(ctx, event.WorkerUnreachable, attrError(err))
	}
}

// Documents answers an entry that lacks documents, as after a start with the
// log down. It implements the drpc service.
func (guard *Guard) Documents(_ context.Context, request *wire.DocumentsRequest) (*wire.DocumentsReply, error) {
	return &wire.DocumentsReply{
		Documents: wire.EncodeCopies(guard.documents.NewerThan(wire.DecodeVersions(request.GetHave()))),
		InForce:   wire.EncodeVersions(guard.documents.Versions()),
	}, nil
}
