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
	// maxAdviceWorkers bounds the workers of one question: each takes time, and a
	// step needs only some.
	maxAdviceWorkers = 30
	// adviceTimeoutMargin is added to the time that the service says it takes.
	adviceTimeoutMargin = 2 * time.Second
	// ticketExpiryMargin is left of a ticket's time for the order's way.
	ticketExpiryMargin = 300 * time.Millisecond
	// adviceRetryInterval keeps questions for a step apart whose answer named no
	// worker with room.
	adviceRetryInterval = 500 * time.Millisecond
	// adviceRetention is how long a step is remembered that no question was asked for: well
	// beyond any ticket's time.
	adviceRetention = 5 * time.Minute
)

// stepAdvice is what is known of the workers that may run a step.
type stepAdvice struct {
	timing    *job.Advice
	service   string
	tickets   map[incarnation.ID]ticket // of the workers that may run it: each holds for one life
	queried   map[incarnation.ID]bool   // the workers that the tickets' answers were about
	expiresAt time.Time                 // when the last of the tickets ends
	queriedAt time.Time
	pending   bool // a question is queued or on its way
}

// ticket lets tasks of a step start at one life of a worker until it ends.
type ticket struct {
	token     string
	expiresAt time.Time
}

// adviceQueue asks for advice, one question at a time, as the service takes them.
type adviceQueue struct {
	steps    map[string]*stepAdvice
	queue    []string // names of steps
	inFlight bool     // a question is on its way
}

// stepName names the step of a task in questions.
func stepName(task *job.Task) string {
	return fmt.Sprintf("%s.%d.%d", task.Job().ID(), task.Round(), task.Step())
}

// ticketFor returns the ticket for a start at a worker, and whether it may run the
// task at all. Without advice every worker may.
func (owner *Owner) ticketFor(task *job.Task, worker incarnation.ID, now time.Time) (string, bool) {
	if task.Job().Submission().GetAdvice() == nil {
		return "", true
	}
	known, found := owner.advice.steps[stepName(task)]
	if !found {
		return "", false
	}
	held, good := known.tickets[worker]
	if !good || now.After(held.expiresAt.Add(-ticketExpiryMargin)) {
		return "", false
	}
	return held.token, true
}

// enqueueAdvice queues a question for the step of a task that found no place.
func (owner *Owner) enqueueAdvice(task *job.Task, now time.Time) {
	if task.Job().Submission().GetAdvice() == nil || owner.options.Advisor == nil {
		return
	}
	name := stepName(task)
	known, found := owner.advice.steps[name]
	if !found {
		known = &stepAdvice{timing: task.Job().Submission().GetAdvice(), service: task.Job().Submission().GetService()}
		owner.advice.steps[name] = known
	}
	if known.pending || now.Sub(known.queriedAt) < adviceRetryInterval {
		return
	}
	known.pending = true
	owner.advice.queue = append(owner.advice.queue, name)
	owner.requestNextAdvice(now)
}

// requestNextAdvice asks the next question of the queue that can be asked, if none is on its
// way.
func (owner *Owner) requestNextAdvice(now time.Time) {
	for !owner.advice.inFlight && len(owner.advice.queue) > 0 {
		name := owner.advice.queue[0]
		owner.advice.queue = owner.advice.queue[1:]
		// A step whose ticket a worker refused while the question waited is
		// forgotten; it is queued anew when one of its tasks finds no place.
		if known, wanted := owner.advice.steps[name]; wanted {
			owner.requestAdvice(name, known, now)
		}
	}
}

// requestAdvice asks which workers may run a step, unless all have been asked about.
func (owner *Owner) requestAdvice(name string, known *stepAdvice, now time.Time) {
	workers := owner.workersToQuery(known)
	known.queriedAt = now
	if len(workers) == 0 {
		known.pending = false
		known.queried = nil
		return
	}
	owner.advice.inFlight = true
	limit := known.expectedDuration(len(workers)) + adviceTimeoutMargin
	go func() {
		ctx, cancel := context.WithTimeout(owner.ctx, limit)
		defer cancel()
		advice, err := owner.options.Advisor.Advise(ctx, name, workerIDs(workers))
		owner.eventLoop.Post(func(now time.Time) {
			owner.advice.inFlight = false
			known.pending = false
			owner.handleAdvice(name, known, workers, advice, err, now)
			owner.requestNextAdvice(now)
		})
	}()
}

// workerIDs returns the ids by which the service knows workers.
func workerIDs(workers []incarnation.ID) []string {
	ids := make([]string, 0, len(workers))
	for _, worker := range workers {
		ids = append(ids, worker.WorkerID())
	}
	return ids
}

// expectedDuration is how long the service says that a question about some workers takes.
func (known *stepAdvice) expectedDuration(workers int) time.Duration {
	return time.Duration(known.timing.GetDecideMs()+known.timing.GetEachMs()*int64(workers)) * time.Millisecond
}

// expireAdvice drops the steps that were last asked about long ago.
func (owner *Owner) expireAdvice(now time.Time) {
	for name, known := range owner.advice.steps {
		if !known.pending && now.Sub(known.queriedAt) > adviceRetention && now.After(known.expiresAt) {
			delete(owner.advice.steps, name)
		}
	}
}

// workersToQuery returns workers of the service that were not asked about.
func (owner *Owner) workersToQuery(known *stepAdvice) []incarnation.ID {
	var workers []incarnation.ID
	for _, view := range owner.agents {
		status := view.status()
		if view.conn == nil || !status.GetReady() || status.GetDraining() || status.GetService() != known.service || known.queried[view.incarnation()] {
			continue
		}
		workers = append(workers, view.incarnation())
		if len(workers) == maxAdviceWorkers {
			break
		}
	}
	return workers
}

// handleAdvice takes in the answer to a question about some workers.
func (owner *Owner) handleAdvice(name string, known *stepAdvice, workers []incarnation.ID, advice platform.Advice, err error, now time.Time) {
	if err != nil {
		owner.log(event.AdviceFailed, slog.String("step", name), slog.Any("error", err))
		return
	}
	if known.queried == nil || now.After(known.expiresAt) {
		known.queried, known.tickets = map[incarnation.ID]bool{}, map[incarnation.ID]ticket{}
	}
	known.expiresAt = now.Add(advice.Valid)
	for _, worker := range workers {
		known.queried[worker] = true
		if text, good := advice.Tickets[worker.WorkerID()]; good {
			known.tickets[worker] = ticket{token: text, expiresAt: known.expiresAt}
		}
	}
	owner.placementChanges.addAll()
	owner.log(event.AdviceTaken, slog.String("step", name), slog.Int("asked", len(workers)),
		slog.Int("good", len(advice.Tickets)), slog.Duration("valid", advice.Valid))
}

// dropAdvice forgets the tickets of a step that a worker did not take.
func (owner *Owner) dropAdvice(task *job.Task) {
	delete(owner.advice.steps, stepName(task))
}
