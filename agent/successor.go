package agent

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/incarnation"
	"ambertiller.example/ambertiller/platform"
)

// askAgainAfter keeps questions to a next life apart that is not clear of the life before yet: a stop takes
// up to half a second.
const askAgainAfter = 100 * time.Millisecond

// successor is an incarnation that has sent a heartbeat while another one is taken care
// of. It may stand in that one's place by now, or have sent the heartbeat before it ended:
// one that was held up on its way may arrive after that of its successor. Only the worker
// itself can tell which of the two it is.
//
// One that has another id is called by it, and refuses what was meant for the one before. Another life under
// the same id does not: it knows no fencing token, so that a start without an answer may be carried out
// there. It is therefore asked again under a token above all that the life before was sent, from which
// on no such start is, and what was until then is stopped and told with its own end. Only then is the life
// before over for certain: if its owners were told before, they would start such a task beside its run.
type successor struct {
	beat   platform.Heartbeat
	calls  *platform.Worker
	asking bool // a question is on its way
	// fence is the token of the questions once it is known to be the present life under an id that
	// the one before has too; 0 until then.
	fence int64
	// askAt is when it is asked again, while fence is set.
	askAt time.Time
}

// noteSuccessor takes in a heartbeat of another incarnation than the one taken care of.
func (agent *Agent) noteSuccessor(beat platform.Heartbeat) {
	next := agent.next
	if next == nil || next.beat.Incarnation != beat.Incarnation {
		next = &successor{beat: beat, calls: agent.options.Connect(beat.Address, beat.Incarnation)}
		agent.next = next
	}
	if beat.Sequence > next.beat.Sequence {
		next.beat = beat
	}
	agent.ask(next)
}

// ask asks an incarnation whether it is the one at its address, and what it runs and has ended.
func (agent *Agent) ask(next *successor) {
	if next.asking {
		return
	}
	next.asking = true
	token := max(agent.options.FirstToken, next.fence)
	if current := agent.worker; current != nil && next.beat.Incarnation.IsOtherIncarnationOf(current.life) {
		// A call that was meant for the life before may have brought its token there.
		token = max(token, current.token)
	}
	go func() {
		ctx, cancel := context.WithTimeout(agent.ctx, callTimeout)
		defer cancel()
		// It renews and forgets nothing; another incarnation does not even look at it.
		held, err := next.calls.Hold(ctx, 0, 0, token, 0)
		agent.decisions.Post(func(now time.Time) { agent.noteSuccessorAsked(next, token, held, err, now) })
	}()
}

// askAgain goes on with a next life that is not clear of the life before yet.
func (agent *Agent) askAgain(now time.Time) {
	if next := agent.next; next != nil && next.fence > 0 && !now.Before(next.askAt) {
		agent.ask(next)
	}
}

// noteSuccessorAsked takes in whether an incarnation is the one at its address. One with another id that
// neither answers nor is denied takes over if the present one does not answer either and its
// lease has run out: only then are its runs over for certain, whichever of the two stands
// there. Else it is asked again with its next heartbeat.
func (agent *Agent) noteSuccessorAsked(next *successor, token int64, held platform.Held, err error, now time.Time) {
	next.asking = false
	if agent.next != next || agent.gone[next.beat.Incarnation] {
		return
	}
	next.askAt = now.Add(askAgainAfter)
	current := agent.worker
	var other *platform.AnotherLifeError
	switch {
	case errors.As(err, &other):
		agent.noteStale(next)
		if current != nil && other.Found().IsOtherIncarnationOf(current.life) {
			agent.overtake(current, other.Found(), now)
		}
	case platform.IsOtherIncarnation(err):
		agent.noteStale(next)
	case current != nil && next.beat.Incarnation.IsOtherIncarnationOf(current.life):
		if err != nil {
			current.noteNextLifeRefused(next, err)
			return
		}
		agent.noteNextLife(current, next, token, held, now)
	case err == nil || current == nil || current.failures > 0 && !now.Before(current.lapseBy):
		agent.takeOver(next, now)
	}
}

// noteNextLifeRefused raises the token of the questions to the next life where it refuses them for theirs: it has
// seen that of an agent whose clock was ahead. Nobody looks at the life before any more, which would have found
// that out.
func (state *workerState) noteNextLifeRefused(next *successor, err error) {
	var refused *platform.StartError
	if !state.overtaken || !errors.As(err, &refused) || refused.Reason() != platform.RefusedFence {
		return
	}
	state.token += tokenStep
	next.fence = state.token + 1
}

