package state

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Task returns the task with an ID, or nil if there is none.
func (s *State) Task(id string) *Task { return s.tasks[id] }

// TaskCount returns the number of tasks, including ended ones that are still kept.
func (s *State) TaskCount() int { return len(s.tasks) }

// PendingCount returns the number of tasks that wait for a worker.
func (s *State) PendingCount() int { return len(s.pendingTasks) }

// PendingCountOfKind returns the number of tasks of a kind that wait for a worker.
func (s *State) PendingCountOfKind(kind string) int { return s.pendingByKind[kind] }

// Pending returns the tasks that wait for a worker, by descending priority and
// within a priority oldest first.
func (s *State) Pending() []*Task {
	return slices.SortedFunc(maps.Values(s.pendingTasks), func(a, b *Task) int {
		return cmp.Or(
			cmp.Compare(b.Spec().GetPriority(), a.Spec().GetPriority()),
			a.CreatedAt().Compare(b.CreatedAt()),
			cmp.Compare(a.ID(), b.ID()),
		)
	})
}

// TasksOnWorker returns the tasks that a worker holds, sorted by ID.
func (s *State) TasksOnWorker(worker string) []*Task {
	return slices.SortedFunc(maps.Values(s.tasksByWorker[worker]), compareByID)
}

// Workers returns the names of the workers that hold tasks, sorted.
func (s *State) Workers() []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(s.tasksByWorker)) {
		if len(s.tasksByWorker[name]) > 0 {
			names = append(names, name)
		}
	}
	return names
}

// Tasks returns every task, oldest first.
func (s *State) Tasks() []*Task {
	return slices.SortedFunc(maps.Values(s.tasks), func(a, b *Task) int {
		return cmp.Or(a.CreatedAt().Compare(b.CreatedAt()), compareByID(a, b))
	})
}

// EndedTaskIDs returns up to limit IDs of tasks that ended before the given time.
func (s *State) EndedTaskIDs(before time.Time, limit int) []string {
	var ids []string
	for id, task := range s.endedTasks {
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
