package state_test

import (
	"fmt"
	"testing"

	"ambertiller.example/ambertiller/record"
	"ambertiller.example/ambertiller/state"
)

// taskLifecycle returns the records of a task from its creation to its removal,
// each in a batch of its own.
func taskLifecycle(number int) []*record.Batch {
	id := fmt.Sprintf("8f0b8b4e-6f0e-4c55-9a3e-%012d", number)
	worker := fmt.Sprintf("worker-%03d", number%550)
	records := []*record.Record{
		newCreateRecord(id, 1),
		{Id: id + "2", Format: 1, Body: &record.Record_TaskAssign{TaskAssign: &record.TaskAssign{Task: id, BasedOn: 1, Worker: worker, Incarnation: "i", LeaseNanos: 1}}},
		{Id: id + "3", Format: 1, Body: &record.Record_TaskRunning{TaskRunning: &record.TaskRunning{Task: id, Attempt: 1}}},
		{Id: id + "4", Format: 1, Body: &record.Record_TaskFinish{TaskFinish: &record.TaskFinish{Task: id, Attempt: 1, Result: []byte("done")}}},
		{Id: id + "5", Format: 1, Body: &record.Record_TaskForget{TaskForget: &record.TaskForget{Task: id}}},
	}
	batches := make([]*record.Batch, 0, len(records))
	for _, rec := range records {
		batches = append(batches, newBatch(rec.GetId(), rec))
	}
	return batches
}

// newRunningState returns a state with the given number of running tasks.
func newRunningState(tb testing.TB, tasks int) *state.State {
	tb.Helper()
	st := state.New()
	for number := range tasks {
		for _, batch := range taskLifecycle(number)[:3] {
			if _, err := st.Apply(st.NextOffset(), batch); err != nil {
				tb.Fatal(err)
			}
		}
	}
	return st
}

// BenchmarkFold applies one record to a state with 5,000 running tasks, the size
// expected after two years.
func BenchmarkFold(b *testing.B) {
	st := newRunningState(b, 5000)
	number := 1_000_000
	var batches []*record.Batch
	b.ReportAllocs()
	for b.Loop() {
		if len(batches) == 0 {
			b.StopTimer()
			for range 1000 {
				batches = append(batches, taskLifecycle(number)...)
				number++
			}
			b.StartTimer()
		}
		if _, err := st.Apply(st.NextOffset(), batches[0]); err != nil {
			b.Fatal(err)
		}
		batches = batches[1:]
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "records/s")
}

// BenchmarkSnapshot encodes a state with 1,000 running tasks.
func BenchmarkSnapshot(b *testing.B) {
	st := newRunningState(b, 1000)
	b.ReportAllocs()
	for b.Loop() {
		data, err := st.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		b.SetBytes(int64(len(data)))
	}
}

// BenchmarkRestore decodes a snapshot with 1,000 running tasks.
func BenchmarkRestore(b *testing.B) {
	data, err := newRunningState(b, 1000).Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	b.SetBytes(int64(len(data)))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := state.Restore(data, state.LatestFormat); err != nil {
			b.Fatal(err)
		}
	}
}
