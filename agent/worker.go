package agent

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/telemetry"
	"ambertiller.example/ambertiller/wire"
)

// workerState is what the agent knows of one incarnation.
type workerState struct {
	beat   platform.Heartbeat
	beatAt time.Time
	calls  *platform.Worker
	token  int64

	runs map[string]*runState
	// ends are those that no owner has made durable yet, by number.
	ends map[int64]*wire.RunEnd
	// listed is the highest number of an end that was read, seen the number up
	// to which all are durable and the worker may forget them.
	listed int64
	seen   int64
	// durable holds numbers above seen.
	durable map[int64]bool

	known     bool // the worker has told what runs under this agent's token
	looking   bool // a look is on its way
	lookAt    time.Time
	failures  int
	clock     time.Duration // the worker's clock when clockAt was read
	clockAt   time.Time
	lapseBy   time.Time // when everything has ended if no lease is renewed
	unsettled int       // starts without an answer, to be settled by the next look
}

// runState is one run on the worker.
type runState struct {
	task        string
	attempt     int32
	shard       int32
	demand      *wire.Demand
	checkpoint  string
	percent     int32
	figure      int64
	phase       runPhase
	pace        int32 // percent that the worker was last told, of a run that fills
	confirmedAt time.Time
	stopSentAt  time.Time
	missed      int
}

type runPhase int

const (
	phaseStarting runPhase = iota
	phaseUnsettled
	phaseRunning
	phaseStopping
)

func newWorkerState(beat platform.Heartbeat, calls *platform.Worker, token int64, now time.Time) *workerState {
	return &workerState{
		beat: beat, beatAt: now, calls: calls, token: token,
		runs: map[string]*runState{}, ends: map[int64]*wire.RunEnd{}, durable: map[int64]bool{},
		clockAt: now, lapseBy: now,
	}
}

// described reports whether the demand of every run is known, without which
// room can't be judged.
func (state *workerState) described() bool {
	for _, run := range state.runs {
		if run.demand == nil {
			return false
		}
	}
	return true
}

func (state *workerState) ready() bool {
	return state.known && state.failures == 0 && state.described()
}

// room is what is free on a worker.
type room struct {
	milliCPU, memoryMB, accelerators int64
	fillMilliCPU                     int64
	servingMilliCPU                  int64
}

func (state *workerState) room() room {
	free := room{milliCPU: state.beat.MilliCPU, memoryMB: state.beat.MemoryMB, accelerators: state.beat.Accelerators}
	for _, run := range state.runs {
		demand := run.demand
		free.memoryMB -= demand.GetMemoryMb()
		free.accelerators -= demand.GetAccelerators()
		if demand.GetFills() {
			free.fillMilliCPU += demand.GetMilliCpu() * int64(run.pace) / fullPercent
			continue
		}
		if demand.GetTargetMs() > 0 {
			free.servingMilliCPU += demand.GetMilliCpu()
		}
		free.milliCPU -= demand.GetMilliCpu()
	}
	return free
}

func (free room) fits(demand *wire.Demand) bool {
	if !demand.GetFills() && demand.GetMilliCpu() > free.milliCPU {
		return false
	}
	return demand.GetMemoryMb() <= free.memoryMB && demand.GetAccelerators() <= free.accelerators
}

// noteClock takes a reading of the worker's clock that was made before now.
func (state *workerState) noteClock(clock time.Duration, now time.Time) {
	if clock > state.clock {
		state.clock = clock
		state.clockAt = now
	}
}

// leaseEnd returns the time on the worker's clock that is surely over by until.
func (state *workerState) leaseEnd(now, until time.Time) time.Duration {
	left := until.Sub(now)
	if state.clock == 0 || left <= 0 {
		return 0
	}
	// The clock has moved on since it was read by no less than this.
	atLeast := state.clock + time.Duration(float64(now.Sub(state.clockAt))*(1-clockSlack))
	return atLeast + time.Duration(float64(left)*(1-clockSlack))
}

// extended notes that the worker may run on until a time on its clock.
func (state *workerState) extended(leaseEnd time.Duration) {
	lapse := state.clockAt.Add(time.Duration(float64(leaseEnd-state.clock) / (1 - clockSlack)))
	if lapse.After(state.lapseBy) {
		state.lapseBy = lapse
	}
}

