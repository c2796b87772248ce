package startahead_test

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"testing"
)

// scheduleRate is how often something happens in a schedule, in percent. Each schedule draws its own rates,
// many of them 0, so that some have few kinds of failures and others many.
type scheduleRate int

const (
	storeRate scheduleRate = iota
	ownerRate
	processRate // of agents and workers
	linkRate
	reorderRate
	lossRate      // of messages lost, of messages duplicated, and of orders refused for lack of resources
	slowClockRate // of ticks skipped
	rateCount
)

// scheduleSteps is the number of random steps of a schedule.
const scheduleSteps = 400

// noProgress means that no rule is broken but the task doesn't end.
const noProgress = "no progress"

// schedule determines the events of a model state, and records what the checks need of them.
type schedule struct {
	random             *rand.Rand
	network            []message
	rates              [rateCount]int
	disconnected       [maxEpoch + 2][modelAgents]bool // links between owners, by epoch, and agents
	starts             int
	acknowledgedDone   []int // for each end that was acknowledged, the starts before it
	acknowledgedFailed []int
	violation          string
	traced             bool
	log                []string // if traced
	startsWhileDown    int      // starts while the store was down
	found              int      // runs of earlier owners that an owner found
}

// newModel returns the state in which the first owner has the shard.
func newModel(seed int64, faults modelFaults, traced bool) *modelState {
	state := &modelState{faults: faults, stored: modelRecord{attempt: 1, epoch: 1}}
	state.random, state.traced = rand.New(rand.NewSource(seed)), traced
	for i := range state.agents {
		state.agents[i].incarnation, state.workers[i].incarnation = 1, 1
	}
	for i := range state.rates {
		state.rates[i] = state.drawRate()
	}
	state.rates[lossRate] /= 8
	state.rates[ownerRate] = 50 // The rules depend on changes of the owner.
	state.now = 1
	state.acquire()
	return state
}

// drawRate returns a percentage, and 0 half of the time.
func (state *modelState) drawRate() int { return state.random.Intn(2) * state.random.Intn(95) }

func (state *modelState) chance(percent int) bool { return state.random.Intn(100) < percent }

// logEvent logs an event of a traced schedule.
func (state *modelState) logEvent(format string, values ...any) {
	if !state.traced {
		return
	}
	state.log = append(state.log, fmt.Sprintf("%d: ", state.now)+fmt.Sprintf(format, values...))
}

// acquire gives the shard to a new owner, which fences those before and reads the record.
func (state *modelState) acquire() {
	state.storeEpoch++
	state.storeVersion = 0
	owner := &modelOwner{epoch: state.storeEpoch, record: state.stored, place: noAgent}
	owner.acquiredAt, owner.confirmedAt = state.now, state.now
	if state.faults.ignoresPermissionEpoch {
		owner.record.epoch = owner.epoch
	}
	state.owners = append(state.owners, owner)
	state.logEvent("owner %d reads %+v", owner.epoch, owner.record)
}

// acknowledgeEnd has a worker forget the end of its run, which counts from then on.
func (state *modelState) acknowledgeEnd(worker *modelWorker) {
	if worker.outcome == done {
		state.acknowledgedDone = append(state.acknowledgedDone, worker.endedAfter)
	} else {
		state.acknowledgedFailed = append(state.acknowledgedFailed, worker.endedAfter)
	}
	state.logEvent("the end of attempt %d is acknowledged", worker.attempt)
	worker.attempt, worker.outcome = 0, 0
	state.check()
}

// check looks for starts after an acknowledged end, also if it was acknowledged after the start.
func (state *modelState) check() {
	before := 0
	for _, starts := range state.acknowledgedFailed {
		if starts < state.starts {
			before++
		}
	}
	if before >= maxFailed || len(state.acknowledgedFailed) > state.stored.failed {
		state.violation = "BUDGET"
	}
	for _, starts := range state.acknowledgedDone {
		if starts < state.starts || !state.stored.done {
			state.violation = "TWICE: a start after the end"
		}
	}
}