// noteStale drops an incarnation whose heartbeat was late.
func (agent *Agent) noteStale(next *successor) {
	agent.next = nil
	about := append(next.beat.Incarnation.LogAttributes(), slog.Int64("sequence", next.beat.Sequence))
	agent.log(event.HeartbeatStale, about...)
}

// noteNextLife takes in the answer of the next life under the id of the present one.
func (agent *Agent) noteNextLife(current *workerState, next *successor, token int64, held platform.Held, now time.Time) {
	agent.overtake(current, next.beat.Incarnation, now)
	if next.fence == 0 || token < next.fence {
		next.fence = current.token + 1
		agent.ask(next)
		return
	}
	if len(held.Running) > 0 {
		agent.stopLate(next, held.Running)
		return
	}
	// An owner that read in the store that the life before is over would release its run before it has heard
	// of the end.
	current.orderWentOn = len(held.Ended) > 0
	for _, end := range held.Ended {
		// It was carried out by the next life, which will list its end: it is not lost.
		if run, found := current.runs[end.Task]; found && run.attempt == end.Attempt {
			delete(current.runs, end.Task)
		}
	}
	current.token = next.fence
	agent.takeOver(next, now)
}

// stopLate stops what the next life has carried out of the orders of the life before.
func (agent *Agent) stopLate(next *successor, running []platform.Run) {
	for _, run := range running {
		agent.log(event.RunStopOrdered, slog.String("task", run.Task), slog.Int("attempt", int(run.Attempt)),
			slog.String("reason", "ordered of the worker's life before"))
		go func() {
			ctx, cancel := context.WithTimeout(agent.ctx, callTimeout)
			defer cancel()
			if _, err := next.calls.Stop(ctx, run.Task, run.Attempt, next.fence); err != nil {
				// It is listed again, and stopped again.
				agent.log(event.OrderUnsettled, slog.String("task", run.Task), slog.String("order", "stop"), slog.Any("error", err))
			}
		}()
	}
}

// notesOtherLife reports whether an error says that another life than a state's has answered, and takes note of it.
func (agent *Agent) notesOtherLife(state *workerState, err error, now time.Time) bool {
	var other *platform.AnotherLifeError
	if !errors.As(err, &other) {
		return false
	}
	agent.overtake(state, other.Found(), now)
	return true
}

// overtake notes that another life under a state's id has answered. Its heartbeat, which says what it is and
// has, may be still to come.
func (agent *Agent) overtake(state *workerState, by incarnation.ID, now time.Time) {
	if state.overtaken {
		return
	}
	state.overtaken = true
	state.failures++
	agent.log(event.WorkerStartedAgain, append(state.life.LogAttributes(), slog.Int64("again", by.StartedMs()),
		slog.Int64("listed", state.listed), slog.Int64("seen", state.seen), slog.Int("runs", len(state.runs)),
		slog.Duration("unanswered", now.Sub(state.signAt)))...)
	agent.statusChanged()
	if agent.next != nil && agent.next.beat.Incarnation == by {
		agent.ask(agent.next)
	}
}

// noteDate takes in when an incarnation started whose heartbeats don't say it, from its first answer.
func (agent *Agent) noteDate(state *workerState, answered incarnation.ID) {
	if state.life.HasStartTime() || !answered.HasStartTime() {
		return
	}
	state.life = answered
	state.calls = agent.options.Connect(state.beat.Address, answered)
	agent.statusChanged()
}

// takeOver has an incarnation take the place of the present one, which is over: one worker stands on a machine.
func (agent *Agent) takeOver(next *successor, now time.Time) {
	if agent.worker != nil {
		agent.endIncarnation(agent.worker.life, endReplaced, now)
	}
	agent.takeCareOf(next.beat, next.calls, now)
}

// takeCareOf begins to take care of an incarnation, while there is no other one. What was
// asked about it until then has no effect any more.
func (agent *Agent) takeCareOf(beat platform.Heartbeat, calls *platform.Worker, now time.Time) {
	agent.next = nil
	agent.logWorker(beat)
	agent.worker = newWorkerState(beat, calls, agent.former, now)
	if beat.Incarnation.IsOtherIncarnationOf(agent.former.life) {
		// It may have been given a lease by a call that was meant for the life before. On its clock,
		// which began anew, that ends as late as a lease can.
		agent.worker.lapseBy = now.Add(agent.longestLease())
	}
	agent.worker.noteLeaving(now)
	agent.statusChanged()
}
