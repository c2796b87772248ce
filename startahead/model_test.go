package startahead_test

// Times are in ticks of one clock that all processes share.
const (
	modelAgents    = 2
	grantTicks     = 4 // that an owner grants an agent's runs
	leaseTicks     = 3 // that an agent grants its worker
	toleranceTicks = 4 // for which an owner grants and orders without the store's confirmation
	marginTicks    = 1
	renewalPercent = 3 // of an agent's messages, before which it renews its token although it needn't
	maxFailed      = 2 // failed runs until the job has failed
	maxEpoch       = 4 // owners that a schedule has before it settles
	noAgent        = -1
)

// outcome is the state of a run as its worker reports it.
type outcome int

const (
	running outcome = iota + 1
	done
	failed
)

// modelFaults are deviations from the design, each of which breaks a rule.
type modelFaults struct {
	startsAtOnce, trustsReachableAgents, ignoresPermissionEpoch, ordersTwice, acknowledgesEarly,
	acceptsOldConfirmation, releasesByOwnGrantAlone bool
}

// modelRecord is the task's record in the store: the owner of the epoch may start the attempt anywhere.
type modelRecord struct {
	attempt, epoch, failed int
	done                   bool
	ended                  uint64 // a bit for each attempt whose end is recorded
}

func (record modelRecord) isOver() bool { return record.done || record.failed >= maxFailed }

// modelWorker has at most one run, or its end until that is acknowledged.
type modelWorker struct {
	incarnation, token, attempt, leaseUntil int
	outcome                                 outcome
	endedAfter                              int // number of starts of the task before the run's end
}

// modelAgent is an agent's process; all but the incarnation is lost when it restarts. It has handled an owner's
// messages up to a number, and counts those that it has sent. A pending attempt is one that the worker was ordered to
// start, without an answer.
type modelAgent struct {
	incarnation, startedAt, epoch, handled, sent                      int
	grantUntil, pending, orderedAt, refused, token, workerIncarnation int

	ready bool // the worker's runs are known
}

// modelView is what an owner knows of an agent from the latest list of its runs and from its own messages.
type modelView struct {
	incarnation, list, sequence, heardAt, agentTime, grantEnd, attempt int

	outcome      outcome
	lacksAttempt bool // the current attempt is neither there nor can be started there
}

// modelOwner is an owner of the task's shard, which may have been replaced.
type modelOwner struct {
	epoch, acquiredAt, confirmedAt, version int
	sendsNoOrders                           bool // while it delays its orders
	record                                  modelRecord
	next                                    *modelRecord // being appended
	place, orderIncarnation, orderSequence  int          // where the current attempt was ordered or found
	views                                   [modelAgents]modelView
}

// messageKind is the receiver of a message, or the request that it answers.
type messageKind int

const (
	toAgent messageKind = iota
	toOwner
	toWorker
	toStore
	appendAnswer
	joinAnswer
)

// message is a message of any kind; each kind uses some of the fields.
type message struct {
	kind                                                                messageKind
	agent, incarnation, epoch, sequence, handled, token                 int
	attempt, pending, refused, acknowledged, until, confirmedAt, sentAt int
	outcome                                                             outcome
	record                                                              modelRecord
}

// modelState is the state of all processes and of the store.
type modelState struct {
	schedule
	faults       modelFaults
	now          int
	storeDown    bool
	storeEpoch   int
	storeVersion int
	stored       modelRecord
	owners       []*modelOwner
	agents       [modelAgents]modelAgent
	workers      [modelAgents]modelWorker
}

// receiveOrder handles an owner's message, which may have a grant, an order or the acknowledgment of an end.
func (state *modelState) receiveOrder(order message) {
	agent, worker := &state.agents[order.agent], &state.workers[order.agent]
	if order.epoch < agent.epoch {
		return
	}
	if order.epoch > agent.epoch {
		agent.epoch, agent.handled = order.epoch, 0
	}
	if order.incarnation != agent.incarnation || order.sequence <= agent.handled {
		return
	}
	agent.handled, agent.grantUntil = order.sequence, max(agent.grantUntil, order.until)
	if order.acknowledged != 0 && order.acknowledged == worker.attempt && worker.outcome != running {
		state.acknowledgeEnd(worker)
	}
	if order.attempt == 0 {
		return
	}
	if !state.isStartable(order) {
		agent.refused = order.attempt
		return
	}
	agent.pending, agent.refused, agent.orderedAt = order.attempt, 0, state.now
	state.network = append(state.network, message{kind: toWorker, agent: order.agent, incarnation: agent.workerIncarnation,
		token: agent.token, attempt: order.attempt, until: agent.grantUntil, epoch: order.epoch})
}