// fail lets a random process, a link or the store fail, or return.
func (state *modelState) fail() {
	i := state.random.Intn(modelAgents)
	switch kind := scheduleRate(state.random.Intn(4)); {
	case !state.chance(state.rates[kind]):
	case kind == storeRate:
		state.storeDown = !state.storeDown
	case kind == ownerRate && len(state.owners) > 1 && state.chance(30): // The oldest owner crashes.
		state.owners = state.owners[1:]
	case kind == ownerRate && state.chance(50):
		owner := state.owners[state.random.Intn(len(state.owners))]
		owner.sendsNoOrders = !owner.sendsNoOrders
	case kind == ownerRate && !state.storeDown && state.storeEpoch < maxEpoch:
		state.acquire()
	case kind == processRate && state.chance(20):
		state.workers[i] = modelWorker{incarnation: state.workers[i].incarnation + 1}
		state.logEvent("worker %d restarts", i)
	case kind == processRate:
		state.agents[i] = modelAgent{incarnation: state.agents[i].incarnation + 1, startedAt: state.now}
		state.logEvent("agent %d restarts", i)
	case kind == linkRate:
		link := &state.disconnected[state.storeEpoch][i]
		*link = !*link
		state.logEvent("link of owner %d to agent %d is disconnected: %v", state.storeEpoch, i, *link)
	}
}

// step executes one random action.
func (state *modelState) step() {
	owner, i := state.owners[state.random.Intn(len(state.owners))], state.random.Intn(modelAgents)
	switch action := state.random.Intn(100); {
	case action < 3:
		if !state.chance(state.rates[slowClockRate]) {
			state.tick()
		}
	case action < 56:
		state.deliverAny()
	case action < 67:
		state.stepOwner(owner)
	case action < 78:
		state.stepAgent(i)
	case action < 80:
		state.join(owner)
	case action < 82:
		state.endRun(i, done+outcome(state.random.Intn(2)))
	default:
		state.fail()
	}
}

// deliverAny delivers, loses or duplicates a message. Calls of agents to workers are not duplicated.
func (state *modelState) deliverAny() {
	if len(state.network) == 0 {
		return
	}
	i := 0
	if state.chance(state.rates[reorderRate]) {
		i = state.random.Intn(len(state.network))
	}
	if state.network[i].kind != toWorker && state.chance(state.rates[lossRate]) {
		state.network = append(state.network, state.network[i])
	}
	if state.chance(state.rates[lossRate]) {
		state.network = append(state.network[:i], state.network[i+1:]...)
		return
	}
	state.deliver(i)
}

// deliver removes a message from the network and gives it to its receiver.
func (state *modelState) deliver(i int) {
	sent := state.network[i]
	state.network = append(state.network[:i], state.network[i+1:]...)
	if (sent.kind == toAgent || sent.kind == toOwner) && state.disconnected[sent.epoch][sent.agent] {
		return
	}
	switch sent.kind {
	case toAgent:
		state.receiveOrder(sent)
	case toWorker:
		state.start(sent)
	case toStore:
		state.store(sent)
	default:
		for _, owner := range state.owners {
			if owner.epoch == sent.epoch {
				state.receive(owner, sent)
			}
		}
	}
}

// tick advances the time. Ends that are not acknowledged when the lease is over become void.
func (state *modelState) tick() {
	state.now++
	for i := range state.workers {
		if worker := &state.workers[i]; worker.attempt != 0 && state.now >= worker.leaseUntil {
			state.logEvent("lease of worker %d ends, attempt %d", i, worker.attempt)
			worker.attempt, worker.outcome = 0, 0
		}
	}
}

// join has the store confirm the owner.
func (state *modelState) join(owner *modelOwner) {
	if !state.storeDown && owner.epoch == state.storeEpoch {
		state.network = append(state.network, message{kind: joinAnswer, epoch: owner.epoch, sentAt: state.now})
	}
}

func (state *modelState) endRun(i int, end outcome) {
	if worker := &state.workers[i]; worker.outcome == running {
		worker.outcome, worker.endedAfter = end, state.starts
		state.logEvent("attempt %d on worker %d ends: %d", worker.attempt, i, end)
	}
}

// settle lets a successor work without further failures, except that the agent with the index silent stays silent if
// there is one, and checks that the task is over within the time that its wait and a few runs take.
func (state *modelState) settle(silent int) {
	state.storeDown, state.rates = false, [rateCount]int{}
	state.acquire()
	state.owners = state.owners[len(state.owners)-1:]
	for range toleranceTicks + 2*grantTicks + 20 {
		owner := state.owners[0]
		state.join(owner)
		state.stepOwner(owner)
		for i := range state.agents {
			if i != silent {
				state.stepAgent(i)
			}
			state.endRun(i, done)
		}
		for len(state.network) > 0 {
			if state.network[0].kind == toAgent && state.network[0].agent == silent {
				state.network = state.network[1:]
				continue
			}
			state.deliver(0)
		}
		state.tick()
	}
	if !state.stored.isOver() && state.violation == "" {
		state.violation = noProgress
	}
}

