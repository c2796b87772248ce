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
	// askedMost bounds the workers of one question: each takes time, and a
	// step needs only some.
	askedMost = 30
	// adviceOver is added to the time that the service says it takes.
	adviceOver = 2 * time.Second
	// adviceMargin is left of a ticket's time for the order's way.
	adviceMargin = 300 * time.Millisecond
	// adviceAgain keeps questions for a step apart whose answer named no
	// worker with room.
	adviceAgain = 500 * time.Millisecond
	// adviceKept is how long a step is remembered that no question was asked for: well
	// beyond any ticket's time.
	adviceKept = 5 * time.Minute
)

// stepAdvice is what is known of the workers that may run a step.
type stepAdvice struct {
	terms   *job.Advice
	service string
	tickets map[incarnation.ID]ticket // of the workers that may run it: each holds for one life
	asked   map[incarnation.ID]bool   // the workers that the tickets' answers were about
	until   time.Time                 // when the last of the tickets ends
	askedAt time.Time
	waiting bool // a question is queued or on its way
}

// ticket lets tasks of a step start at one life of a worker until it ends.
type ticket struct {
	text  string
	until time.Time
}

// adviceQueue asks for advice, one question at a time, as the service takes them.
type adviceQueue struct {
	steps  map[string]*stepAdvice
	queue  []string // names of steps
	asking bool     // a question is on its way
}

// stepName names the step of a task in questions.
func stepName(task *job.Task) string {
	return fmt.Sprintf("%s.%d.%d", task.Job().ID(), task.Round(), task.Step())
}

// ticket returns the ticket for a start at a worker, and whether it may run the
// task at all. Without advice every worker may.
func (owner *Owner) ticket(task *job.Task, worker incarnation.ID, now time.Time) (string, bool) {
	if task.Job().Submission().GetAdvice() == nil {
		return "", true
	}
	known, found := owner.advised.steps[stepName(task)]
	if !found {
		return "", false
	}
	held, good := known.tickets[worker]
	if !good || now.After(held.until.Add(-adviceMargin)) {
		return "", false
	}
	return held.text, true
}

// wantAdvice queues a question for the step of a task that found no place.
func (owner *Owner) wantAdvice(task *job.Task, now time.Time) {
	if task.Job().Submission().GetAdvice() == nil || owner.options.Advisor == nil {
		return
	}
	name := stepName(task)
	known, found := owner.advised.steps[name]
	if !found {
		known = &stepAdvice{terms: task.Job().Submission().GetAdvice(), service: task.Job().Submission().GetService()}
		owner.advised.steps[name] = known
	}
	if known.waiting || now.Sub(known.askedAt) < adviceAgain {
		return
	}
	known.waiting = true
	owner.advised.queue = append(owner.advised.queue, name)
	owner.askNext(now)
}

// askNext asks the next question of the queue that can be asked, if none is on its
// way.
func (owner *Owner) askNext(now time.Time) {
	for !owner.advised.asking && len(owner.advised.queue) > 0 {
		name := owner.advised.queue[0]
		owner.advised.queue = owner.advised.queue[1:]
		// A step whose ticket a worker refused while the question waited is
		// forgotten; it is queued anew when one of its tasks finds no place.
		if known, wanted := owner.advised.steps[name]; wanted {
			owner.ask(name, known, now)
		}
	}
}

// ask asks which workers may run a step, unless all have been asked about.
func (owner *Owner) ask(name string, known *stepAdvice, now time.Time) {
	workers := owner.workersToAsk(known)
	known.askedAt = now
	if len(workers) == 0 {
		known.waiting = false
		known.asked = nil
		return
	}
	owner.advised.asking = true
	limit := known.answerTime(len(workers)) + adviceOver
	go func() {
		ctx, cancel := context.WithTimeout(owner.ctx, limit)
		defer cancel()
		advice, err := owner.options.Advisor.Advise(ctx, name, idsOf(workers))
		owner.decisions.Post(func(now time.Time) {
			owner.advised.asking = false
			known.waiting = false
			owner.noteAdvice(name, known, workers, advice, err, now)
			owner.askNext(now)
		})
	}()
}

// idsOf returns the ids by which the service knows workers.
func idsOf(workers []incarnation.ID) []string {
	ids := make([]string, 0, len(workers))
	for _, worker := range workers {
		ids = append(ids, worker.WorkerID())
	}
	return ids
}

// answerTime is how long the service says that a question about some workers takes.
func (known *stepAdvice) answerTime(workers int) time.Duration {
	return time.Duration(known.terms.GetDecideMs()+known.terms.GetEachMs()*int64(workers)) * time.Millisecond
}

// forgetAdvice drops the steps that were last asked about long ago.
func (owner *Owner) forgetAdvice(now time.Time) {
	for name, known := range owner.advised.steps {
		if !known.waiting && now.Sub(known.askedAt) > adviceKept && now.After(known.until) {
			delete(owner.advised.steps, name)
		}
	}
}

// workersToAsk returns workers of the service that were not asked about.
func (owner *Owner) workersToAsk(known *stepAdvice) []incarnation.ID {
	var workers []incarnation.ID
	for _, view := range owner.agents {
		status := view.status()
		if view.link == nil || !status.GetReady() || status.GetDraining() || status.GetService() != known.service || known.asked[view.incarnation()] {
			continue
		}
		workers = append(workers, view.incarnation())
		if len(workers) == askedMost {
			break
		}
	}
	return workers
}

// noteAdvice takes in the answer to a question about some workers.
func (owner *Owner) noteAdvice(name string, known *stepAdvice, workers []incarnation.ID, advice platform.Advice, err error, now time.Time) {
	if err != nil {
		owner.log(event.AdviceFailed, slog.String("step", name), slog.Any("error", err))
		return
	}
	if known.asked == nil || now.After(known.until) {
		known.asked, known.tickets = map[incarnation.ID]bool{}, map[incarnation.ID]ticket{}
	}
	known.until = now.Add(advice.Valid)
	for _, worker := range workers {
		known.asked[worker] = true
		if text, good := advice.Tickets[worker.WorkerID()]; good {
			known.tickets[worker] = ticket{text: text, until: known.until}
		}
	}
	owner.lookout.noteAll()
	owner.log(event.AdviceTaken, slog.String("step", name), slog.Int("asked", len(workers)),
		slog.Int("good", len(advice.Tickets)), slog.Duration("valid", advice.Valid))
}

// dropAdvice forgets the tickets of a step that a worker did not take.
func (owner *Owner) dropAdvice(task *job.Task) {
	delete(owner.advised.steps, stepName(task))
}
