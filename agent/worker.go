package agent

import (
	"time"

	"ambertiller.example/ambertiller/incarnation"
	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/wire"
)

// workerState is what the agent knows of one incarnation.
type workerState struct {
	// incarnation names the incarnation, by its answers where its heartbeats don't say when it started.
	incarnation incarnation.ID
	heartbeat   platform.Heartbeat
	client      *platform.Worker
	token       int64
	// isSuperseded is set once another life under the same id has answered: this one is over, and nothing
	// may be asked in its name any more. What ran on it is told once the next one is taken care of.
	isSuperseded bool
	// orderCarriedOver is set where the next life has carried out an order of this one.
	orderCarriedOver bool

	runs map[string]*runState
	// pendingEnds are those that are not in the store yet, by number.
	pendingEnds map[int64]*pendingEnd
	// givenUpRuns are runs that had just begun when the worker did not answer until its lease
	// had ended; they were told as over, and it is not known yet whether it crashed.
	givenUpRuns []*runState
	// lastListedEnd is the highest number of an end that was read, seen the number up
	// to which all are durable and the worker may forget them.
	lastListedEnd int64
	storedEnd     int64
	// endNumberOffset is added to the numbers of ends that owners are told; see [initialEndNumberOffset].
	endNumberOffset int64
	// storedAhead holds numbers above seen.
	storedAhead map[int64]bool

	provenAliveAt   time.Time // when the worker lived for certain
	lastSignAt      time.Time // when the last sign of that was seen
	runsKnown       bool      // the worker has told what runs under this agent's token
	runsListedOnce  bool      // it has told so at least once
	isPolling       bool      // a look is on its way
	pollAt          time.Time
	pollFailures    int
	clock           time.Duration // the worker's clock when clockAt was read
	clockReadAt     time.Time
	leaseOverBy     time.Time // when everything has ended if no lease is renewed
	leavesAt        time.Time // when a draining worker may be gone; zero while not known
	unsettledStarts int       // starts without an answer, to be settled by the next look
}

// runState is one run on the worker.
type runState struct {
	task            string
	attempt         int32
	shard           int32
	demand          *wire.Demand
	checkpoint      string
	progressPercent int32
	reading         int64
	phase           runPhase
	pacePercent     int32     // percent that the worker was last told, of a run that fills
	paceUnknown     bool      // an earlier agent may have told another pace
	paceRaisedAt    time.Time // when the pace last rose
	slowedSince     time.Time // when the pace fell below slowedPercent, zero while above
	confirmedAt     time.Time
	startSentAt     time.Time // when the start was first sent, or the run found
	// sessionID is the owner's on which the start was ordered, 0 for a run that was found.
	sessionID int64
	// fromScratch is set for a run that began without a checkpoint: worked is then the time, at
	// full speed, that it took for its progress up to workedAt.
	fromScratch   bool
	workDone      time.Duration
	workUpdatedAt time.Time
	stopSentAt    time.Time
	// adopted is set for a run that an agent that has just started found on its worker, suspect
	// for one whose task a worker may have crashed for before.
	adopted           bool
	isSuspect         bool
	targetMissedSince time.Time // when a serving run began to miss its target, zero while it keeps it
	missedPolls       int
}

type runPhase int

const (
	phaseStarting runPhase = iota
	phaseUnsettled
	phaseRunning
	phaseStopping
)

// maxRunWithoutAgent is for how long a worker may run on at most by this process's clock, also if an agent
// before this one renewed its lease last.
const maxRunWithoutAgent = time.Duration(float64(leaseDuration) * (1 + maxClockDrift))

func newWorkerState(beat platform.Heartbeat, calls *platform.Worker, after predecessor, now time.Time) *workerState {
	return &workerState{
		incarnation: beat.Incarnation, heartbeat: beat, client: calls, token: after.token, endNumberOffset: after.lastEndNumber,
		runs: map[string]*runState{}, pendingEnds: map[int64]*pendingEnd{}, storedAhead: map[int64]bool{},
		clockReadAt: now, leaseOverBy: now.Add(maxRunWithoutAgent), provenAliveAt: now, lastSignAt: now,
	}
}

// knowsDemands reports whether the demand of every run is known, without which
// room can't be judged.
func (state *workerState) knowsDemands() bool {
	for _, run := range state.runs {
		if run.demand == nil {
			return false
		}
	}
	return true
}

// knowsAllRuns reports whether the agent knows all that runs: the worker has listed it since the agent is there, or
// whatever an agent before had started must have lapsed.
func (state *workerState) knowsAllRuns(now time.Time) bool {
	return state.runsListedOnce || !now.Before(state.leaseOverBy)
}

func (state *workerState) isReady() bool {
	return state.runsKnown && !state.isSuperseded && state.pollFailures == 0 && state.knowsDemands()
}
