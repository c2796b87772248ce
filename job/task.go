package job

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"ambertiller.example/ambertiller/incarnation"
)

// Place identifies the worker on which a run was ordered.
type Place struct {
	// Incarnation identifies the worker and its incarnation.
	Incarnation incarnation.ID
	// AgentAddress is the address of the worker's agent.
	AgentAddress string
}

// Task holds the state of one task of a job.
type Task struct {
	job              *Job
	round            int32
	step             int32
	index            int32
	state            TaskState
	attempt          int32
	failedAttempts   []int32 // the attempts that failed, without duplicates
	crashes          []crash // those after survivedAttempt, one for each attempt
	ambiguousCrashes []crash // the same, if another suspect had just started on the worker
	survivedAttempt  int32   // the last attempt that survived its start
	// crashedAgents lists the addresses of agents whose worker crashed under a run, as far as they are known.
	crashedAgents []string
	place         Place
	checkpoint    string
	// interruptions is the number of runs that were stopped or lost under this owner.
	interruptions int
	// refusals is the number of consecutive starts that were refused for lack of resources.
	refusals  int
	startedAt time.Time
	retryAt   time.Time
	// unplacedSince is when the task was ready for the first time without a worker that could run it, and
	// obstacle the reason. They are zero if there was no such time since the last start.
	unplacedSince time.Time
	obstacle      string
}

// Job returns the job that the task belongs to.
func (task *Task) Job() *Job { return task.job }

// Spec returns the specification of the task's step, which all its tasks share.
func (task *Task) Spec() *StepSpec { return task.job.submission.GetSteps()[task.step] }

// State returns the state of the task.
func (task *Task) State() TaskState { return task.state }

// Attempt returns the number of the last attempt, or 0 if the task was never started.
func (task *Task) Attempt() int32 { return task.attempt }

// Place returns the place of the last start.
func (task *Task) Place() Place { return task.place }

// IsStartedAt reports whether the task is in state TASK_STARTED at the agent with an address.
func (task *Task) IsStartedAt(agentAddress string) bool {
	return task.state == TaskState_TASK_STARTED && task.place.AgentAddress == agentAddress
}

// Checkpoint returns the newest checkpoint, or "" if there is none.
func (task *Task) Checkpoint() string { return task.checkpoint }

// Interruptions returns the number of runs that were stopped or lost during the current ownership of the
// shard.
func (task *Task) Interruptions() int { return task.interruptions }

// AddRefusal records that a start of the task was refused for lack of resources.
func (task *Task) AddRefusal() { task.refusals++ }

// Refusals returns the number of consecutive starts that were refused for lack of resources.
func (task *Task) Refusals() int { return task.refusals }

// ResetRefusals sets the number of refusals to 0. It is called when a run has started.
func (task *Task) ResetRefusals() { task.refusals = 0 }

// StartedAt returns when the start of the last run was decided. After a change of owner, it is when the new
// owner restored the run.
func (task *Task) StartedAt() time.Time { return task.startedAt }

// IsUnplaced reports whether the task has been ready without a worker that could run it.
func (task *Task) IsUnplaced() bool { return !task.unplacedSince.IsZero() }

// MarkUnplaced records that the task is ready, and the obstacle that keeps every worker from running it.
func (task *Task) MarkUnplaced(obstacle string, now time.Time) {
	task.unplacedSince = now
	task.obstacle = obstacle
}

// UnplacedFor returns how long the task has been ready without a worker that could run it, and the obstacle
// recorded at the beginning of that time.
func (task *Task) UnplacedFor(now time.Time) (unplacedFor time.Duration, obstacle string) {
	if !task.IsUnplaced() {
		return 0, ""
	}
	return now.Sub(task.unplacedSince), task.obstacle
}

// Round returns the round that the task belongs to, which is 0 unless the job is scheduled.
func (task *Task) Round() int32 { return task.round }

// Step returns the index of the task's step.
func (task *Task) Step() int32 { return task.step }

// Name returns the name under which agents and workers know the task, in the form job.round.step.index.
// [ParseTaskRef] parses it.
func (task *Task) Name() string {
	return fmt.Sprintf("%s.%d.%d.%d", task.job.ID(), task.round, task.step, task.index)
}

// TaskRef identifies a task.
type TaskRef struct {
	Job   string
	Round int32
	Step  int32
	Index int32
}

// taskRefParts is the number of dot-separated parts of a task name.
const taskRefParts = 4

// ParseTaskRef parses a name returned by [Task.Name].
func ParseTaskRef(name string) (TaskRef, error) {
	parts := strings.Split(name, ".")
	if len(parts) != taskRefParts {
		return TaskRef{}, errors.Errorf("task name %q does not have the form job.round.step.index", name)
	}
	numbers := [taskRefParts - 1]int32{}
	for index, part := range parts[1:] {
		number, err := strconv.ParseInt(part, 10, 32)
		if err != nil {
			return TaskRef{}, errors.Wrapf(err, "parse task name %q", name)
		}
		numbers[index] = int32(number)
	}
	return TaskRef{Job: parts[0], Round: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}

// ShardOf returns the shard that a job belongs to, by a hash of its ID.
func ShardOf(id string, shards int) int { return int(xxhash.Sum64String(id) % uint64(shards)) }
