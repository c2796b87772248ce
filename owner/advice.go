package owner

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/incarnation"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/platform"
)

const (
	// maxAdviceWorkers bounds the workers named in one request: each worker adds to the
	// response time, and a step needs only a few.
	maxAdviceWorkers = 30
	// adviceTimeoutMargin is added to the response time of the service that the job's submission states.
	adviceTimeoutMargin = 2 * time.Second
	// ticketExpiryMargin is the validity that a ticket must have left when a start is
	// decided, so that it is still valid when the start order arrives.
	ticketExpiryMargin = 300 * time.Millisecond
	// adviceRetryInterval is the minimum time between two requests for the same step, for
	// the case that no worker in the previous answer had free resources.
	adviceRetryInterval = 500 * time.Millisecond
	// adviceRetention is how long a step is kept after its last request. It is far longer
	// than any ticket is valid.
	adviceRetention = 5 * time.Minute
)

// stepAdvice holds the tickets obtained for a step, one for each worker that may run it.
type stepAdvice struct {
	timing    *job.Advice
	service   string
	tickets   map[incarnation.ID]ticket // by worker incarnation; a ticket is not valid for a later one
	queried   map[incarnation.ID]bool   // workers that the answers so far were about
	expiresAt time.Time                 // when the last of the tickets expires
	queriedAt time.Time
	pending   bool // a request is queued or in flight
}

// ticket permits tasks of a step to start on one incarnation of a worker until it expires.
type ticket struct {
	token     string
	expiresAt time.Time
}

// adviceQueue requests advice one step at a time, because the service handles one call at a
// time from each machine.
type adviceQueue struct {
	steps    map[string]*stepAdvice
	queue    []string // names of the steps to request advice for
	inFlight bool     // a request has been sent and not been answered yet
}

// stepName returns the name by which the service knows the step of a task.
func stepName(task *job.Task) string {
	return fmt.Sprintf("%s.%d.%d", task.Job().ID(), task.Round(), task.Step())
}

// ticketFor returns the ticket for starting a task on a worker, and whether the worker may run
// the task. A job that does not use advice may run on every worker, without a ticket.
func (owner *Owner) ticketFor(task *job.Task, worker incarnation.ID, now time.Time) (string, bool) {
	if task.Job().Submission().GetAdvice() == nil {
		return "", true
	}
	step, found := owner.advice.steps[stepName(task)]
	if !found {
		return "", false
	}
	issued, ok := step.tickets[worker]
	if !ok || now.After(issued.expiresAt.Add(-ticketExpiryMargin)) {
		return "", false
	}
	return issued.token, true
}

// enqueueAdvice queues a request for the step of a task that could not be placed.
func (owner *Owner) enqueueAdvice(task *job.Task, now time.Time) {
	if task.Job().Submission().GetAdvice() == nil || owner.options.Advisor == nil {
		return
	}
	name := stepName(task)
	step, found := owner.advice.steps[name]
	if !found {
		step = &stepAdvice{timing: task.Job().Submission().GetAdvice(), service: task.Job().Submission().GetService()}
		owner.advice.steps[name] = step
	}
	if step.pending || now.Sub(step.queriedAt) < adviceRetryInterval {
		return
	}
	step.pending = true
	owner.advice.queue = append(owner.advice.queue, name)
	owner.requestNextAdvice(now)
}

// requestNextAdvice sends the next request in the queue, unless one is in flight. Requests that
// name no worker are skipped.
func (owner *Owner) requestNextAdvice(now time.Time) {
	for !owner.advice.inFlight && len(owner.advice.queue) > 0 {
		name := owner.advice.queue[0]
		owner.advice.queue = owner.advice.queue[1:]
		// The step is gone if a worker refused its ticket while the request waited. It
		// is queued again when one of its tasks cannot be placed.
		if step, found := owner.advice.steps[name]; found {
			owner.requestAdvice(name, step, now)
		}
	}
}

// requestAdvice asks the service which workers may run a step. If all workers have been asked
// about, it sends nothing and lets the next request begin with all of them again.
func (owner *Owner) requestAdvice(name string, step *stepAdvice, now time.Time) {
	workers := owner.workersToQuery(step)
	step.queriedAt = now
	if len(workers) == 0 {
		step.pending = false
		step.queried = nil
		return
	}
	owner.advice.inFlight = true
	timeout := step.expectedDuration(len(workers)) + adviceTimeoutMargin
	go func() {
		ctx, cancel := context.WithTimeout(owner.ctx, timeout)
		defer cancel()
		advice, err := owner.options.Advisor.Advise(ctx, name, workerIDs(workers))
		owner.eventLoop.Post(func(now time.Time) {
			owner.advice.inFlight = false
			step.pending = false
			owner.handleAdvice(name, step, workers, advice, err, now)
			owner.requestNextAdvice(now)
		})
	}()
}

// workerIDs returns the IDs by which the service knows the workers.
func workerIDs(workers []incarnation.ID) []string {
	ids := make([]string, 0, len(workers))
	for _, worker := range workers {
		ids = append(ids, worker.WorkerID())
	}
	return ids
}

// expectedDuration returns the response time, as the job's submission states it, of a request about so
// many workers.
func (step *stepAdvice) expectedDuration(workers int) time.Duration {
	return time.Duration(step.timing.GetDecideMs()+step.timing.GetEachMs()*int64(workers)) * time.Millisecond
}

// expireAdvice removes the steps that advice has not been requested for recently.
func (owner *Owner) expireAdvice(now time.Time) {
	for name, step := range owner.advice.steps {
		if !step.pending && now.Sub(step.queriedAt) > adviceRetention && now.After(step.expiresAt) {
			delete(owner.advice.steps, name)
		}
	}
}

// workersToQuery returns up to maxAdviceWorkers workers of the service that have not been asked
// about yet.
func (owner *Owner) workersToQuery(step *stepAdvice) []incarnation.ID {
	var workers []incarnation.ID
	for _, view := range owner.agents {
		status := view.status()
		if view.conn == nil || !status.GetReady() || status.GetDraining() || status.GetService() != step.service || step.queried[view.incarnation()] {
			continue
		}
		workers = append(workers, view.incarnation())
		if len(workers) == maxAdviceWorkers {
			break
		}
	}
	return workers
}

// handleAdvice stores the tickets of an answer. It discards the earlier ones once all of them have
// expired or all workers have been asked about, so that each worker may be asked about again.
func (owner *Owner) handleAdvice(name string, step *stepAdvice, workers []incarnation.ID, advice platform.Advice, err error, now time.Time) {
	if err != nil {
		owner.log(event.AdviceFailed, slog.String("step", name), slog.Any("error", err))
		return
	}
	if step.queried == nil || now.After(step.expiresAt) {
		step.queried, step.tickets = map[incarnation.ID]bool{}, map[incarnation.ID]ticket{}
	}
	step.expiresAt = now.Add(advice.ValidFor)
	for _, worker := range workers {
		step.queried[worker] = true
		if token, found := advice.Tickets[worker.WorkerID()]; found {
			step.tickets[worker] = ticket{token: token, expiresAt: step.expiresAt}
		}
	}
	owner.placementChanges.addAll()
	owner.log(event.AdviceTaken, slog.String("step", name), slog.Int("asked", len(workers)),
		slog.Int("good", len(advice.Tickets)), slog.Duration("valid", advice.ValidFor))
}

// dropAdvice removes all tickets of a step after a worker has refused one.
func (owner *Owner) dropAdvice(task *job.Task) {
	delete(owner.advice.steps, stepName(task))
}
