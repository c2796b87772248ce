package operator_test

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/operator"
)

// The model checker in this file explores a model of evacuations. An operator evacuates a failure domain.
// Two owners read the store and send start orders to an agent, which decides on them with the
// EvacuationState and the clock conversion of this package. Time passes in steps. Between two steps, events
// may happen in any order: reads and orders may complete, be delayed for any number of steps, or be lost,
// and each process may restart. A model state holds ages instead of times, and all ages from maxModelAge on
// count as equal. The number of states is therefore finite, and the exploration covers executions of any
// length.
const (
	modelStep = time.Second
	// modelDeadline is the number of steps after which an evacuation takes effect.
	modelDeadline = 3
	// modelStartTime is the number of steps that a start takes.
	modelStartTime = 1
	// maxModelAge represents itself and all higher ages.
	maxModelAge = int8(modelDeadline + 1)
	// never is the age of an event that has not happened.
	never = int8(-1)
)

// modelEvacuationState is a comparable form of an EvacuationState: whether the domain is known to be
// evacuated, and how many steps old that information is.
type modelEvacuationState struct {
	evacuated bool
	age       int8
}

// modelOwner is the state of an owner.
type modelOwner struct {
	known modelEvacuationState
	// readAge is the age of the owner's pending read.
	readAge int8
	// orderAge is the age of the information that the owner's pending order states, by the agent's clock.
	orderAge int8
}

// modelState is the state of all processes and of the store.
type modelState struct {
	evacuationAge int8
	owners        [2]modelOwner
	agent         modelEvacuationState
}

// modelRules are the rules that the processes follow. The test explores the real rules and broken ones.
type modelRules struct {
	// statedAge returns the age that an owner's order states, from the age of the owner's information, the
	// time since the owner received the agent's last message, and the transmission delay of that message.
	statedAge func(knownAge, messageAge, delay int8) int8
	// maxAge is the maximum age of information that permits a start.
	maxAge time.Duration
}

// modelUptime is the uptime of the agent at modelNow.
const modelUptime = time.Hour

// modelNow is the current time in every model state.
var modelNow = time.Unix(1_700_000_000, 0)

// ago returns the time that is age steps before modelNow.
func ago(age int8) time.Time { return modelNow.Add(-time.Duration(age) * modelStep) }

// ageAt returns the age of a time in whole steps, at most maxModelAge.
func ageAt(at time.Time) int8 {
	return int8(min(modelNow.Sub(at)/modelStep, time.Duration(maxModelAge)))
}

// toState returns the EvacuationState that the model represents.
func (known modelEvacuationState) toState() *operator.EvacuationState {
	state := &operator.EvacuationState{}
	if known.age != never {
		state.Update(newEvacuations(known.evacuated), ago(known.age))
	}
	return state
}

// newEvacuations returns the evacuations before and after the operator's record.
func newEvacuations(evacuated bool) operator.Evacuations {
	if evacuated {
		return operator.NewEvacuations(2, []string{"a"})
	}
	return operator.NewEvacuations(1, nil)
}

// update returns the state after an update with information of the age.
func (known modelEvacuationState) update(evacuated bool, age int8) modelEvacuationState {
	state := known.toState()
	state.Update(newEvacuations(evacuated), ago(age))
	return modelEvacuationState{evacuated: state.Evacuations().Has("a"), age: ageAt(state.AsOf())}
}

// increment returns the age one step later.
func increment(age int8) int8 {
	if age == never {
		return never
	}
	return min(age+1, maxModelAge)
}

// advance returns the state one step later.
func (state modelState) advance() modelState {
	state.evacuationAge = increment(state.evacuationAge)
	state.agent.age = increment(state.agent.age)
	for i := range state.owners {
		owner := &state.owners[i]
		owner.known.age, owner.readAge, owner.orderAge = increment(owner.known.age), increment(owner.readAge), increment(owner.orderAge)
	}
	return state
}

