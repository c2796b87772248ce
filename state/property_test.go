package state_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"ambertiller.example/ambertiller/record"
	"ambertiller.example/ambertiller/state"
)

// drawRecord draws a record that is valid for some states only.
func drawRecord(t *rapid.T, number int) *record.Record {
	task := fmt.Sprintf("task-%d", rapid.IntRange(1, 3).Draw(t, "task"))
	worker := fmt.Sprintf("worker-%d", rapid.IntRange(1, 2).Draw(t, "worker"))
	attempt := rapid.Uint64Range(0, 4).Draw(t, "attempt")
	rec := &record.Record{Id: fmt.Sprint(number), Format: 1}
	switch rapid.IntRange(0, 9).Draw(t, "body") {
	case 0:
		rec = newCreateRecord(task, 1)
	case 1:
		rec.Body = &record.Record_TaskAssign{TaskAssign: &record.TaskAssign{Task: task, BasedOn: rapid.Uint64Range(0, 8).Draw(t, "based on"), Worker: worker, Incarnation: "i", LeaseNanos: 1}}
	case 2:
		rec.Body = &record.Record_TaskRunning{TaskRunning: &record.TaskRunning{Task: task, Attempt: attempt}}
	case 3:
		rec.Body = &record.Record_TaskFinish{TaskFinish: &record.TaskFinish{Task: task, Attempt: attempt}}
	case 4:
		rec.Body = &record.Record_TaskRelease{TaskRelease: &record.TaskRelease{Task: task, Attempt: attempt,
			Reason: record.ReleaseReason(rapid.IntRange(0, 4).Draw(t, "reason")), Suspicion: rapid.Uint64Range(0, 2).Draw(t, "suspicion")}}
	case 5:
		rec.Body = &record.Record_TaskCancel{TaskCancel: &record.TaskCancel{Task: task}}
	case 6:
		rec.Body = &record.Record_TaskEvict{TaskEvict: &record.TaskEvict{Task: task, Attempt: attempt}}
	case 7:
		rec.Body = &record.Record_WorkerDrain{WorkerDrain: &record.WorkerDrain{Worker: worker, Draining: rapid.Bool().Draw(t, "draining")}}
	case 8:
		rec.Body = &record.Record_WorkerSuspect{WorkerSuspect: &record.WorkerSuspect{Worker: worker, Cleared: rapid.Bool().Draw(t, "cleared"), Suspicion: rapid.Uint64Range(0, 2).Draw(t, "suspicion")}}
	case 9:
		rec.Body = &record.Record_TaskForget{TaskForget: &record.TaskForget{Task: task}}
	}
	return rec
}

// TestStateInvariants applies random records and checks after each that a task is
// held by at most one worker, that attempts and versions never decrease, that an
// ended task no longer changes, and that no new attempt begins while one is
// placed. A second state, restored from a snapshot at a random point, must end up
// equal.
func TestStateInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		st, other := state.New(), state.New()
		count := rapid.IntRange(1, 60).Draw(t, "count")
		snapshotAt := rapid.IntRange(0, count).Draw(t, "snapshot at")
		for number := range count {
			if number == snapshotAt {
				other = restoreFromSnapshot(t, other)
			}
			rec := drawRecord(t, number)
			before := summarize(st)
			batch := newBatch(fmt.Sprint("batch-", number), rec)
			if _, err := st.Apply(st.NextOffset(), batch); err != nil {
				t.Fatal(err)
			}
			if _, err := other.Apply(other.NextOffset(), batch); err != nil {
				t.Fatal(err)
			}
			checkInvariants(t, before, st, rec)
		}
		requireEqualStates(t, st, other)
	})
}

func restoreFromSnapshot(t *rapid.T, st *state.State) *state.State {
	data, err := st.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := state.Restore(data, state.LatestFormat)
	if err != nil {
		t.Fatal(err)
	}
	return restored
}

// taskSummary holds the values of a task that checkInvariants compares.
type taskSummary struct {
	version, attempt uint64
	phase            state.Phase
}

func summarize(st *state.State) map[string]taskSummary {
	summaries := map[string]taskSummary{}
	for _, task := range st.Tasks() {
		summaries[task.ID()] = taskSummary{task.Version(), task.Attempt(), task.Phase()}
	}
	return summaries
}

// checkInvariants compares the state after a record with the tasks before it.
func checkInvariants(t *rapid.T, before map[string]taskSummary, st *state.State, rec *record.Record) {
	holders := map[string]int{}
	for _, worker := range st.Workers() {
		for _, task := range st.TasksOnWorker(worker) {
			holders[task.ID()]++
			if !task.Phase().IsPlaced() || task.Worker() != worker {
				t.Fatalf("task %s is indexed under worker %s but is %s on %s", task.ID(), worker, task.Phase(), task.Worker())
			}
		}
	}
	for _, task := range st.Tasks() {
		was, known := before[task.ID()]
		if want := 0; task.Phase().IsPlaced() {
			want = 1
			if holders[task.ID()] != want {
				t.Fatalf("task %s is held by %d workers, want 1", task.ID(), holders[task.ID()])
			}
		}
		if known && (task.Version() < was.version || task.Attempt() < was.attempt) {
			t.Fatalf("version or attempt of task %s decreased after record %v", task.ID(), rec)
		}
		if known && was.phase.IsTerminal() && task.Version() != was.version {
			t.Fatalf("ended task %s was changed by record %v", task.ID(), rec)
		}
		if known && was.phase.IsPlaced() && task.Attempt() != was.attempt {
			t.Fatalf("task %s got a new attempt while one was placed, by record %v", task.ID(), rec)
		}
	}
}

func requireEqualStates(t *rapid.T, one, other *state.State) {
	a, err := one.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	b, err := other.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if string(a) != string(b) {
		t.Fatal("the state restored from a snapshot differs from the original")
	}
}
