package state

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Task returns a task, nil when there is none of that ID.
func (folded *State) Task(id string) *Task { return folded.tasks[id] }

// Size returns the number of tasks that are kept, ended ones included.
func (folded *State) Size() int { return len(folded.tasks) }

// PendingCount returns the number of tasks that wait for a worker.
func (folded *State) PendingCount() int { return len(folded.pending) }

// PendingOfKind returns the number of tasks of a kind that wait for a worker.
func (folded *State) PendingOfKind(kind string) int { return folded.pendingKinds[kind] }

// Pending returns the tasks that wait for a worker: by falling priority, then
// oldest first.
func (folded *State) Pending() []*Task {
	return slices.SortedFunc(maps.Values(folded.pending), func(a, b *Task) int {
		return cmp.Or(
			cmp.Compare(b.Spec().GetPriority(), a.Spec().GetPriority()),
			a.Created().Compare(b.Created()),
			cmp.Compare(a.ID(), b.ID()),
		)
	})
}

// OnWorker returns the tasks that a worker holds, by ID.
func (folded *State) OnWorker(worker string) []*Task {
	return slices.SortedFunc(maps.Values(folded.byWorker[worker]), byID)
}

// Workers returns the names of the workers that hold tasks, sorted.
func (folded *State) Workers() []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(folded.byWorker)) {
		if len(folded.byWorker[name]) > 0 {
			names = append(names, name)
		}
	}
	return names
}

// Tasks returns every task, oldest first.
func (folded *State) Tasks() []*Task {
	return slices.SortedFunc(maps.Values(folded.tasks), func(a, b *Task) int {
		return cmp.Or(a.Created().Compare(b.Created()), byID(a, b))
	})
}

// EndedBefore returns up to limit IDs of tasks that ended before the time.
func (folded *State) EndedBefore(before time.Time, limit int) []string {
	var ids []string
	for id, task := range folded.ended {
		if len(ids) == limit {
			break
		}
		if task.Changed().Before(before) {
			ids = append(ids, id)
		}
	}
	return ids
}

func byID(a, b *Task) int { return cmp.Compare(a.ID(), b.ID()) }
