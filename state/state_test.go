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

// TestApplyGolden folds each testdata/*.records, one record to a line, and compares
// what became of each and the tasks at the end with its golden file.
func TestApplyGolden(t *testing.T) {
	files, err := filepath.Glob("testdata/*.records")
	if err != nil || len(files) == 0 {
		t.Fatalf("no cases: %v", err)
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
	folded := state.New()
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
		outcomes, err := folded.Apply(folded.NextOffset(), &record.Batch{Records: []*record.Record{rec}})
		if err != nil {
			t.Fatal(err)
		}
		verdict := "accepted"
		if !outcomes[0].IsAccepted() {
			verdict = "lost: " + string(outcomes[0].Reason())
		}
		fmt.Fprintf(&out, "%-22s %s\n", verdict, line)
	}
	for _, task := range folded.Tasks() {
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

func mustApply(t *testing.T, folded *state.State, batch *record.Batch) []state.Outcome {
	t.Helper()
	outcomes, err := folded.Apply(folded.NextOffset(), batch)
	if err != nil {
		t.Fatal(err)
	}
	return outcomes
}

// TestDuplicateBatchIgnored: an append whose answer was lost is sent again;
// its second copy changes nothing, also after a snapshot in between.
func TestDuplicateBatchIgnored(t *testing.T) {
	folded := state.New()
	forget := &record.Record{Id: "f", Format: 1, Body: &record.Record_TaskCancel{TaskCancel: &record.TaskCancel{Task: "a"}}}
	mustApply(t, folded, newBatch("b-1", newCreateRecord("a", 1)))
	mustApply(t, folded, newBatch("b-2", forget))
	mustApply(t, folded, newBatch("b-3", &record.Record{Id: "g", Format: 1, Body: &record.Record_TaskForget{TaskForget: &record.TaskForget{Task: "a"}}}))
	data, err := folded.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := state.Restore(data, state.LatestFormat)
	if err != nil {
		t.Fatal(err)
	}
	for name, each := range map[string]*state.State{"folded": folded, "restored": restored} {
		outcomes := mustApply(t, each, newBatch("b-1", newCreateRecord("a", 1)))
		if outcomes[0].Reason() != state.ReasonDuplicate || each.Task("a") != nil {
			t.Errorf("%s: the second copy was %q", name, outcomes[0].Reason())
		}
	}
}

// TestMixedFormats stands a reader that knows format 1 beside one that knows
// format 2, in both directions.
func TestMixedFormats(t *testing.T) {
	raise := &record.Record{Id: "raise", Format: 1, Body: &record.Record_FormatRaise{FormatRaise: &record.FormatRaise{Format: 2}}}
	t.Run("a newer record before the raise is passed over by both", func(t *testing.T) {
		older, newer := state.NewForFormat(1), state.NewForFormat(2)
		for _, folded := range []*state.State{older, newer} {
			mustApply(t, folded, newBatch("b-1", newCreateRecord("a", 2), newCreateRecord("b", 1)))
		}
		if older.Task("a") != nil || newer.Task("a") != nil || older.Task("b") == nil {
			t.Error("they differ, or one took the record")
		}
		assertEqualStates(t, older, newer)
	})
	t.Run("the older one stops at the raise and keeps what it had", func(t *testing.T) {
		older, newer := state.NewForFormat(1), state.NewForFormat(2)
		for _, folded := range []*state.State{older, newer} {
			mustApply(t, folded, newBatch("b-1", newCreateRecord("b", 1)))
		}
		before, err := older.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		raising := newBatch("b-2", newCreateRecord("c", 1), raise)
		var tooNew *state.FormatError
		if _, err := older.Apply(older.NextOffset(), raising); !errors.As(err, &tooNew) {
			t.Fatalf("got %v", err)
		}
		after, err := older.Snapshot()
		if err != nil || !bytes.Equal(before, after) {
			t.Errorf("the older reader's state changed (%v)", err)
		}
		mustApply(t, newer, raising)
		if outcomes := mustApply(t, newer, newBatch("b-3", newCreateRecord("a", 2))); !outcomes[0].IsAccepted() {
			t.Errorf("the newer reader lost the record: %s", outcomes[0].Reason())
		}
	})
	t.Run("the newer one reads what an older one wrote, raised or not", func(t *testing.T) {
		newer := state.NewForFormat(2)
		mustApply(t, newer, newBatch("b-1", newCreateRecord("a", 1)))
		mustApply(t, newer, newBatch("b-2", raise))
		mustApply(t, newer, newBatch("b-3", newCreateRecord("b", 1)))
		if newer.Task("a") == nil || newer.Task("b") == nil {
			t.Error("a record of the older format was not taken")
		}
	})
	t.Run("the older one does not restore the newer one's snapshot", func(t *testing.T) {
		newer := state.NewForFormat(2)
		mustApply(t, newer, newBatch("b-2", raise))
		data, err := newer.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		var tooNew *state.FormatError
		if _, err := state.Restore(data, 1); !errors.As(err, &tooNew) {
			t.Errorf("got %v", err)
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

// FuzzApply folds whatever bytes decode as a batch into two states, one of
// which goes through a snapshot first; they must stay the same.
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
		folded := state.New()
		mustApply(t, folded, newBatch("first", newCreateRecord("a", 1)))
		snapshot, err := folded.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		restored, err := state.Restore(snapshot, state.LatestFormat)
		if err != nil {
			t.Fatal(err)
		}
		_, one := folded.Apply(folded.NextOffset(), proto.Clone(batch).(*record.Batch))
		_, other := restored.Apply(restored.NextOffset(), proto.Clone(batch).(*record.Batch))
		if (one == nil) != (other == nil) {
			t.Fatalf("one failed: %v, %v", one, other)
		}
		assertEqualStates(t, folded, restored)
	})
}