// leaseUntil returns the time up to which the worker's lease may be renewed.
func (agent *Agent) leaseUntil(now time.Time) time.Time {
	until := now.Add(leaseLength)
	for _, run := range agent.worker.runs {
		granted := agent.grantOf(run.shard)
		if granted.Before(until) {
			until = granted
		}
	}
	return until
}

func (agent *Agent) grantOf(shard int32) time.Time {
	if held, found := agent.claims[shard]; found {
		return held.until
	}
	return agent.started
}

// look asks the worker what runs and what has ended, and renews its lease.
func (agent *Agent) look(now time.Time) {
	state := agent.worker
	if state.looking || now.Before(state.lookAt) {
		return
	}
	wait := holdWait
	if agent.paced.watching(state) {
		wait = pacedHoldWait
	}
	if !state.known || state.unsettled > 0 || state.failures > 0 {
		wait = 0
	}
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

// look is one question to the worker.
type look struct {
	at      time.Time
	seen    int64
	token   int64
	settles int
}

func (agent *Agent) noteLook(state *workerState, asked look, held platform.Held, err error, now time.Time) {
	if err != nil {
		agent.noteFailedLook(state, err, now)
		return
	}
	if state.failures > 0 {
		agent.options.Events.Log(agent.ctx, event.WorkerBack, slog.String("worker", state.beat.Incarnation), slog.Int("failures", state.failures))
		state.failures = 0
		agent.statusChanged()
	}
	state.noteClock(held.Clock, now)
	state.lookAt = now
	for _, end := range held.Ended {
		agent.noteEnd(state, end)
	}
	if len(state.ends) > 0 || state.seen > asked.seen && len(held.Ended) > 0 {
		state.lookAt = now.Add(unseenPause)
	}
	agent.noteRunning(state, asked, held, now)
	if !state.known {
		state.known = true
		agent.statusChanged()
	}
	agent.pace(state, true, now)
}

func (agent *Agent) noteFailedLook(state *workerState, err error, now time.Time) {
	var refused *platform.StartError
	if errors.As(err, &refused) && refused.Reason() == platform.RefusedFence {
		state.token += tokenStep
		return
	}
	state.failures++
	state.lookAt = now.Add(failedPause)
	if state.failures == 1 {
		agent.options.Events.Log(agent.ctx, event.WorkerSilent, slog.String("worker", state.beat.Incarnation), slog.Any("error", err))
		agent.statusChanged()
	}
}

func (agent *Agent) noteEnd(state *workerState, end platform.End) {
	if end.Number <= state.listed {
		return
	}
	if state.listed == 0 {
		// The worker lists ends in order: it has forgotten those before the
		// first, at the word of an earlier agent.
		state.seen = end.Number - 1
	}
	state.listed = end.Number
	told := &wire.RunEnd{
		Worker: state.beat.Incarnation, Number: end.Number, Task: end.Task, Attempt: end.Attempt,
		Reason: endReason(end.How), Checkpoint: end.Checkpoint,
	}
	state.ends[end.Number] = told
	if run, found := state.runs[end.Task]; found && run.attempt == end.Attempt {
		delete(state.runs, end.Task)
	}
	agent.options.Events.Log(agent.ctx, event.RunEnded, slog.String("task", end.Task), slog.Int("attempt", int(end.Attempt)),
		slog.String("how", string(end.How)), slog.Int64("number", end.Number))
	agent.meters.ended.Add(agent.ctx, 1, telemetry.By("how", string(end.How)))
	agent.sendEnd(told)
	agent.statusChanged()
}

func endReason(how platform.EndHow) wire.EndReason {
	reasons := map[platform.EndHow]wire.EndReason{
		platform.EndDone:    wire.EndReason_END_DONE,
		platform.EndFailed:  wire.EndReason_END_FAILED,
		platform.EndStopped: wire.EndReason_END_STOPPED,
		platform.EndLapsed:  wire.EndReason_END_LAPSED,
		platform.EndBroken:  wire.EndReason_END_BROKEN,
		platform.EndAlone:   wire.EndReason_END_ALONE,
	}
	return reasons[how]
}

// noteRunning compares what the worker lists with what the agent believes.
func (agent *Agent) noteRunning(state *workerState, asked look, held platform.Held, now time.Time) {
	listed := map[string]bool{}
	for _, run := range held.Running {
		listed[run.Task] = true
		agent.noteRun(state, run, now)
	}
	for _, run := range state.runs {
		if listed[run.task] {
			run.missed = 0
			continue
		}
		agent.noteUnlisted(state, run, asked)
	}
	if asked.settles > 0 && asked.token == state.token {
		state.unsettled = 0
	}
}

func (agent *Agent) noteRun(state *workerState, listed platform.Run, now time.Time) {
	run, found := state.runs[listed.Task]
	if !found {
		run = &runState{task: listed.Task, attempt: listed.Attempt, shard: agent.shardOf(listed.Task), phase: phaseRunning, pace: fullPercent, confirmedAt: now}
		state.runs[listed.Task] = run
		agent.options.Events.Log(agent.ctx, event.RunAdopted, slog.String("task", listed.Task), slog.Int("attempt", int(listed.Attempt)))
		agent.statusChanged()
	}
	if run.attempt != listed.Attempt {
		return
	}
	if run.phase == phaseUnsettled {
		agent.settled(state, run, true)
		run.confirmedAt = now
	}
	run.checkpoint = listed.Checkpoint
	run.percent = listed.Percent
	run.figure = listed.Figure
}

// noteUnlisted looks at a run that the worker's answer lacks.
func (agent *Agent) noteUnlisted(state *workerState, run *runState, asked look) {
	switch run.phase {
	case phaseStarting:
		// Its answer is still to come.
	case phaseUnsettled:
		if asked.token == state.token && asked.settles > 0 {
			// The worker now obeys no token that the start was sent with.
			delete(state.runs, run.task)
			agent.settled(state, run, false)
		}
	case phaseRunning, phaseStopping:
		if !run.confirmedAt.Before(asked.at) {
			return
		}
		run.missed++
		if run.missed > 1 {
			delete(state.runs, run.task)
			agent.tellLost(state, run)
			agent.statusChanged()
		}
	}
}

func (agent *Agent) settled(state *workerState, run *runState, runs bool) {
	agent.options.Events.Log(agent.ctx, event.OrderSettled, slog.String("task", run.task), slog.Int("attempt", int(run.attempt)), slog.Bool("runs", runs))
	outcome := wire.StartOutcome_START_WORKER_FAILED
	if runs {
		run.phase = phaseRunning
		outcome = wire.StartOutcome_START_STARTED
	}
	agent.sendResult(state, run, outcome)
}

// giveUpLost ends an incarnation's runs once their lease must have ended.
func (agent *Agent) giveUpLost(now time.Time) {
	state := agent.worker
	if state.failures == 0 || now.Before(state.lapseBy) || len(state.runs) == 0 {
		return
	}
	for _, run := range state.runs {
		delete(state.runs, run.task)
		if run.phase == phaseUnsettled || run.phase == phaseStarting {
			agent.sendResult(state, run, wire.StartOutcome_START_WORKER_FAILED)
			continue
		}
		agent.tellLost(state, run)
	}
	// A start that is still on its way must not take effect later.
	state.token++
	state.known = false
	agent.statusChanged()
}

// stopUnowned stops the runs of owners that have been silent until their grant
// is nearly over, so that the lease of the others can be renewed.
func (agent *Agent) stopUnowned(now time.Time) {
	for _, run := range agent.worker.runs {
		if run.phase != phaseRunning {
			continue
		}
		until := agent.grantOf(run.shard).Add(-stopBefore)
		if least := agent.started.Add(unclaimedMost); until.Before(least) {
			// The run was here before this agent: its owner, or a new one,
			// is still to attach and to grant.
			until = least
		}
		if now.Before(until) {
			continue
		}
		agent.options.Events.Log(agent.ctx, event.RunUnowned, slog.String("task", run.task), slog.Int("attempt", int(run.attempt)), slog.Int("shard", int(run.shard)))
		agent.stopRun(agent.worker, run, now)
	}
}
