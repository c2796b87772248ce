package job

// stepState sums up the tasks of one step in one round.
//
// Performance: a job may have 100,000 tasks in a step. Going over all of them for each task, worker or end would cost the
// square of that over the life of the job.
type stepState struct {
	// remaining is the number of tasks that are not done, waiting and started those in that state.
	remaining, waiting, started int
	// firstWaiting is an index before which no task waits.
	firstWaiting int
	// startedByAgent counts the started tasks by the address of their agent, nil until there is one.
	startedByAgent map[string]int32
	// highestAttempt is the highest attempt number of any task.
	highestAttempt int32
	// newestCheckpoint is the newest checkpoint that any task has had.
	newestCheckpoint string
	// failedAttempts holds the attempts under which any task has failed, nil until there is one.
	failedAttempts map[int32]bool
}

func newStepState(count int) stepState {
	return stepState{remaining: count, waiting: count}
}

// stepOf returns the state of the step and round of a task.
func (job *Job) stepOf(task *Task) *stepState {
	return &job.steps[job.stepIndex(task.round, task.step)]
}

// stepIndex returns the index of a step of a round in job.steps.
func (job *Job) stepIndex(round, step int32) int {
	return int(round)*len(job.submission.GetSteps()) + int(step)
}

// stepTasks returns the tasks of a step of a round, in the order of their indexes.
func (job *Job) stepTasks(round, step int32) []*Task {
	first := int(round)*job.tasksPerRound + job.firstTasks[step]
	last := first + int(job.submission.GetSteps()[step].GetCount())
	return job.tasks[first:last:last]
}

// StepTasks returns all tasks of the same step and round as task, including task itself. The caller must not change the
// slice.
func (job *Job) StepTasks(task *Task) []*Task { return job.stepTasks(task.round, task.step) }

// StartedOn returns how many tasks of the same step and round as task are started at the agent with an address.
func (job *Job) StartedOn(task *Task, agentAddress string) int32 {
	return job.stepOf(task).startedByAgent[agentAddress]
}

// setState changes the state of a task. The place of a task that becomes started must be set before.
func (job *Job) setState(task *Task, state TaskState) {
	job.markChanged(task)
	step := job.stepOf(task)
	job.addToState(step, task, -1)
	task.state = state
	job.addToState(step, task, 1)
	if state == TaskState_TASK_WAITING {
		step.firstWaiting = min(step.firstWaiting, int(task.index))
	}
}

// addToState adds a number to the count of the tasks in the state of a task.
func (job *Job) addToState(step *stepState, task *Task, number int) {
	switch task.state {
	case TaskState_TASK_WAITING:
		step.waiting += number
	case TaskState_TASK_STARTED:
		step.started += number
		job.started += number
		if step.startedByAgent == nil {
			step.startedByAgent = map[string]int32{}
		}
		address := task.place.AgentAddress
		step.startedByAgent[address] += int32(number)
		if step.startedByAgent[address] == 0 {
			delete(step.startedByAgent, address)
		}
	case TaskState_TASK_DONE:
		step.remaining -= number
	}
}

// setAttempt sets the attempt number of a task.
func (job *Job) setAttempt(task *Task, attempt int32) {
	job.markChanged(task)
	task.attempt = attempt
	step := job.stepOf(task)
	step.highestAttempt = max(step.highestAttempt, attempt)
}

// setCheckpoint sets the checkpoint of a task.
func (job *Job) setCheckpoint(task *Task, checkpoint string) {
	job.markChanged(task)
	task.checkpoint = checkpoint
	step := job.stepOf(task)
	step.newestCheckpoint = max(step.newestCheckpoint, checkpoint)
}

// setFailedAttempts sets the failed attempts of a task.
func (job *Job) setFailedAttempts(task *Task, attempts []int32) {
	job.markChanged(task)
	task.failedAttempts = attempts
	step := job.stepOf(task)
	if step.failedAttempts == nil && len(attempts) > 0 {
		step.failedAttempts = map[int32]bool{}
	}
	for _, attempt := range attempts {
		step.failedAttempts[attempt] = true
	}
}