// isStartable reports whether an agent accepts a start order. An owner that the store has not confirmed since
// the agent's process began may have been replaced, and the process before may have known its successor.
func (state *modelState) isStartable(order message) bool {
	agent, worker := state.agents[order.agent], state.workers[order.agent]
	confirmed := order.confirmedAt > agent.startedAt || state.faults.acceptsOldConfirmation
	free := agent.ready && agent.pending == 0 && worker.attempt == 0 && !state.chance(state.rates[lossRate])
	return confirmed && free && state.now < agent.grantUntil
}

// start executes an agent's call to start a run, unless the agent has a newer token or the grant is over.
func (state *modelState) start(call message) {
	worker := &state.workers[call.agent]
	isOutdated := call.incarnation != worker.incarnation || call.token != worker.token || state.now >= call.until
	if isOutdated || worker.attempt != 0 {
		return
	}
	state.starts++
	state.logEvent("worker %d starts attempt %d by order of owner %d", call.agent, call.attempt, call.epoch)
	if state.storeDown {
		state.startsWhileDown++
	}
	worker.attempt, worker.outcome, worker.leaseUntil = call.attempt, running, min(state.now+leaseTicks, call.until)
	state.check()
	for i, other := range state.workers {
		if i != call.agent && other.outcome == running {
			state.violation = "TWICE: two runs at once"
		}
	}
}

// store executes an append. It rejects those of earlier epochs, and answers duplicates again.
func (state *modelState) store(request message) {
	if state.storeDown || request.epoch != state.storeEpoch {
		return
	}
	if request.sequence > state.storeVersion {
		state.storeVersion, state.stored = request.sequence, request.record
		state.logEvent("owner %d appends %+v", request.epoch, request.record)
	}
	state.network = append(state.network, message{kind: appendAnswer, epoch: request.epoch, sequence: request.sequence})
}

func (state *modelState) receive(owner *modelOwner, answer message) {
	switch answer.kind {
	case joinAnswer:
		owner.confirmedAt = max(owner.confirmedAt, answer.sentAt)
	case appendAnswer:
		if owner.next == nil || answer.sequence != owner.version {
			return
		}
		if owner.next.attempt != owner.record.attempt {
			owner.place = noAgent
		}
		owner.record, owner.next = *owner.next, nil
	case toOwner:
		state.receiveList(owner, answer)
	}
}

// receiveList updates an owner's view from an agent's list, and handles the current attempt's end or absence.
func (state *modelState) receiveList(owner *modelOwner, list message) {
	view := &owner.views[list.agent]
	if list.incarnation < view.incarnation || list.incarnation == view.incarnation && list.sequence <= view.list {
		return
	}
	if list.incarnation > view.incarnation {
		view.sequence = 0
	}
	view.incarnation, view.list, view.attempt, view.outcome = list.incarnation, list.sequence, list.attempt, list.outcome
	view.heardAt, view.agentTime = state.now, list.sentAt
	attempt := owner.record.attempt
	ordered := owner.place == list.agent
	handled := !ordered || list.incarnation > owner.orderIncarnation || list.handled >= owner.orderSequence
	there := list.attempt == attempt || list.pending == attempt
	view.lacksAttempt = !there && handled
	if there && owner.place == noAgent {
		owner.place, owner.orderIncarnation, owner.orderSequence = list.agent, list.incarnation, 0
		state.found++
	}
	if ordered && list.attempt == attempt && list.outcome > running {
		state.recordEnd(owner, list.outcome)
	}
	if ordered && view.lacksAttempt {
		state.handleMissingAttempt(owner, list)
	}
}

// handleMissingAttempt handles a list without the attempt that was ordered. A refused one was never started, and may be
// ordered elsewhere.
func (state *modelState) handleMissingAttempt(owner *modelOwner, list message) {
	if owner.orderSequence > 0 && list.incarnation == owner.orderIncarnation && list.refused == owner.record.attempt {
		owner.place = noAgent
		return
	}
	state.recordLoss(owner)
}

// recordEnd records the end of the current attempt, and permits the next one with it.
func (state *modelState) recordEnd(owner *modelOwner, end outcome) {
	next := owner.record
	next.ended |= 1 << next.attempt
	if end == done {
		next.done = true
	} else {
		next.failed++
		next.attempt, next.epoch = next.attempt+1, owner.epoch
	}
	owner.append(next)
}

// recordLoss records the next attempt, since the current one is not running and can't be started any more.
func (state *modelState) recordLoss(owner *modelOwner) {
	next := owner.record
	next.attempt, next.epoch = next.attempt+1, owner.epoch
	owner.append(next)
}

