// Package placement selects the worker that a task runs on.
//
// A decision has two steps. First, constraints rule out the workers that can't run the task: those that are
// shutting down, draining, silent or suspected, are in another failure domain, or lack processors, memory or
// accelerators. Then the operators' policy scores the remaining workers, and the highest score wins. The
// decision counts the workers ruled out by each constraint, so that it can be explained.
//
// # Usage
//
//	set := placement.NewWorkerSet(workers)
//	decision := set.Decide(runner, policies, task)
//	if decision.IsPlaced() { set.Reserve(decision.Worker(), task.Spec) }
package placement

import (
	"cmp"
	"slices"
	"time"

	"ambertiller.example/ambertiller/document"
	"ambertiller.example/ambertiller/policy"
	"ambertiller.example/ambertiller/record"
)

// Constraint is a reason why a worker can't run a task.
type Constraint string

// The constraints. [WorkerSet.Decide] checks all but OverQuota, which callers check and pass to
// [WorkerSet.RejectAll]. The texts are part of the API and of the log.
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

// Resources is an amount of processors, memory and accelerators.
type Resources struct {
	MilliCPU     int64
	MemoryBytes  int64
	Accelerators int64
}

// ResourcesOf returns the resources that a task requests.
func ResourcesOf(spec *record.TaskSpec) Resources {
	requested := spec.GetResources()
	return Resources{MilliCPU: requested.GetMilliCpu(), MemoryBytes: requested.GetMemoryBytes(), Accelerators: requested.GetAccelerators()}
}

func (amount Resources) add(other Resources) Resources {
	return Resources{
		MilliCPU:     amount.MilliCPU + other.MilliCPU,
		MemoryBytes:  amount.MemoryBytes + other.MemoryBytes,
		Accelerators: amount.Accelerators + other.Accelerators,
	}
}

// Worker describes a worker at the time of a decision.
type Worker struct {
	Name          string
	Incarnation   string
	FailureDomain string
	Rack          string
	Capacity      Resources
	Committed     Resources // requested by the tasks placed on the worker
	UsedMilliCPU  int64     // as measured
	Tasks         int
	Load          float64 // share of the slots in use
	Latency       time.Duration
	StartFailures int // recent ones
	// BlockedBy is the reason why the worker accepts no task at all at the moment, or "" if it accepts tasks.
	BlockedBy Constraint
}

// Task describes the task to place.
type Task struct {
	ID       string
	Spec     *record.TaskSpec
	Class    string
	Attempts uint64
	Waited   time.Duration
	// RefusedBy lists the workers that recently refused the task.
	RefusedBy []string
}

// Decision is the result of placing one task.
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

// IsPlaced reports whether a worker was selected.
func (decision *Decision) IsPlaced() bool { return decision.worker != "" }

// Worker returns the name of the selected worker, or "" if there is none.
func (decision *Decision) Worker() string { return decision.worker }

// Score returns the policy's score of the selected worker.
func (decision *Decision) Score() float64 { return decision.score }

// RunnerUp returns the name and the score of the worker with the second highest score.
func (decision *Decision) RunnerUp() (string, float64) {
	return decision.runnerUp, decision.runnerUpScore
}

// Policy returns the name and version of the policy that made the decision.
func (decision *Decision) Policy() string { return decision.policy }

// PolicyError returns the error of the policy in force that made the decision fall back to the built-in
// policy, or nil.
func (decision *Decision) PolicyError() error { return decision.policyErr }

// Rejected returns the number of workers ruled out by each constraint.
func (decision *Decision) Rejected() map[Constraint]int { return decision.rejected }

// WorkerCount returns the number of workers considered.
func (decision *Decision) WorkerCount() int { return decision.workerCount }

// IsImpossible reports whether none of the workers could run the task even if it ran nothing else.
func (decision *Decision) IsImpossible() bool {
	return decision.workerCount > 0 && decision.rejected[TooSmall]+decision.rejected[OtherDomain] == decision.workerCount
}

// WorkerSet holds the workers of one round of decisions.
type WorkerSet struct {
	workers []*Worker
	byName  map[string]*Worker
}

// NewWorkerSet returns a set of the workers. It sorts the slice, and [WorkerSet.Reserve] modifies the
// workers.
func NewWorkerSet(workers []*Worker) *WorkerSet {
	set := &WorkerSet{workers: workers, byName: make(map[string]*Worker, len(workers))}
	slices.SortFunc(workers, func(a, b *Worker) int { return cmp.Compare(a.Name, b.Name) })
	for _, worker := range workers {
		set.byName[worker.Name] = worker
	}
	return set
}

