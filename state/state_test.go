package state_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/sebdah/goldie/v2"
	"google.golang.org/protobuf/encoding/prototext"
	"google.golang.org/protobuf/proto"

	"ambertiller.example/ambertiller/record"
	"ambertiller.example/ambertiller/state"
)

// TestApplyGolden applies each testdata/*.records file, which has one record per
// line, and compares the outcome of every record and the final tasks with its
// golden file.
func TestApplyGolden(t *testing.T) {
	files, err := filepath.Glob("testdata/*.records")
	if err != nil || len(files) == 0 {
		t.Fatalf("no testdata/*.records files found: %v", err)
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".records")
		t.Run(name, func(t *testing.T) {
			content, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			goldie.New(t).Assert(t, name, []byte(applyLines(t, string(content))))
		})
	}
}

func applyLines(t *testing.T, content string) string {
	st := state.New()
	var out strings.Builder
	for number, line := range strings.Split(strings.TrimSpace(content), "\n") {
		if strings.HasPrefix(line, "#") {
			fmt.Fprintln(&out, line)
			continue
		}
		rec := &record.Record{Id: fmt.Sprint(number), Format: state.FirstFormat}
		if err := prototext.Unmarshal([]byte(line), rec); err != nil {
			t.Fatalf("line %d: %v", number+1, err)
		}
		outcomes, err := st.Apply(st.NextOffset(), &record.Batch{Records: []*record.Record{rec}})
		if err != nil {
			t.Fatal(err)
		}
		outcome := "accepted"
		if !outcomes[0].IsAccepted() {
			outcome = "lost: " + string(outcomes[0].Reason())
		}
		fmt.Fprintf(&out, "%-22s %s\n", outcome, line)
	}
	for _, task := range st.Tasks() {
		fmt.Fprintf(&out, "task %s: %s on %q, attempt %d, version %d, checkpoint %q, result %q: %s\n", task.ID(), task.Phase(),
			task.Worker(), task.Attempt(), task.Version(), task.Checkpoint(), task.Result(), task.Reason())
	}
	return out.String()
}

func newBatch(id string, records ...*record.Record) *record.Batch {
	return &record.Batch{Id: id, Records: records}
}

func newCreateRecord(task string, format uint32) *record.Record {
	return &record.Record{Id: "create-" + task, Format: format, Body: &record.Record_TaskCreate{TaskCreate: &record.TaskCreate{
		Task: task, Spec: &record.TaskSpec{Team: "councils", Kind: "transcription", Resources: &record.Resources{MilliCpu: 1000}},
	}}}
}

func mustApply(t *testing.T, st *state.State, batch *record.Batch) []state.Outcome {
	t.Helper()
	outcomes, err := st.Apply(st.NextOffset(), batch)
	if err != nil {
		t.Fatal(err)
	}
	return outcomes
}

// TestDuplicateBatchIgnored tests that a batch which is appended twice, because
// the response to the first append was lost, takes effect only once, also when
// a snapshot was restored in between.
func TestDuplicateBatchIgnored(t *testing.T) {
	st := state.New()
	cancel := &record.Record{Id: "f", Format: 1, Body: &record.Record_TaskCancel{TaskCancel: &record.TaskCancel{Task: "a"}}}
	mustApply(t, st, newBatch("b-1", newCreateRecord("a", 1)))
	mustApply(t, st, newBatch("b-2", cancel))
	mustApply(t, st, newBatch("b-3", &record.Record{Id: "g", Format: 1, Body: &record.Record_TaskForget{TaskForget: &record.TaskForget{Task: "a"}}}))
	data, err := st.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := state.Restore(data, state.LatestFormat)
	if err != nil {
		t.Fatal(err)
	}
	for name, replica := range map[string]*state.State{"original": st, "restored": restored} {
		outcomes := mustApply(t, replica, newBatch("b-1", newCreateRecord("a", 1)))
		if outcomes[0].Reason() != state.ReasonDuplicate || replica.Task("a") != nil {
			t.Errorf("%s: the duplicate was not ignored: reason %q", name, outcomes[0].Reason())
		}
	}
}

