package agent

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/platform"
)

// look asks the worker what runs and what has ended, and renews its lease.
func (agent *Agent) look(now time.Time) {
	state := agent.worker
	if state.looking || state.overtaken || now.Before(state.lookAt) {
		return
	}
	wait := agent.lookWait(state)
	leaseEnd := time.Duration(0)
	if state.failures == 0 {
		// A worker that does not answer is not renewed: its runs are over
		// once the lease that it may have is.
		leaseEnd = state.leaseEnd(now, agent.leaseUntil(now))
	}
	if leaseEnd > 0 {
		state.extended(leaseEnd)
	}
	asked := look{at: now, seen: state.seen, token: state.token, settles: state.unsettled}
	if state.failures > 0 {
		// It may have started again, and would forget ends of its next life.
		asked.seen = 0
	}
	state.looking = true
	go func() {
		ctx, cancel := context.WithTimeout(agent.ctx, wait+callTimeout)
		defer cancel()
		held, err := state.calls.Hold(ctx, leaseEnd, asked.seen, asked.token, wait)
		agent.decisions.Post(func(now time.Time) {
			state.looking = false
			if agent.worker == state {
				agent.noteLook(state, asked, held, err, now)
			}
		})
	}()
}

// lookWait returns how long a look waits for an end: not at all while the agent
// does not know what runs.
func (agent *Agent) lookWait(state *workerState) time.Duration {
	if !state.known || state.unsettled > 0 || state.failures > 0 {
		return 0
	}
	if agent.paced.watching(state) {
		return pacedHoldWait
	}
	return holdWait
}

// look is one question to the worker.
type look struct {
	at      time.Time
	seen    int64
	token   int64
	settles int
}

func (agent *Agent) noteLook(state *workerState, asked look, held platform.Held, err error, now time.Time) {
	if state.overtaken {
		return // The answer is of before, or none.
	}
	if err != nil {
		agent.noteFailedLook(state, err, now)
		return
	}
	if state.failures > 0 {
		agent.log(event.WorkerBack, slog.String("worker", state.life.WorkerID()), slog.Int("failures", state.failures))
		state.failures = 0
		state.givenUp = nil // It did not crash.
		agent.statusChanged()
	}
	agent.noteDate(state, held.Incarnation)
	state.noteClock(held.Clock, now)
	state.noteAnswer(asked.at, now)
	state.lookAt = now
	for _, end := range held.Ended {
		agent.noteEnd(state, end, now)
	}
	if len(state.ends) > 0 || state.seen > asked.seen && len(held.Ended) > 0 {
		state.lookAt = now.Add(unseenPause)
	}
	agent.noteRunning(state, asked, held, now)
	if !state.known {
		state.known, state.listedAll = true, true
		agent.statusChanged()
	}
	agent.pace(state, true, now)
}

func (agent *Agent) noteFailedLook(state *workerState, err error, now time.Time) {
	if agent.notesOtherLife(state, err, now) {
		return
	}
	if platform.IsOtherIncarnation(err) {
		// One worker stands on a machine, and it is another one now.
		agent.endIncarnation(state.life, endReplaced, now)
		return
	}
	var refused *platform.StartError
	if errors.As(err, &refused) && refused.Reason() == platform.RefusedFence {
		state.token += tokenStep
		return
	}
	if state.failures == 0 {
		state.noteBroken(err, now)
	}
	state.failures++
	state.lookAt = now.Add(failedPause)
	if state.failures == 1 {
		agent.log(event.WorkerSilent, slog.String("worker", state.life.WorkerID()), slog.Any("error", err))
		agent.statusChanged()
	}
}
