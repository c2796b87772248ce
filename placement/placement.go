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
//	board := placement.NewWorkerSet(workers)
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

// Resources is a share of a worker.
type Resources struct {
	MilliCPU     int64
	MemoryBytes  int64
	Accelerators int64
}

// ResourcesOf returns what a task asks for.
func ResourcesOf(spec *record.TaskSpec) Resources {
	asked := spec.GetResources()
	return Resources{MilliCPU: asked.GetMilliCpu(), MemoryBytes: asked.GetMemoryBytes(), Accelerators: asked.GetAccelerators()}
}

func (amount Resources) add(other Resources) Resources {
	return Resources{
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
	Capacity      Resources
	Committed     Resources
	UsedMilliCPU  int64
	Tasks         int
	Load          float64
	Latency       time.Duration
	StartFailures int
	// BlockedBy is why the worker takes no task at all now, empty when it does.
	BlockedBy Constraint
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
	worker        string
	score         float64
	runnerUp      string
	runnerUpScore float64
	policy        string
	policyErr     error
	rejected      map[Constraint]int
	workerCount   int
}

// IsPlaced reports whether a worker was found.
func (decision *Decision) IsPlaced() bool { return decision.worker != "" }

// Worker returns the worker, empty when none was found.
func (decision *Decision) Worker() string { return decision.worker }

// Score returns the policy's score of that worker.
func (decision *Decision) Score() float64 { return decision.score }

// RunnerUp returns the next best worker and its score.
func (decision *Decision) RunnerUp() (string, float64) {
	return decision.runnerUp, decision.runnerUpScore
}

// Policy returns the name and version of the policy that decided.
func (decision *Decision) Policy() string { return decision.policy }

// PolicyError returns why the published policy was not used, nil when it was.
func (decision *Decision) PolicyError() error { return decision.policyErr }

// Rejected returns how many workers were left out for each constraint.
func (decision *Decision) Rejected() map[Constraint]int { return decision.rejected }

// WorkerCount returns how many workers were looked at.
func (decision *Decision) WorkerCount() int { return decision.workerCount }

// IsImpossible reports whether no known worker could take the task even empty.
func (decision *Decision) IsImpossible() bool {
	return decision.workerCount > 0 && decision.rejected[TooSmall]+decision.rejected[OtherDomain] == decision.workerCount
}

// WorkerSet holds the workers for one round of decisions.
type WorkerSet struct {
	workers []*Worker
	byName  map[string]*Worker
}

// NewWorkerSet returns a board of workers, which it may change.
func NewWorkerSet(workers []*Worker) *WorkerSet {
	board := &WorkerSet{workers: workers, byName: make(map[string]*Worker, len(workers))}
	slices.SortFunc(workers, func(a, b *Worker) int { return cmp.Compare(a.Name, b.Name) })
	for _, each := range workers {
		board.byName[each.Name] = each
	}
	return board
}

// Worker returns a worker of the board, nil when there is none of that name.
func (board *WorkerSet) Worker(name string) *Worker { return board.byName[name] }

// Reserve counts a task on a worker for the rest of the round.
func (board *WorkerSet) Reserve(worker string, spec *record.TaskSpec) {
	taker := board.byName[worker]
	taker.Committed = taker.Committed.add(ResourcesOf(spec))
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
func (board *WorkerSet) Decide(runner *policy.Runner, policies Policies, task *Task) *Decision {
	decision := board.decideWith(runner, policies.InForce, task)
	if decision.policyErr == nil {
		return decision
	}
	fallback := board.decideWith(runner, policies.BuiltIn, task)
	fallback.policyErr = decision.policyErr
	return fallback
}

func (board *WorkerSet) decideWith(runner *policy.Runner, inForce document.Policy, task *Task) *Decision {
	decision := &Decision{policy: inForce.String(), rejected: map[Constraint]int{}, workerCount: len(board.workers)}
	inputs := &policy.Inputs{Task: taskInput(task)}
	for _, candidate := range board.workers {
		if constraint := rejectionReason(candidate, task); constraint != "" {
			decision.rejected[constraint]++
			continue
		}
		inputs.Worker = workerInput(candidate)
		score, err := runner.Score(inForce.Program(), inputs)
		if err != nil {
			decision.policyErr = err
			return decision
		}
		decision.consider(candidate.Name, score)
	}
	return decision
}

func (decision *Decision) consider(worker string, score float64) {
	switch {
	case decision.worker == "" || score > decision.score:
		decision.runnerUp, decision.runnerUpScore = decision.worker, decision.score
		decision.worker, decision.score = worker, score
	case decision.runnerUp == "" || score > decision.runnerUpScore:
		decision.runnerUp, decision.runnerUpScore = worker, score
	}
}

// rejectionReason returns the first constraint that leaves the worker out.
func rejectionReason(candidate *Worker, task *Task) Constraint {
	asked := ResourcesOf(task.Spec)
	switch {
	case asked.MilliCPU > candidate.Capacity.MilliCPU,
		asked.MemoryBytes > candidate.Capacity.MemoryBytes,
		asked.Accelerators > candidate.Capacity.Accelerators:
		return TooSmall
	case task.Spec.GetFailureDomain() != "" && task.Spec.GetFailureDomain() != candidate.FailureDomain:
		return OtherDomain
	case candidate.BlockedBy != "":
		return candidate.BlockedBy
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
	millisPerCore = 1000
	gibibyte      = 1 << 30
)

func taskInput(task *Task) policy.Task {
	asked := ResourcesOf(task.Spec)
	return policy.Task{
		Team:           task.Spec.GetTeam(),
		Kind:           task.Spec.GetKind(),
		Class:          task.Class,
		Priority:       float64(task.Spec.GetPriority()),
		Processors:     float64(asked.MilliCPU) / millisPerCore,
		MemoryGiB:      float64(asked.MemoryBytes) / gibibyte,
		Accelerators:   float64(asked.Accelerators),
		RunTimeSeconds: time.Duration(task.Spec.GetRunTimeNanos()).Seconds(),
		WaitSeconds:    task.Waited.Seconds(),
		Attempts:       float64(task.Attempts),
	}
}

func workerInput(candidate *Worker) policy.Worker {
	free := Resources{
		MilliCPU:     candidate.Capacity.MilliCPU - candidate.Committed.MilliCPU,
		MemoryBytes:  candidate.Capacity.MemoryBytes - candidate.Committed.MemoryBytes,
		Accelerators: candidate.Capacity.Accelerators - candidate.Committed.Accelerators,
	}
	return policy.Worker{
		Name:             candidate.Name,
		FailureDomain:    candidate.FailureDomain,
		Rack:             candidate.Rack,
		Processors:       float64(candidate.Capacity.MilliCPU) / millisPerCore,
		MemoryGiB:        float64(candidate.Capacity.MemoryBytes) / gibibyte,
		Accelerators:     float64(candidate.Capacity.Accelerators),
		FreeProcessors:   float64(free.MilliCPU) / millisPerCore,
		FreeMemoryGiB:    float64(free.MemoryBytes) / gibibyte,
		FreeAccelerators: float64(free.Accelerators),
		UsedProcessors:   float64(candidate.UsedMilliCPU) / millisPerCore,
		Tasks:            float64(candidate.Tasks),
		Load:             candidate.Load,
		LatencySeconds:   candidate.Latency.Seconds(),
		StartFailures:    float64(candidate.StartFailures),
	}
}

// RejectAll returns the decision that every worker is left out, for a
// constraint that is not about workers.
func (board *WorkerSet) RejectAll(policies Policies, constraint Constraint) *Decision {
	return &Decision{
		policy:      policies.InForce.String(),
		rejected:    map[Constraint]int{constraint: len(board.workers)},
		workerCount: len(board.workers),
	}
}