// TestMixedFormats applies the same log to a reader that supports format 1 and to
// one that supports format 2, as during a rolling upgrade.
func TestMixedFormats(t *testing.T) {
	raise := &record.Record{Id: "raise", Format: 1, Body: &record.Record_FormatRaise{FormatRaise: &record.FormatRaise{Format: 2}}}
	t.Run("both skip a record of format 2 before the raise", func(t *testing.T) {
		older, newer := state.NewForFormat(1), state.NewForFormat(2)
		for _, st := range []*state.State{older, newer} {
			mustApply(t, st, newBatch("b-1", newCreateRecord("a", 2), newCreateRecord("b", 1)))
		}
		if older.Task("a") != nil || newer.Task("a") != nil || older.Task("b") == nil {
			t.Error("a reader applied the record of format 2, or skipped the other one")
		}
		assertEqualStates(t, older, newer)
	})
	t.Run("the older reader stops at the raise with its state unchanged", func(t *testing.T) {
		older, newer := state.NewForFormat(1), state.NewForFormat(2)
		for _, st := range []*state.State{older, newer} {
			mustApply(t, st, newBatch("b-1", newCreateRecord("b", 1)))
		}
		before, err := older.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		raiseBatch := newBatch("b-2", newCreateRecord("c", 1), raise)
		var tooNew *state.FormatError
		if _, err := older.Apply(older.NextOffset(), raiseBatch); !errors.As(err, &tooNew) {
			t.Fatalf("got error %v, want a FormatError", err)
		}
		after, err := older.Snapshot()
		if err != nil || !bytes.Equal(before, after) {
			t.Errorf("the older reader's state changed (%v)", err)
		}
		mustApply(t, newer, raiseBatch)
		if outcomes := mustApply(t, newer, newBatch("b-3", newCreateRecord("a", 2))); !outcomes[0].IsAccepted() {
			t.Errorf("the newer reader rejected the record of format 2: %s", outcomes[0].Reason())
		}
	})
	t.Run("the newer reader applies records of format 1 before and after the raise", func(t *testing.T) {
		newer := state.NewForFormat(2)
		mustApply(t, newer, newBatch("b-1", newCreateRecord("a", 1)))
		mustApply(t, newer, newBatch("b-2", raise))
		mustApply(t, newer, newBatch("b-3", newCreateRecord("b", 1)))
		if newer.Task("a") == nil || newer.Task("b") == nil {
			t.Error("a record of format 1 was not applied")
		}
	})
	t.Run("the older reader rejects a snapshot of the newer one", func(t *testing.T) {
		newer := state.NewForFormat(2)
		mustApply(t, newer, newBatch("b-2", raise))
		data, err := newer.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		var tooNew *state.FormatError
		if _, err := state.Restore(data, 1); !errors.As(err, &tooNew) {
			t.Errorf("got error %v, want a FormatError", err)
		}
	})
}

func assertEqualStates(t *testing.T, one, other *state.State) {
	t.Helper()
	a, err := one.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	b, err := other.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(a, b) {
		t.Error("the states differ")
	}
}

// FuzzApply applies every input that decodes as a batch to two states, one of
// which was restored from a snapshot of the other. They must stay equal.
func FuzzApply(f *testing.F) {
	for _, batch := range []*record.Batch{
		newBatch("b", newCreateRecord("a", 1)),
		newBatch("", &record.Record{Format: 1, Body: &record.Record_Claim{Claim: &record.Claim{Key: "k", Holder: "h"}}}),
		newBatch("c", &record.Record{Format: 1, Body: &record.Record_Publish{Publish: &record.Publish{Document: "config", Content: []byte("x")}}}),
		newBatch("d", &record.Record{Format: 1}),
	} {
		data, err := proto.Marshal(batch)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		batch := &record.Batch{}
		if proto.Unmarshal(data, batch) != nil {
			return
		}
		st := state.New()
		mustApply(t, st, newBatch("first", newCreateRecord("a", 1)))
		snapshot, err := st.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		restored, err := state.Restore(snapshot, state.LatestFormat)
		if err != nil {
			t.Fatal(err)
		}
		_, originalErr := st.Apply(st.NextOffset(), proto.Clone(batch).(*record.Batch))
		_, restoredErr := restored.Apply(restored.NextOffset(), proto.Clone(batch).(*record.Batch))
		if (originalErr == nil) != (restoredErr == nil) {
			t.Fatalf("only one of the states returned an error: %v, %v", originalErr, restoredErr)
		}
		assertEqualStates(t, st, restored)
	})
}
