package agent

import (
	"time"

	"ambertiller.example/ambertiller/incarnation"
	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/wire"
)

// workerState is what the agent knows of one incarnation.
type workerState struct {
	// life names the incarnation, by its answers where its heartbeats don't say when it started.
	life  incarnation.ID
	beat  platform.Heartbeat
	calls *platform.Worker
	token int64
	// overtaken is set once another life under the same id has answered: this one is over, and nothing
	// may be asked in its name any more. What ran on it is told once the next one is taken care of.
	overtaken bool
	// orderWentOn is set where the next life has carried out an order of this one.
	orderWentOn bool

	runs map[string]*runState
	// ends are those that are not in the store yet, by number.
	ends map[int64]*unkeptEnd
	// givenUp are runs that had just begun when the worker did not answer until its lease
	// had ended; they were told as over, and it is not known yet whether it crashed.
	givenUp []*runState
	// listed is the highest number of an end that was read, seen the number up
	// to which all are durable and the worker may forget them.
	listed int64
	seen   int64
	// toldAbove is added to the numbers of ends that owners are told; see [firstTold].
	toldAbove int64
	// durable holds numbers above seen.
	durable map[int64]bool

	aliveAt   time.Time // when the worker lived for certain
	signAt    time.Time // when the last sign of that was seen
	known     bool      // the worker has told what runs under this agent's token
	listedAll bool      // it has told so at least once
	looking   bool      // a look is on its way
	lookAt    time.Time
	failures  int
	clock     time.Duration // the worker's clock when clockAt was read
	clockAt   time.Time
	lapseBy   time.Time // when everything has ended if no lease is renewed
	leavesAt  time.Time // when a draining worker may be gone; zero while not known
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
	pace        int32     // percent that the worker was last told, of a run that fills
	paceUnknown bool      // an earlier agent may have told another pace
	fasterAt    time.Time // when the pace last rose
	slowedSince time.Time // when the pace fell below slowedPercent, zero while above
	confirmedAt time.Time
	sentAt      time.Time // when the start was first sent, or the run found
	// connection is the owner's on which the start was ordered, 0 for a run that was found.
	connection int64
	// whole is set for a run that began without a checkpoint: worked is then the time, at
	// full speed, that it took for its progress up to workedAt.
	whole      bool
	worked     time.Duration
	workedAt   time.Time
	stopSentAt time.Time
	// found is set for a run that an agent that has just started found on its worker, suspect
	// for one whose task a worker may have crashed for before.
	found     bool
	suspect   bool
	overSince time.Time // when a serving run began to miss its target, zero while it keeps it
	missed    int
}

type runPhase int

const (
	phaseStarting runPhase = iota
	phaseUnsettled
	phaseRunning
	phaseStopping
)

// leaseMost is for how long a worker may run on at most by this process's clock, also if an agent
// before this one renewed its lease last.
const leaseMost = time.Duration(float64(leaseLength) * (1 + clockSlack))

func newWorkerState(beat platform.Heartbeat, calls *platform.Worker, after former, now time.Time) *workerState {
	return &workerState{
		life: beat.Incarnation, beat: beat, calls: calls, token: after.token, toldAbove: after.told,
		runs: map[string]*runState{}, ends: map[int64]*unkeptEnd{}, durable: map[int64]bool{},
		clockAt: now, lapseBy: now.Add(leaseMost), aliveAt: now, signAt: now,
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

// accounted reports whether the agent knows all that runs: the worker has listed it since the agent is there, or
// whatever an agent before had started must have lapsed.
func (state *workerState) accounted(now time.Time) bool {
	return state.listedAll || !now.Before(state.lapseBy)
}

func (state *workerState) ready() bool {
	return state.known && !state.overtaken && state.failures == 0 && state.described()
}
