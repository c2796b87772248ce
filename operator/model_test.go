package operator_test

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/operator"
)

// The model: an operator evacuates a failure domain, two owners read the store and order
// starts, one agent decides on them by the Knowledge and the reckoning of this package. Time
// goes in steps, and between two steps anything may happen in any order: reads and messages
// may be answered, be held up for any number of steps, or be lost, and each process may
// restart. A state holds ages, not times, and ages from which on nothing differs are one, so
// that the states are finite and all behaviours of any length are gone through.
const (
	modelStep = time.Second
	// modelDeadline is how soon an evacuation holds, modelStartTime how long a start takes.
	modelDeadline  = 3
	modelStartTime = 1
	// maxModelAge stands for itself and all higher ages.
	maxModelAge = int8(modelDeadline + 1)
	// never is the age of what has not happened.
	never = int8(-1)
)

// modelEvacuationState is a Knowledge that can be compared: whether the domain is known to be
// evacuated, as of how many steps ago.
type modelEvacuationState struct {
	evacuated bool
	age       int8
}

// modelOwner is one owner: what it knows, its read on its way, and its order on its way
// with the age, on the agent's clock, of what it states to know.
type modelOwner struct {
	known    modelEvacuationState
	readAge  int8
	orderAge int8
}

// modelState is one state of everything.
type modelState struct {
	evacuationAge int8
	owners        [2]modelOwner
	agent         modelEvacuationState
}

// modelRules are what the processes go by; broken ones are tried too.
type modelRules struct {
	// statedAge is the age that an owner's order states, by that of its knowledge, that of
	// the agent's last word, and how long this was on its way.
	statedAge func(known, heard, delay int8) int8
	// maxAge is how old knowledge may be that permits a start.
	maxAge time.Duration
}

// The present of the model, and the agent's uptime at it.
const modelUptime = time.Hour

var modelNow = time.Unix(1_700_000_000, 0)

func ago(age int8) time.Time { return modelNow.Add(-time.Duration(age) * modelStep) }

// ageAt returns the age of a moment, in whole steps.
func ageAt(moment time.Time) int8 {
	return int8(min(modelNow.Sub(moment)/modelStep, time.Duration(maxModelAge)))
}

func (known modelEvacuationState) toState() *operator.EvacuationState {
	made := &operator.EvacuationState{}
	if known.age != never {
		made.Update(newEvacuations(known.evacuated), ago(known.age))
	}
	return made
}

func newEvacuations(evacuated bool) operator.Evacuations {
	if evacuated {
		return operator.NewEvacuations(2, []string{"a"})
	}
	return operator.NewEvacuations(1, nil)
}

func (known modelEvacuationState) update(evacuated bool, age int8) modelEvacuationState {
	whole := known.toState()
	whole.Update(newEvacuations(evacuated), ago(age))
	return modelEvacuationState{evacuated: whole.Evacuations().Has("a"), age: ageAt(whole.AsOf())}
}

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
	for index := range state.owners {
		owner := &state.owners[index]
		owner.known.age, owner.readAge, owner.orderAge = increment(owner.known.age), increment(owner.readAge), increment(owner.orderAge)
	}
	return state
}

// visitNext passes on the states that may follow, and reports a start that comes too late.
func (state modelState) visitNext(rules modelRules, follow func(modelState)) (late bool) {
	follow(state.advance())
	if state.evacuationAge == never {
		written := state
		written.evacuationAge = 0
		follow(written)
	}
	restarted := state
	restarted.agent = modelEvacuationState{age: never}
	for index := range restarted.owners {
		restarted.owners[index].orderAge = never // Its streams have ended.
	}
	follow(restarted)
	for index := range state.owners {
		state.visitOwnerSteps(index, rules, follow)
		late = state.deliverOrder(index, rules, follow) || late
	}
	return late
}

// visitOwnerSteps passes on the states that may follow by what one owner does.
func (state modelState) visitOwnerSteps(index int, rules modelRules, follow func(modelState)) {
	owner := state.owners[index]
	with := func(changed modelOwner) {
		state.owners[index] = changed
		follow(state)
	}
	with(modelOwner{known: modelEvacuationState{age: never}, readAge: never, orderAge: never})
	asking := owner
	asking.readAge = 0
	with(asking)
	if owner.readAge != never {
		answered := owner
		answered.known, answered.readAge = owner.known.update(state.evacuationAge != never, owner.readAge), never
		with(answered)
	}
	if owner.known.age == never || owner.known.evacuated {
		return
	}
	for heard := range maxModelAge {
		for delay := range maxModelAge {
			ordering := owner
			ordering.orderAge = rules.statedAge(owner.known.age, heard, delay)
			with(ordering)
		}
	}
}

// deliverOrder has the agent decide on an owner's order.
func (state modelState) deliverOrder(index int, rules modelRules, follow func(modelState)) (late bool) {
	age := state.owners[index].orderAge
	if age == never {
		return false
	}
	state.owners[index].orderAge = never
	state.agent = state.agent.update(false, age)
	follow(state)
	if state.agent.toState().Check("a", modelNow, rules.maxAge) != operator.Permitted {
		return false
	}
	return state.evacuationAge != never && state.evacuationAge+modelStartTime > modelDeadline
}

// explore goes through all states and reports whether a start comes too late in any.
func (rules modelRules) explore() (states int, late bool) {
	nobody := modelOwner{known: modelEvacuationState{age: never}, readAge: never, orderAge: never}
	begin := modelState{evacuationAge: never, owners: [2]modelOwner{nobody, nobody}, agent: modelEvacuationState{age: never}}
	seen := map[modelState]bool{begin: true}
	open := []modelState{begin}
	for len(open) > 0 && !late {
		state := open[len(open)-1]
		open = open[:len(open)-1]
		late = state.visitNext(rules, func(after modelState) {
			if !seen[after] {
				seen[after] = true
				open = append(open, after)
			}
		})
	}
	return len(seen), late
}

// TestNoStartAfterEvacuation: with the rules that are built no behaviour of the model has a
// start after the evacuation holds; with each broken one there is such a behaviour.
func TestNoStartAfterEvacuation(t *testing.T) {
	const oldest = (modelDeadline - modelStartTime) * modelStep
	translated := func(known, heard, delay int8) int8 {
		uptime := modelUptime - time.Duration(heard+delay)*modelStep
		return ageAt(modelNow.Add(operator.PeerUptime(ago(known), ago(heard), uptime) - modelUptime))
	}
	tests := map[string]struct {
		rules modelRules
		late  bool
	}{
		"as built": {modelRules{translated, oldest}, false},
		"what is sent counts as known now": {modelRules{func(_, heard, delay int8) int8 {
			return translated(0, heard, delay)
		}, oldest}, true},
		"the agent does not look at the age":      {modelRules{translated, time.Hour}, true},
		"the time that a start takes is left out": {modelRules{translated, modelDeadline * modelStep}, true},
		"the agent's word counts as of its arrival at the owner, whenever that read": {modelRules{func(known, heard, _ int8) int8 {
			return min(known, heard)
		}, oldest}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			states, late := test.rules.explore()
			t.Logf("%d states", states)
			if late != test.late {
				t.Errorf("a start comes too late: %v", late)
			}
		})
	}
}