// runSchedule runs the schedule of a seed until a rule is broken.
func runSchedule(seed int64, faults modelFaults, traced bool) *modelState {
	state := newModel(seed, faults, traced)
	for step := 0; step < scheduleSteps && state.violation == ""; step++ {
		state.step()
	}
	if state.violation == "" {
		state.settle(int(seed%3) - 1)
	}
	return state
}

// exchange lets the owners and agents send, and delivers all messages.
func (state *modelState) exchange() {
	for _, owner := range state.owners {
		state.stepOwner(owner)
	}
	for i := range state.agents {
		state.stepAgent(i)
	}
	for len(state.network) > 0 {
		state.deliver(0)
	}
}

// TestRestartedAgentServesReplacedOwner runs the schedule that rule 5 of the design note is for. An agent
// restarts and forgets the owner of its run, which can't reach it any more. The owner before, which doesn't know
// that it was replaced, extends the run.
func TestRestartedAgentServesReplacedOwner(t *testing.T) {
	tests := map[string]struct {
		faults    modelFaults
		violation string
	}{
		"design": {modelFaults{}, ""},
		"run is released by its owner's own grant alone": {
			modelFaults{releasesByOwnGrantAlone: true}, "TWICE: two runs at once",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			state := newModel(1, test.faults, true)
			state.rates = [rateCount]int{}
			state.acquire()
			state.owners[0].sendsNoOrders = true
			for step := 0; step < scheduleSteps && state.starts == 0; step++ {
				state.exchange()
			}
			agent := slices.IndexFunc(state.workers[:], func(worker modelWorker) bool { return worker.outcome == running })
			if agent < 0 {
				t.Fatalf("nothing runs\n%s", state)
			}
			state.agents[agent] = modelAgent{incarnation: state.agents[agent].incarnation + 1, startedAt: state.now}
			state.disconnected[state.storeEpoch][agent] = true
			for range 2 * (toleranceTicks + grantTicks) {
				state.join(state.owners[1])
				state.exchange()
				state.exchange() // The answers to the first one, before the lease is over.
				state.tick()
			}
			if state.violation != test.violation || state.starts < 2 {
				t.Errorf("violation %q after %d starts, want %q\n%s", state.violation, state.starts, test.violation, state)
			}
		})
	}
}

// TestStartsAhead runs random schedules of the design, none of which breaks a rule, and of variants with a fault, each
// of which breaks one.
func TestStartsAhead(t *testing.T) {
	const schedules = 10_000
	tests := map[string]modelFaults{
		"successor starts at once":                                    {startsAtOnce: true},
		"successor trusts the agents that it reaches":                 {trustsReachableAgents: true},
		"permission is not bound to the epoch":                        {ignoresPermissionEpoch: true},
		"two agents get the same attempt after a lost order":          {ordersTwice: true},
		"end is forgotten before it is recorded":                      {acknowledgesEarly: true},
		"restarted agent obeys an owner that was confirmed before it": {acceptsOldConfirmation: true},
	}
	t.Run("design", func(t *testing.T) {
		starts, found := 0, 0
		for seed := range int64(schedules) {
			state := runSchedule(seed, modelFaults{}, false)
			if state.violation != "" {
				t.Fatalf("seed %d: %s", seed, runSchedule(seed, modelFaults{}, true))
			}
			starts, found = starts+state.startsWhileDown, found+state.found
		}
		t.Logf("%d schedules, %d starts while the store was down, %d runs of earlier owners found", schedules, starts, found)
	})
	for name, faults := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range int64(schedules) {
				if state := runSchedule(seed, faults, false); state.violation != "" && state.violation != noProgress {
					t.Logf("seed %d: %s", seed, runSchedule(seed, faults, true))
					return
				}
			}
			t.Error("no schedule breaks a rule")
		})
	}
}

// String returns the violation and the events of a traced schedule.
func (state *modelState) String() string {
	return state.violation + "\n" + strings.Join(state.log, "\n")
}