// visitNext calls visit with each state that may follow, and reports whether a start may take effect too
// late.
func (state modelState) visitNext(rules modelRules, visit func(modelState)) (late bool) {
	visit(state.advance())
	if state.evacuationAge == never {
		evacuated := state
		evacuated.evacuationAge = 0
		visit(evacuated)
	}
	restarted := state
	restarted.agent = modelEvacuationState{age: never}
	for i := range restarted.owners {
		restarted.owners[i].orderAge = never // A restart of the agent ends its streams.
	}
	visit(restarted)
	for i := range state.owners {
		state.visitOwnerSteps(i, rules, visit)
		late = state.deliverOrder(i, rules, visit) || late
	}
	return late
}

// visitOwnerSteps calls visit with each state that may follow by an action of an owner.
func (state modelState) visitOwnerSteps(i int, rules modelRules, visit func(modelState)) {
	owner := state.owners[i]
	visitWith := func(changed modelOwner) {
		state.owners[i] = changed
		visit(state)
	}
	visitWith(modelOwner{known: modelEvacuationState{age: never}, readAge: never, orderAge: never})
	reading := owner
	reading.readAge = 0
	visitWith(reading)
	if owner.readAge != never {
		updated := owner
		updated.known, updated.readAge = owner.known.update(state.evacuationAge != never, owner.readAge), never
		visitWith(updated)
	}
	if owner.known.age == never || owner.known.evacuated {
		return
	}
	for messageAge := range maxModelAge {
		for delay := range maxModelAge {
			ordering := owner
			ordering.orderAge = rules.statedAge(owner.known.age, messageAge, delay)
			visitWith(ordering)
		}
	}
}

// deliverOrder delivers the pending order of an owner to the agent. It reports whether the agent starts a
// task that takes effect after the deadline of the evacuation.
func (state modelState) deliverOrder(i int, rules modelRules, visit func(modelState)) (late bool) {
	age := state.owners[i].orderAge
	if age == never {
		return false
	}
	state.owners[i].orderAge = never
	state.agent = state.agent.update(false, age)
	visit(state)
	if state.agent.toState().Check("a", modelNow, rules.maxAge) != operator.Permitted {
		return false
	}
	return state.evacuationAge != never && state.evacuationAge+modelStartTime > modelDeadline
}

// explore visits all states that can be reached until it finds one in which a start may take effect too
// late. It returns the number of states found.
func (rules modelRules) explore() (states int, late bool) {
	newOwner := modelOwner{known: modelEvacuationState{age: never}, readAge: never, orderAge: never}
	initial := modelState{evacuationAge: never, owners: [2]modelOwner{newOwner, newOwner}, agent: modelEvacuationState{age: never}}
	seen := map[modelState]bool{initial: true}
	pending := []modelState{initial}
	for len(pending) > 0 && !late {
		state := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		late = state.visitNext(rules, func(next modelState) {
			if !seen[next] {
				seen[next] = true
				pending = append(pending, next)
			}
		})
	}
	return len(seen), late
}

// TestNoStartAfterEvacuation checks that no execution of the model with the real rules has a start that
// takes effect after the deadline of the evacuation, and that the model finds such an execution for each
// broken set of rules.
func TestNoStartAfterEvacuation(t *testing.T) {
	const maxAge = (modelDeadline - modelStartTime) * modelStep
	convertedAge := func(knownAge, messageAge, delay int8) int8 {
		uptime := modelUptime - time.Duration(messageAge+delay)*modelStep
		return ageAt(modelNow.Add(operator.PeerUptime(ago(knownAge), ago(messageAge), uptime) - modelUptime))
	}
	tests := map[string]struct {
		rules modelRules
		late  bool
	}{
		"real rules": {modelRules{convertedAge, maxAge}, false},
		"owner states that its information is current": {modelRules{func(_, messageAge, delay int8) int8 {
			return convertedAge(0, messageAge, delay)
		}, maxAge}, true},
		"agent ignores the age":  {modelRules{convertedAge, time.Hour}, true},
		"start time is left out": {modelRules{convertedAge, modelDeadline * modelStep}, true},
		"owner states the arrival time of the agent's message if it is later than its read": {modelRules{func(knownAge, messageAge, _ int8) int8 {
			return min(knownAge, messageAge)
		}, maxAge}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			states, late := test.rules.explore()
			t.Logf("%d states", states)
			if late != test.late {
				t.Errorf("a start takes effect too late: %v", late)
			}
		})
	}
}
