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
	// modelWithin is how soon an evacuation holds, modelStart how long a start takes.
	modelWithin = 3
	modelStart  = 1
	// oldestAge stands for itself and all higher ages.
	oldestAge = int8(modelWithin + 1)
	// never is the age of what has not happened.
	never = int8(-1)
)

// modelKnowledge is a Knowledge that can be compared: whether the domain is known to be
// evacuated, as of how many steps ago.
type modelKnowledge struct {
	evacuated bool
	age       int8
}

// modelOwner is one owner: what it knows, its read on its way, and its order on its way
// with the age, on the agent's clock, of what it states to know.
type modelOwner struct {
	known modelKnowledge
	asked int8
	order int8
}

// modelState is one state of everything.
type modelState struct {
	written int8
	owners  [2]modelOwner
	agent   modelKnowledge
}

// modelRules are what the processes go by; broken ones are tried too.
type modelRules struct {
	// stated is the age that an owner's order states, by that of its knowledge, that of
	// the agent's last word, and how long this was on its way.
	stated func(known, heard, delay int8) int8
	// oldest is how old knowledge may be that permits a start.
	oldest time.Duration
}

// The present of the model, and the agent's uptime at it.
const modelUptime = time.Hour

var present = time.Unix(1_700_000_000, 0)

func ago(age int8) time.Time { return present.Add(-time.Duration(age) * modelStep) }

// ageOf returns the age of a moment, in whole steps.
func ageOf(moment time.Time) int8 {
	return int8(min(present.Sub(moment)/modelStep, time.Duration(oldestAge)))
}

func (known modelKnowledge) whole() *operator.Knowledge {
	made := &operator.Knowledge{}
	if known.age != never {
		made.Note(evacuations(known.evacuated), ago(known.age))
	}
	return made
}

func evacuations(evacuated bool) operator.Evacuations {
	if evacuated {
		return operator.NewEvacuations(2, []string{"a"})
	}
	return operator.NewEvacuations(1, nil)
}

func (known modelKnowledge) note(evacuated bool, age int8) modelKnowledge {
	whole := known.whole()
	whole.Note(evacuations(evacuated), ago(age))
	return modelKnowledge{evacuated: whole.Evacuations().Has("a"), age: ageOf(whole.AsOf())}
}

func older(age int8) int8 {
	if age == never {
		return never
	}
	return min(age+1, oldestAge)
}

// later returns the state one step later.
func (state modelState) later() modelState {
	state.written = older(state.written)
	state.agent.age = older(state.agent.age)
	for index := range state.owners {
		owner := &state.owners[index]
		owner.known.age, owner.asked, owner.order = older(owner.known.age), older(owner.asked), older(owner.order)
	}
	return state
}

// next passes on the states that may follow, and reports a start that comes too late.
func (state modelState) next(rules modelRules, follow func(modelState)) (late bool) {
	follow(state.later())
	if state.written == never {
		written := state
		written.written = 0
		follow(written)
	}
	restarted := state
	restarted.agent = modelKnowledge{age: never}
	for index := range restarted.owners {
		restarted.owners[index].order = never // Its streams have ended.
	}
	follow(restarted)
	for index := range state.owners {
		state.nextOwner(index, rules, follow)
		late = state.deliver(index, rules, follow) || late
	}
	return late
}

// nextOwner passes on the states that may follow by what one owner does.
func (state modelState) nextOwner(index int, rules modelRules, follow func(modelState)) {
	owner := state.owners[index]
	with := func(changed modelOwner) {
		state.owners[index] = changed
		follow(state)
	}
	with(modelOwner{known: modelKnowledge{age: never}, asked: never, order: never})
	asking := owner
	asking.asked = 0
	with(asking)
	if owner.asked != never {
		answered := owner
		answered.known, answered.asked = owner.known.note(state.written != never, owner.asked), never
		with(answered)
	}
	if owner.known.age == never || owner.known.evacuated {
		return
	}
	for heard := range oldestAge {
		for delay := range oldestAge {
			ordering := owner
			ordering.order = rules.stated(owner.known.age, heard, delay)
			with(ordering)
		}
	}
}

// deliver has the agent decide on an owner's order.
func (state modelState) deliver(index int, rules modelRules, follow func(modelState)) (late bool) {
	age := state.owners[index].order
	if age == never {
		return false
	}
	state.owners[index].order = never
	state.agent = state.agent.note(false, age)
	follow(state)
	if state.agent.whole().Judge("a", present, rules.oldest) != operator.Permitted {
		return false
	}
	return state.written != never && state.written+modelStart > modelWithin
}

// search goes through all states and reports whether a start comes too late in any.
func (rules modelRules) search() (states int, late bool) {
	nobody := modelOwner{known: modelKnowledge{age: never}, asked: never, order: never}
	begin := modelState{written: never, owners: [2]modelOwner{nobody, nobody}, agent: modelKnowledge{age: never}}
	seen := map[modelState]bool{begin: true}
	open := []modelState{begin}
	for len(open) > 0 && !late {
		state := open[len(open)-1]
		open = open[:len(open)-1]
		late = state.next(rules, func(after modelState) {
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
	const oldest = (modelWithin - modelStart) * modelStep
	translated := func(known, heard, delay int8) int8 {
		uptime := modelUptime - time.Duration(heard+delay)*modelStep
		return ageOf(present.Add(operator.PeerUptime(ago(known), ago(heard), uptime) - modelUptime))
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
		"the time that a start takes is left out": {modelRules{translated, modelWithin * modelStep}, true},
		"the agent's word counts as of its arrival at the owner, whenever that read": {modelRules{func(known, heard, _ int8) int8 {
			return min(known, heard)
		}, oldest}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			states, late := test.rules.search()
			t.Logf("%d states", states)
			if late != test.late {
				t.Errorf("a start comes too late: %v", late)
			}
		})
	}
}
