// Package placement decides which worker a task goes to.
//
// A decision has two steps. Constraints leave out the workers that can't take
// the task: those that leave, are drained, silent or suspected, lie in another
// failure domain, or lack processors, memory or accelerators. The operators'
// policy then scores the rest, and the highest score wins. The decision counts
// the workers left out for each constraint, so that it can be explained.
//
// # Usage
//
//	board := placement.NewBoard(workers)
//	decision := board.Decide(runner, policies, task)
//	if decision.Placed() { board.Take(decision.Worker(), task.Spec) }
package placement

import (
	"cmp"
	"slices"
	"time"

	"ambertiller.example/ambertiller/document"
	"ambertiller.example/ambertiller/policy"
	"ambertiller.example/ambertiller/record"
)

// Constraint is a reason why a worker can't take a task.
type Constraint string

// The constraints, in the order in which they are checked.
const (
	NotReady      Constraint = "worker not ready"
	Draining      Constraint = "worker draining"
	Suspected     Constraint = "worker silent or suspected"
	Recovering    Constraint = "worker failed to start tasks lately"
	OtherDomain   Constraint = "other failure domain"
	TooSmall      Constraint = "worker too small even when empty"
	NoProcessor   Constraint = "not enough free processors"
	NoMemory      Constraint = "not enough free memory"
	NoAccelerator Constraint = "not enough free accelerators"
	Refused       Constraint = "refused this task lately"
	OverQuota     Constraint = "team over its quota"
)

// Amount is a share of a worker.
type Amount struct {
	MilliCPU     int64
	MemoryBytes  int64
	Accelerators int64
}

// AmountOf returns what a task asks for.
func AmountOf(spec *record.TaskSpec) Amount {
	asked := spec.GetResources()
	return Amount{MilliCPU: asked.GetMilliCpu(), MemoryBytes: asked.GetMemoryBytes(), Accelerators: asked.GetAccelerators()}
}

func (amount Amount) plus(other Amount) Amount {
	return Amount{
		MilliCPU:     amount.MilliCPU + other.MilliCPU,
		MemoryBytes:  amount.MemoryBytes + other.MemoryBytes,
		Accelerators: amount.Accelerators + other.Accelerators,
	}
}

// Worker is what is known of one worker when placing.
type Worker struct {
	Name          string
	Incarnation   string
	FailureDomain string
	Rack          string
	Capacity      Amount
	Committed     Amount
	UsedMilliCPU  int64
	Tasks         int
	Load          float64
	Latency       time.Duration
	StartFailures int
	// Blocked is why the worker takes no task at all now, empty when it does.
	Blocked Constraint
}

// Task is what is known of the task to place.
type Task struct {
	ID       string
	Spec     *record.TaskSpec
	Class    string
	Attempts uint64
	Waited   time.Duration
	// RefusedBy names the workers that refused the task lately.
	RefusedBy []string
}

// Decision is the outcome for one task.
type Decision struct {
	worker     string
	score      float64
	second     string
	secondBest float64
	policy     string
	failure    error
	rejected   map[Constraint]int
	workers    int
}

// Placed reports whether a worker was found.
func (decision *Decision) Placed() bool { return decision.worker != "" }

// Worker returns the worker, empty when none was found.
func (decision *Decision) Worker() string { return decision.worker }

// Score returns the policy's score of that worker.
func (decision *Decision) Score() float64 { return decision.score }

// Second returns the next best worker and its score.
func (decision *Decision) Second() (string, float64) { return decision.second, decision.secondBest }

// Policy returns the name and version of the policy that decided.
func (decision *Decision) Policy() string { return decision.policy }

// PolicyFailure returns why the published policy was not used, nil when it was.
func (decision *Decision) PolicyFailure() error { return decision.failure }

// Rejected returns how many workers were left out for each constraint.
func (decision *Decision) Rejected() map[Constraint]int { return decision.rejected }

// Workers returns how many workers were looked at.
func (decision *Decision) Workers() int { return decision.workers }

// Impossible reports whether no known worker could take the task even empty.
func (decision *Decision) Impossible() bool {
	return decision.workers > 0 && decision.rejected[TooSmall]+decision.rejected[OtherDomain] == decision.workers
}

// Board holds the workers for one round of decisions.
type Board struct {
	workers []*Worker
	byName  map[string]*Worker
}

// NewBoard returns a board of workers, which it may change.
func NewBoard(workers []*Worker) *Board {
	board := &Board{workers: workers, byName: make(map[string]*Worker, len(workers))}
	slices.SortFunc(workers, func(a, b *Worker) int { return cmp.Compare(a.Name, b.Name) })
	for _, each := range workers {
		board.byName[each.Name] = each
	}
	return board
}

// Worker returns a worker of the board, nil when there is none of that name.
func (board *Board) Worker(name string) *Worker { return board.byName[name] }

// Take counts a task on a worker for the rest of the round.
func (board *Board) Take(worker string, spec *record.TaskSpec) {
	taker := board.byName[worker]
	taker.Committed = taker.Committed.plus(AmountOf(spec))
	taker.Tasks++
}