// Worker returns the worker with a name, or nil if the set has none.
func (set *WorkerSet) Worker(name string) *Worker { return set.byName[name] }

// Reserve adds a task and its resources to a worker for the remaining decisions of the round.
func (set *WorkerSet) Reserve(worker string, spec *record.TaskSpec) {
	target := set.byName[worker]
	target.Committed = target.Committed.add(ResourcesOf(spec))
	target.Tasks++
}

// Policies holds the programs that a decision may use.
type Policies struct {
	InForce document.Policy
	BuiltIn document.Policy
}

// Decide selects the worker for a task. If the policy in force fails for any worker, the built-in policy
// makes the whole decision, so that scores of two different programs are never compared.
func (set *WorkerSet) Decide(runner *policy.Runner, policies Policies, task *Task) *Decision {
	decision := set.decideWith(runner, policies.InForce, task)
	if decision.policyErr == nil {
		return decision
	}
	fallback := set.decideWith(runner, policies.BuiltIn, task)
	fallback.policyErr = decision.policyErr
	return fallback
}

// decideWith makes the decision by one policy. If the policy fails for a worker, it returns a decision with
// PolicyError set and no usable result.
func (set *WorkerSet) decideWith(runner *policy.Runner, active document.Policy, task *Task) *Decision {
	decision := &Decision{policy: active.String(), rejected: map[Constraint]int{}, workerCount: len(set.workers)}
	inputs := &policy.Inputs{Task: taskInput(task)}
	for _, candidate := range set.workers {
		if constraint := rejectionReason(candidate, task); constraint != "" {
			decision.rejected[constraint]++
			continue
		}
		inputs.Worker = workerInput(candidate)
		score, err := runner.Score(active.Program(), inputs)
		if err != nil {
			decision.policyErr = err
			return decision
		}
		decision.consider(candidate.Name, score)
	}
	return decision
}

// consider updates the workers with the highest and the second highest score.
func (decision *Decision) consider(worker string, score float64) {
	switch {
	case decision.worker == "" || score > decision.score:
		decision.runnerUp, decision.runnerUpScore = decision.worker, decision.score
		decision.worker, decision.score = worker, score
	case decision.runnerUp == "" || score > decision.runnerUpScore:
		decision.runnerUp, decision.runnerUpScore = worker, score
	}
}

// rejectionReason returns the first constraint that rules the worker out, or "". Constraints that hold even
// for an empty worker come first, since [Decision.IsImpossible] counts them.
func rejectionReason(candidate *Worker, task *Task) Constraint {
	requested := ResourcesOf(task.Spec)
	switch {
	case requested.MilliCPU > candidate.Capacity.MilliCPU,
		requested.MemoryBytes > candidate.Capacity.MemoryBytes,
		requested.Accelerators > candidate.Capacity.Accelerators:
		return TooSmall
	case task.Spec.GetFailureDomain() != "" && task.Spec.GetFailureDomain() != candidate.FailureDomain:
		return OtherDomain
	case candidate.BlockedBy != "":
		return candidate.BlockedBy
	case slices.Contains(task.RefusedBy, candidate.Name):
		return Refused
	case requested.MilliCPU > candidate.Capacity.MilliCPU-candidate.Committed.MilliCPU:
		return NoProcessor
	case requested.MemoryBytes > candidate.Capacity.MemoryBytes-candidate.Committed.MemoryBytes:
		return NoMemory
	case requested.Accelerators > candidate.Capacity.Accelerators-candidate.Committed.Accelerators:
		return NoAccelerator
	}
	return ""
}

const (
	millisPerCore = 1000
	gibibyte      = 1 << 30
)

func taskInput(task *Task) policy.Task {
	requested := ResourcesOf(task.Spec)
	return policy.Task{
		Team:           task.Spec.GetTeam(),
		Kind:           task.Spec.GetKind(),
		Class:          task.Class,
		Priority:       float64(task.Spec.GetPriority()),
		Processors:     float64(requested.MilliCPU) / millisPerCore,
		MemoryGiB:      float64(requested.MemoryBytes) / gibibyte,
		Accelerators:   float64(requested.Accelerators),
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

// RejectAll returns a decision that rules out every worker, for a constraint that does not depend on the
// worker.
func (set *WorkerSet) RejectAll(policies Policies, constraint Constraint) *Decision {
	return &Decision{
		policy:      policies.InForce.String(),
		rejected:    map[Constraint]int{constraint: len(set.workers)},
		workerCount: len(set.workers),
	}
}
