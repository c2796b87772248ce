package state

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Task returns a task, nil when there is none of that ID.
func (folded *State) Task(id string) *Task { return folded.tasks[id] }

// TaskCount returns the number of tasks that are kept, ended ones included.
func (folded *State) TaskCount() int { return len(folded.tasks) }

// PendingCount returns the number of tasks that wait for a worker.
func (folded *State) PendingCount() int { return len(folded.pendingTasks) }

// PendingCountOfKind returns the number of tasks of a kind that wait for a worker.
func (folded *State) PendingCountOfKind(kind string) int { return folded.pendingByKind[kind] }

// Pending returns the tasks that wait for a worker: by falling priority, then
// oldest first.
func (folded *State) Pending() []*Task {
	return slices.SortedFunc(maps.Values(folded.pendingTasks), func(a, b *Task) int {
		return cmp.Or(
			cmp.Compare(b.Spec().GetPriority(), a.Spec().GetPriority()),
			a.CreatedAt().Compare(b.CreatedAt()),
			cmp.Compare(a.ID(), b.ID()),
		)
	})
}

// TasksOnWorker returns the tasks that a worker holds, by ID.
func (folded *State) TasksOnWorker(worker string) []*Task {
	return slices.SortedFunc(maps.Values(folded.tasksByWorker[worker]), compareByID)
}

// Workers returns the names of the workers that hold tasks, sorted.
func (folded *State) Workers() []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(folded.tasksByWorker)) {
		if len(folded.tasksByWorker[name]) > 0 {
			names = append(names, name)
		}
	}
	return names
}

// Tasks returns every task, oldest first.
func (folded *State) Tasks() []*Task {
	return slices.SortedFunc(maps.Values(folded.tasks), func(a, b *Task) int {
		return cmp.Or(a.CreatedAt().Compare(b.CreatedAt()), compareByID(a, b))
	})
}

// EndedTaskIDs returns up to limit IDs of tasks that ended before the time.
func (folded *State) EndedTaskIDs(before time.Time, limit int) []string {
	var ids []string
	for id, task := range folded.endedTasks {
		if len(ids) == limit {
			break
		}
		if task.ChangedAt().Before(before) {
			ids = append(ids, id)
		}
	}
	return ids
}

func compareByID(a, b *Task) int { return cmp.Compare(a.ID(), b.ID()) }