// Policies are the programs that a decision may use.
type Policies struct {
	InForce document.Policy
	BuiltIn document.Policy
}

// Decide finds the worker for a task. When the policy in force fails on any
// worker, the whole decision is made by the built-in one, so that scores of
// two programs are never compared.
func (board *Board) Decide(runner *policy.Runner, policies Policies, task *Task) *Decision {
	decision := board.decideBy(runner, policies.InForce, task)
	if decision.failure == nil {
		return decision
	}
	fallback := board.decideBy(runner, policies.BuiltIn, task)
	fallback.failure = decision.failure
	return fallback
}

func (board *Board) decideBy(runner *policy.Runner, inForce document.Policy, task *Task) *Decision {
	decision := &Decision{policy: inForce.String(), rejected: map[Constraint]int{}, workers: len(board.workers)}
	inputs := &policy.Inputs{Task: taskInput(task)}
	for _, candidate := range board.workers {
		if constraint := rejects(candidate, task); constraint != "" {
			decision.rejected[constraint]++
			continue
		}
		inputs.Worker = workerInput(candidate)
		score, err := runner.Score(inForce.Program(), inputs)
		if err != nil {
			decision.failure = err
			return decision
		}
		decision.consider(candidate.Name, score)
	}
	return decision
}

func (decision *Decision) consider(worker string, score float64) {
	switch {
	case decision.worker == "" || score > decision.score:
		decision.second, decision.secondBest = decision.worker, decision.score
		decision.worker, decision.score = worker, score
	case decision.second == "" || score > decision.secondBest:
		decision.second, decision.secondBest = worker, score
	}
}

// rejects returns the first constraint that leaves the worker out.
func rejects(candidate *Worker, task *Task) Constraint {
	asked := AmountOf(task.Spec)
	switch {
	case asked.MilliCPU > candidate.Capacity.MilliCPU,
		asked.MemoryBytes > candidate.Capacity.MemoryBytes,
		asked.Accelerators > candidate.Capacity.Accelerators:
		return TooSmall
	case task.Spec.GetFailureDomain() != "" && task.Spec.GetFailureDomain() != candidate.FailureDomain:
		return OtherDomain
	case candidate.Blocked != "":
		return candidate.Blocked
	case slices.Contains(task.RefusedBy, candidate.Name):
		return Refused
	case asked.MilliCPU > candidate.Capacity.MilliCPU-candidate.Committed.MilliCPU:
		return NoProcessor
	case asked.MemoryBytes > candidate.Capacity.MemoryBytes-candidate.Committed.MemoryBytes:
		return NoMemory
	case asked.Accelerators > candidate.Capacity.Accelerators-candidate.Committed.Accelerators:
		return NoAccelerator
	}
	return ""
}

const (
	thousand = 1000
	gibibyte = 1 << 30
)

func taskInput(task *Task) policy.Task {
	asked := AmountOf(task.Spec)
	return policy.Task{
		Team:           task.Spec.GetTeam(),
		Kind:           task.Spec.GetKind(),
		Class:          task.Class,
		Priority:       float64(task.Spec.GetPriority()),
		Processors:     float64(asked.MilliCPU) / thousand,
		MemoryGiB:      float64(asked.MemoryBytes) / gibibyte,
		Accelerators:   float64(asked.Accelerators),
		RunTimeSeconds: time.Duration(task.Spec.GetRunTimeNanos()).Seconds(),
		WaitSeconds:    task.Waited.Seconds(),
		Attempts:       float64(task.Attempts),
	}
}

func workerInput(candidate *Worker) policy.Worker {
	free := Amount{
		MilliCPU:     candidate.Capacity.MilliCPU - candidate.Committed.MilliCPU,
		MemoryBytes:  candidate.Capacity.MemoryBytes - candidate.Committed.MemoryBytes,
		Accelerators: candidate.Capacity.Accelerators - candidate.Committed.Accelerators,
	}
	return policy.Worker{
		Name:             candidate.Name,
		FailureDomain:    candidate.FailureDomain,
		Rack:             candidate.Rack,
		Processors:       float64(candidate.Capacity.MilliCPU) / thousand,
		MemoryGiB:        float64(candidate.Capacity.MemoryBytes) / gibibyte,
		Accelerators:     float64(candidate.Capacity.Accelerators),
		FreeProcessors:   float64(free.MilliCPU) / thousand,
		FreeMemoryGiB:    float64(free.MemoryBytes) / gibibyte,
		FreeAccelerators: float64(free.Accelerators),
		UsedProcessors:   float64(candidate.UsedMilliCPU) / thousand,
		Tasks:            float64(candidate.Tasks),
		Load:             candidate.Load,
		LatencySeconds:   candidate.Latency.Seconds(),
		StartFailures:    float64(candidate.StartFailures),
	}
}

// RejectAll returns the decision that every worker is left out, for a
// constraint that is not about workers.
func (board *Board) RejectAll(policies Policies, constraint Constraint) *Decision {
	return &Decision{
		policy:   policies.InForce.String(),
		rejected: map[Constraint]int{constraint: len(board.workers)},
		workers:  len(board.workers),
	}
}
