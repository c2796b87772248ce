package agent

import (
	"context"
	"log/slog"
	"time"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/platform"
)

// successor is an incarnation that has sent a heartbeat while another one is taken care
// of. It may stand in that one's place by now, or have sent the heartbeat before it ended:
// one that was held up on its way may arrive after that of its successor. Only the worker
// itself can tell which of the two it is.
type successor struct {
	beat   platform.Heartbeat
	calls  *platform.Worker
	asking bool // a question is on its way
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
	if next.asking {
		return
	}
	next.asking = true
	go func() {
		ctx, cancel := context.WithTimeout(agent.ctx, callTimeout)
		defer cancel()
		// It renews and forgets nothing; another incarnation does not even look at it.
		_, err := next.calls.Hold(ctx, 0, 0, agent.options.FirstToken, 0)
		agent.decisions.Post(func(now time.Time) { agent.noteSuccessorAsked(next, err, now) })
	}()
}

// noteSuccessorAsked takes in whether an incarnation is the one at its address. One that
// neither answers nor is denied takes over if the present one does not answer either and its
// lease has run out: only then are its runs over for certain, whichever of the two stands
// there. Else it is asked again with its next heartbeat.
func (agent *Agent) noteSuccessorAsked(next *successor, err error, now time.Time) {
	next.asking = false
	if agent.next != next || agent.gone[next.beat.Incarnation] {
		return
	}
	switch {
	case platform.IsOtherIncarnation(err):
		agent.next = nil
		agent.log(event.HeartbeatStale, slog.String("worker", next.beat.Incarnation), slog.Int64("sequence", next.beat.Sequence))
	case err == nil || agent.worker == nil || agent.worker.failures > 0 && !now.Before(agent.worker.lapseBy):
		if agent.worker != nil {
			// One worker stands on a machine: the one before it has ended.
			agent.endIncarnation(agent.worker.beat.Incarnation, endReplaced, now)
		}
		agent.takeCareOf(next.beat, next.calls, now)
	}
}

// takeCareOf begins to take care of an incarnation, while there is no other one. What was
// asked about it until then has no effect any more.
func (agent *Agent) takeCareOf(beat platform.Heartbeat, calls *platform.Worker, now time.Time) {
	agent.next = nil
	agent.logWorker(beat)
	agent.worker = newWorkerState(beat, calls, agent.options.FirstToken, now)
	agent.worker.noteLeaving(now)
	agent.statusChanged()
}