func (owner *modelOwner) append(next modelRecord) {
	if owner.next == nil && !owner.record.isOver() {
		owner.next = &next
		owner.version++
	}
}

// isReleased reports whether the current attempt can't be running at the agent, nor be started there.
func (state *modelState) isReleased(owner *modelOwner, i int) bool {
	view := owner.views[i]
	deadline := max(view.grantEnd, owner.acquiredAt+toleranceTicks+grantTicks)
	if state.faults.releasesByOwnGrantAlone && owner.record.epoch == owner.epoch {
		deadline = view.grantEnd
	}
	return state.now > deadline+marginTicks
}

// mayReplaceAttempt reports whether an attempt that an earlier owner was allowed to start is over or can't start.
func (state *modelState) mayReplaceAttempt(owner *modelOwner) bool {
	free, reached := true, false
	for i, view := range owner.views {
		reached = reached || view.lacksAttempt
		free = free && (view.lacksAttempt || state.isReleased(owner, i))
	}
	return free || state.faults.startsAtOnce || state.faults.trustsReachableAgents && reached
}

// stepOwner lets an owner decide and send a message to each agent.
func (state *modelState) stepOwner(owner *modelOwner) {
	if owner.place != noAgent && state.isReleased(owner, owner.place) {
		state.recordLoss(owner)
	}
	if owner.place == noAgent && owner.record.epoch != owner.epoch && state.mayReplaceAttempt(owner) {
		state.recordLoss(owner)
	}
	if owner.next != nil {
		request := message{kind: toStore, epoch: owner.epoch, sequence: owner.version, record: *owner.next}
		state.network = append(state.network, request)
	}
	first := state.random.Intn(modelAgents)
	for i := range owner.views {
		state.sendOrder(owner, (first+i)%modelAgents)
	}
}

// sendOrder sends what the owner has for an agent: a first message, or a grant with an order.
func (state *modelState) sendOrder(owner *modelOwner, i int) {
	view := &owner.views[i]
	order := message{
		kind: toAgent, agent: i, incarnation: view.incarnation, epoch: owner.epoch, confirmedAt: owner.confirmedAt,
	}
	if view.incarnation != 0 {
		view.sequence++
		order.sequence = view.sequence
		isRecorded := owner.record.ended&(1<<view.attempt) != 0 || state.faults.acknowledgesEarly
		if view.outcome > running && isRecorded {
			order.acknowledged = view.attempt
		}
	}
	if view.incarnation != 0 && state.now <= owner.confirmedAt+toleranceTicks {
		order.until, view.grantEnd = view.agentTime+grantTicks, view.heardAt+grantTicks
		if state.mayOrder(owner, i) {
			order.attempt = owner.record.attempt
			owner.place, owner.orderIncarnation, owner.orderSequence = i, view.incarnation, view.sequence
		}
	}
	state.network = append(state.network, order)
}

// mayOrder reports whether the owner may order the current attempt at an agent.
func (state *modelState) mayOrder(owner *modelOwner, i int) bool {
	unplaced := owner.place == noAgent
	if state.faults.ordersTwice {
		unplaced = unplaced || owner.place != i && owner.orderSequence > 0
	}
	permitted := !owner.sendsNoOrders && owner.record.epoch == owner.epoch && !owner.record.isOver() && owner.next == nil
	return unplaced && permitted && state.now <= owner.views[i].heardAt+1
}

// stepAgent renews the worker's lease and tells the owner what runs.
func (state *modelState) stepAgent(i int) {
	agent, worker := &state.agents[i], &state.workers[i]
	unanswered := agent.pending != 0 && state.now > agent.orderedAt+1
	if worker.incarnation != agent.workerIncarnation || !agent.ready || unanswered || state.chance(renewalPercent) {
		agent.token = worker.token + 1 // The worker obeys no earlier call from here on.
		worker.token, agent.workerIncarnation = agent.token, worker.incarnation
		agent.ready, agent.pending = true, 0
	}
	if worker.attempt == agent.pending {
		agent.pending = 0
	}
	worker.leaseUntil = max(worker.leaseUntil, min(state.now+leaseTicks, agent.grantUntil))
	agent.sent++
	state.network = append(state.network, message{kind: toOwner, agent: i,
		incarnation: agent.incarnation, epoch: agent.epoch, sequence: agent.sent, handled: agent.handled,
		attempt: worker.attempt, outcome: worker.outcome,
		pending: agent.pending, refused: agent.refused, sentAt: state.now})
}
