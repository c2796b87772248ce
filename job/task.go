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

// Place is where a run was ordered.
type Place struct {
	// Incarnation is the incarnation of the worker.
	Incarnation incarnation.ID
	// AgentAddress is the address of the agent beside it.
	AgentAddress string
}

// Task is one task of a job.
type Task struct {
	job               *Job
	round             int32
	step              int32
	index             int32
	state             TaskState
	attempt           int32
	failedAttempts    []int32 // the attempts that ended failed, each once
	crashedAttempts   []int32 // the attempts after proven under which a worker crashed, each once
	ambiguousAttempts []int32 // the same where a suspect had just begun beside the run
	survivedAttempt   int32   // the last attempt that outlived its start
	// crashedAgents are the agents whose worker crashed under a run, as far as this owner knows.
	crashedAgents []string
	place         Place
	checkpoint    string
	// interruptions counts runs that were stopped or lost under this owner.
	interruptions int
	// refusals counts the starts in a row that were refused for want of room.
	refusals  int
	startedAt time.Time
	retryAt   time.Time
	// unplacedSince is when the task was first ready and found no place, zero if it did
	// not wait, and obstacle what it lacked.
	unplacedSince time.Time
	obstacle      string
}

// Job returns the job that the task belongs to.
func (task *Task) Job() *Job { return task.job }

// Spec returns what all tasks of the step have in common.
func (task *Task) Spec() *StepSpec { return task.job.submission.GetSteps()[task.step] }

// State returns the task's state.
func (task *Task) State() TaskState { return task.state }

// Attempt counts the starts of the task.
func (task *Task) Attempt() int32 { return task.attempt }

// Place returns where the task was last started.
func (task *Task) Place() Place { return task.place }

// Checkpoint returns the newest saved progress, empty for none.
func (task *Task) Checkpoint() string { return task.checkpoint }

// Interruptions counts the task's runs that were stopped or lost while its shard was
// with its present owner.
func (task *Task) Interruptions() int { return task.interruptions }

// AddRefusal notes that a start of the task was refused for want of room.
func (task *Task) AddRefusal() { task.refusals++ }

// Refusals counts the starts in a row that were refused for want of room.
func (task *Task) Refusals() int { return task.refusals }

// ResetRefusals notes that a run of the task has started.
func (task *Task) ResetRefusals() { task.refusals = 0 }

// StartedAt returns when the present run was decided on.
func (task *Task) StartedAt() time.Time { return task.startedAt }

// IsUnplaced reports whether the task has been ready and without a place.
func (task *Task) IsUnplaced() bool { return !task.unplacedSince.IsZero() }

// MarkUnplaced notes that the task is ready, and what keeps it from every place.
func (task *Task) MarkUnplaced(obstacle string, now time.Time) {
	task.unplacedSince = now
	task.obstacle = obstacle
}

// UnplacedFor returns for how long the task has been ready without a place, and what it
// lacked at the beginning.
func (task *Task) UnplacedFor(now time.Time) (waited time.Duration, obstacle string) {
	if !task.IsUnplaced() {
		return 0, ""
	}
	return now.Sub(task.unplacedSince), task.obstacle
}

// Round returns the round of a scheduled job, 0 otherwise.
func (task *Task) Round() int32 { return task.round }

// Step returns the number of the task's step.
func (task *Task) Step() int32 { return task.step }

// Name returns the task's name towards workers: job, round, step and index.
func (task *Task) Name() string {
	return fmt.Sprintf("%s.%d.%d.%d", task.job.ID(), task.round, task.step, task.index)
}

// TaskRef names a task.
type TaskRef struct {
	Job   string
	Round int32
	Step  int32
	Index int32
}

// taskRefParts counts the parts of a task's name.
const taskRefParts = 4

// ParseTaskRef reads a task's name.
func ParseTaskRef(name string) (TaskRef, error) {
	parts := strings.Split(name, ".")
	if len(parts) != taskRefParts {
		return TaskRef{}, errors.Errorf("the task name %q does not have the form job.round.step.index", name)
	}
	numbers := [taskRefParts - 1]int32{}
	for position, text := range parts[1:] {
		number, err := strconv.ParseInt(text, 10, 32)
		if err != nil {
			return TaskRef{}, errors.Wrapf(err, "number in the task name %q", name)
		}
		numbers[position] = int32(number)
	}
	return TaskRef{Job: parts[0], Round: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}

// ShardOf returns the shard that a job belongs to.
func ShardOf(id string, shards int) int { return int(xxhash.Sum64String(id) % uint64(shards)) }
