package agent

import (
	"time"

	"ambertiller.example/ambertiller/incarnation"
	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/relocation"
	"ambertiller.example/ambertiller/wire"
)

// workerState is what the agent knows of one incarnation of the worker.
type workerState struct {
	// incarnation identifies the incarnation. If its heartbeats lack the start time, that is taken from its
	// answers.
	incarnation incarnation.ID
	heartbeat   platform.Heartbeat
	client      *platform.Worker
	token       int64
	// isSuperseded is set once another incarnation with the same worker ID has answered. This one is over
	// then, and no call may be made for it any more. Its runs are reported as ended once the next one is
	// managed.
	isSuperseded bool
	// orderCarriedOver is set if the next incarnation has carried out an order that was meant for this one.
	orderCarriedOver bool

	runs map[string]*runState
	// pendingEnds holds the ends that are not in the store yet, by number.
	pendingEnds map[int64]*pendingEnd
	// givenUpRuns holds runs that were new when the worker stopped answering, and were given up when its
	// lease had expired. They were reported as ended, but it is not known yet whether the worker crashed.
	givenUpRuns []*runState
	// lastListedEnd is the highest number of an end that the worker has listed. storedEnd is the number up to
	// which all ends are in the store, and the worker may forget them.
	lastListedEnd int64
	storedEnd     int64
	// endNumberOffset is added to the worker's end numbers to get those that are reported to owners; see
	// [initialEndNumberOffset].
	endNumberOffset int64
	// storedAhead holds the numbers above storedEnd of ends that are in the store.
	storedAhead map[int64]bool

	provenAliveAt  time.Time // the last time at which the worker was certainly alive
	lastSignAt     time.Time // when the last sign of life was noticed
	runsKnown      bool      // the worker has listed its runs in answer to the present token
	runsListedOnce bool      // the worker has listed its runs to this agent at least once
	isPolling      bool      // a poll has not been answered yet
	pollAt         time.Time
	pollFailures   int
	// pacingScheduledAt is when the last adjustment of the paces after a start was scheduled.
	pacingScheduledAt time.Time
	clock             time.Duration // the last reading of the worker's clock, taken before clockReadAt
	clockReadAt       time.Time
	leaseOverBy       time.Time // when all runs have certainly ended if the lease is not renewed
	leavesAt          time.Time // when a draining worker may leave, zero while not known
	unsettledStarts   int       // starts without an answer, which the next poll settles
}

// runState is what the agent knows of one run on the worker.
type runState struct {
	task            string
	attempt         int32
	shard           int32
	demand          *wire.Demand
	checkpoint      string
	progressPercent int32
	// reading is what the worker last reported of the run: the tail latency of a serving run, in
	// milliseconds, or the CPU usage of any other run, in thousandths of a core.
	reading      int64
	phase        runPhase
	pacePercent  int32     // pace that the worker was last sent, for a fill run
	paceUnknown  bool      // an earlier agent may have sent another pace
	paceRaisedAt time.Time // when the pace was last raised
	slowedSince  time.Time // when the pace fell below slowedPercent, zero while it is not below
	confirmedAt  time.Time // when the worker answered the start or first listed the run
	startSentAt  time.Time // when the start was first sent, or the run adopted
	// begun is set once the worker has answered the start or listed the run. Until then the run may not exist.
	begun bool
	// sessionID is the session on which the start was ordered, 0 for an adopted run.
	sessionID int64
	// fromScratch is set for a run that started without a checkpoint. workDone is then the time, at full
	// speed, that the run has needed for its progress until workUpdatedAt.
	fromScratch   bool
	workDone      time.Duration
	workUpdatedAt time.Time
	stopSentAt    time.Time
	// adopted is set for a run that the agent found on the worker without having ordered it, isSuspect for
	// one whose task may have crashed a worker before.
	adopted           bool
	isSuspect         bool
	targetMissedSince time.Time // when a serving run began to miss its target, zero while it meets it
	missedPolls       int       // polls in a row whose answers did not list the run
	// offerBackoff delays offers of the run to its owner; see package relocation.
	offerBackoff relocation.Backoff
}

// runPhase is the phase that a run on the worker is in.
type runPhase int

const (
	phaseStarting  runPhase = iota // the answer to the start is still to come
	phaseUnsettled                 // the start got no answer, so that the run may or may not have begun
	phaseRunning
	phaseStopping // a stop was sent
)

// maxRunWithoutAgent is the longest time, on this process's clock, for which a worker runs on without its
// agent, even if an earlier agent process renewed its lease last.
const maxRunWithoutAgent = time.Duration(float64(leaseDuration) * (1 + maxClockDrift))

// newWorkerState returns the state of an incarnation of which only a heartbeat is known.
func newWorkerState(beat platform.Heartbeat, client *platform.Worker, previous predecessor, now time.Time) *workerState {
	return &workerState{
		incarnation: beat.Incarnation, heartbeat: beat, client: client, token: previous.token, endNumberOffset: previous.lastEndNumber,
		runs: map[string]*runState{}, pendingEnds: map[int64]*pendingEnd{}, storedAhead: map[int64]bool{},
		clockReadAt: now, leaseOverBy: now.Add(maxRunWithoutAgent), provenAliveAt: now, lastSignAt: now,
	}
}

// knowsDemands reports whether the demand of every run is known. Otherwise the free resources are not.
func (state *workerState) knowsDemands() bool {
	for _, run := range state.runs {
		if run.demand == nil {
			return false
		}
	}
	return true
}

// knowsAllRuns reports whether the agent knows all runs of the worker: the worker has listed them to this
// agent, or the lease of everything that an earlier agent has started has certainly expired.
func (state *workerState) knowsAllRuns(now time.Time) bool {
	return state.runsListedOnce || !now.Before(state.leaseOverBy)
}

// isAnswering reports whether the worker has answered the last poll, and is still the same incarnation.
func (state *workerState) isAnswering() bool { return state.pollFailures == 0 && !state.isSuperseded }

// isReady reports whether the worker can take starts: it answers, and its runs and their demands are known.
func (state *workerState) isReady() bool {
	return state.runsKnown && state.isAnswering() && state.knowsDemands()
}
