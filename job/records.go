package job

import (
	"iter"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"
)

// tasksPerRecord is the number of tasks whose progress one record holds if the progress of a job is divided. The record
// of a task takes some 100 bytes at most, beside its checkpoint and place, and the store takes records of 256 KiB.
const tasksPerRecord = 512

// recordSeparator separates the ID of a job from the number of a record in the key of a divided progress.
const recordSeparator = "/"

// TakeProgress returns the records to write, with their keys in [TopicRuns], after the job has changed.
//
// If divide is set, the progress of a job with many tasks is divided into records that fit the store, and only those are
// returned whose tasks have changed since the last call. Otherwise one record holds the whole progress.
func (job *Job) TakeProgress(divide bool) iter.Seq2[string, *Progress] {
	return func(yield func(string, *Progress) bool) {
		if !divide || len(job.changed) <= 1 {
			yield(job.ID(), job.Progress())
			return
		}
		for number, changed := range job.changed {
			// The first record is written in any case: it has the state of the job.
			if !changed && number > 0 {
				continue
			}
			job.changed[number] = false
			if !yield(job.recordKey(number), job.progressOf(job.recordTasks(number))) {
				return
			}
		}
	}
}

// MayFitRecord reports whether the progress of a submitted job can fit one record of up to maxBytes once all its tasks
// are done, which is when it is smallest. A job for which it can't never ends unless its progress is divided.
func MayFitRecord(submission *Submission, maxBytes int) bool {
	job := New(submission, 0)
	if len(job.changed) <= 1 {
		return true
	}
	for _, task := range job.tasks {
		task.attempt, task.state = 1, TaskState_TASK_DONE
	}
	return len(job.ID())+proto.Size(job.Progress()) <= maxBytes
}

// ProgressKeys returns the keys of all records that the progress of the job may have.
func (job *Job) ProgressKeys() []string {
	keys := []string{job.ID()}
	if len(job.changed) <= 1 {
		return keys
	}
	for number := range job.changed {
		keys = append(keys, job.recordKey(number))
	}
	return keys
}

// ProgressJob returns the ID of the job to which the record of a progress with a key belongs.
func ProgressJob(key string) string {
	id, _, _ := strings.Cut(key, recordSeparator)
	return id
}

func (job *Job) recordKey(number int) string {
	return job.ID() + recordSeparator + strconv.Itoa(number)
}

// recordTasks returns the tasks of a record of a divided progress.
func (job *Job) recordTasks(number int) []*Task {
	first := number * tasksPerRecord
	return job.tasks[first:min(first+tasksPerRecord, len(job.tasks))]
}

// markChanged has the record of a task taken by the next call of TakeProgress.
func (job *Job) markChanged(task *Task) {
	position := int(task.round)*job.tasksPerRound + job.firstTasks[task.step] + int(task.index)
	job.changed[position/tasksPerRecord] = true
}
