package placement_test

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"ambertiller.example/ambertiller/config"
	"ambertiller.example/ambertiller/document"
	"ambertiller.example/ambertiller/placement"
	"ambertiller.example/ambertiller/policy"
	"ambertiller.example/ambertiller/record"
)

func policies(t testing.TB, source string) placement.Policies {
	t.Helper()
	shelf := document.NewShelf()
	if source != "" {
		if _, err := shelf.Offer(document.Copy{Name: config.PolicyDocument(policy.Placement), Version: 1, Content: []byte(source)}); err != nil {
			t.Fatal(err)
		}
	}
	return placement.Policies{InForce: shelf.Placement(), BuiltIn: shelf.BuiltIn()}
}

func workerOf(name string, free int64) *placement.Worker {
	return &placement.Worker{
		Name: name, FailureDomain: "milano-a",
		Capacity:  placement.Amount{MilliCPU: 32_000, MemoryBytes: 64 << 30, Accelerators: 1},
		Committed: placement.Amount{MilliCPU: 32_000 - free},
	}
}

func taskOf(milliCPU int64) *placement.Task {
	return &placement.Task{ID: "t", Spec: &record.TaskSpec{Team: "councils", Kind: "transcription", Resources: &record.Resources{MilliCpu: milliCPU}}}
}

func TestDecide(t *testing.T) {
	tests := map[string]struct {
		source   string
		workers  []*placement.Worker
		change   func(task *placement.Task)
		want     string
		rejected placement.Constraint
		fellBack bool
	}{
		"most room":             {"", []*placement.Worker{workerOf("a", 8000), workerOf("b", 30_000)}, nil, "b", "", false},
		"by the policy":         {`worker.name == "a" ? 1 : 0`, []*placement.Worker{workerOf("a", 8000), workerOf("b", 30_000)}, nil, "a", "", false},
		"a failing policy":      {`1 / 0 * worker.load`, []*placement.Worker{workerOf("a", 8000), workerOf("b", 30_000)}, nil, "b", "", true},
		"nothing free":          {"", []*placement.Worker{workerOf("a", 1000)}, nil, "", placement.NoProcessor, false},
		"draining":              {"", []*placement.Worker{blocked(placement.Draining)}, nil, "", placement.Draining, false},
		"suspected":             {"", []*placement.Worker{blocked(placement.Suspected)}, nil, "", placement.Suspected, false},
		"too small":             {"", []*placement.Worker{workerOf("a", 32_000)}, func(task *placement.Task) { task.Spec.Resources.MilliCpu = 40_000 }, "", placement.TooSmall, false},
		"other failure domain":  {"", []*placement.Worker{workerOf("a", 32_000)}, func(task *placement.Task) { task.Spec.FailureDomain = "bergamo" }, "", placement.OtherDomain, false},
		"accelerator":           {"", []*placement.Worker{workerOf("a", 32_000)}, func(task *placement.Task) { task.Spec.Resources.Accelerators = 2 }, "", placement.TooSmall, false},
		"refused lately":        {"", []*placement.Worker{workerOf("a", 32_000)}, func(task *placement.Task) { task.RefusedBy = []string{"a"} }, "", placement.Refused, false},
		"no workers":            {"", nil, nil, "", "", false},
		"equal scores, by name": {"1", []*placement.Worker{workerOf("b", 8000), workerOf("a", 8000)}, nil, "a", "", false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			task := taskOf(4000)
			if test.change != nil {
				test.change(task)
			}
			decision := placement.NewBoard(test.workers).Decide(policy.NewRunner(), policies(t, test.source), task)
			if decision.Worker() != test.want || (decision.PolicyFailure() != nil) != test.fellBack {
				t.Errorf("got %q, %v", decision.Worker(), decision.PolicyFailure())
			}
			if test.rejected != "" && decision.Rejected()[test.rejected] != len(test.workers) {
				t.Errorf("rejected %v", decision.Rejected())
			}
		})
	}
}

func blocked(constraint placement.Constraint) *placement.Worker {
	made := workerOf("a", 32_000)
	made.Blocked = constraint
	return made
}

// TestBoardNeverOverfills draws rounds of decisions: no worker is given more
// than it has, and the same round decides the same twice.
func TestBoardNeverOverfills(t *testing.T) {
	inForce := policies(t, "")
	rapid.Check(t, func(t *rapid.T) {
		asked := rapid.SliceOfN(rapid.Int64Range(0, 20_000), 1, 30).Draw(t, "asked")
		free := rapid.SliceOfN(rapid.Int64Range(0, 32_000), 1, 5).Draw(t, "free")
		first, second := roundOf(asked, free, inForce), roundOf(asked, free, inForce)
		if first.trace != second.trace {
			t.Fatalf("%s and then %s", first.trace, second.trace)
		}
		for _, each := range first.workers {
			if each.Committed.MilliCPU > each.Capacity.MilliCPU {
				t.Fatalf("%s carries %d of %d", each.Name, each.Committed.MilliCPU, each.Capacity.MilliCPU)
			}
		}
	})
}

type roundResult struct {
	trace   string
	workers []*placement.Worker
}

func roundOf(asked, free []int64, inForce placement.Policies) roundResult {
	var workers []*placement.Worker
	for index, each := range free {
		workers = append(workers, workerOf(fmt.Sprint("w", index), each))
	}
	board, runner := placement.NewBoard(workers), policy.NewRunner()
	var trace strings.Builder
	for _, milliCPU := range asked {
		task := taskOf(milliCPU)
		decision := board.Decide(runner, inForce, task)
		fmt.Fprint(&trace, decision.Worker(), " ")
		if decision.Placed() {
			board.Take(decision.Worker(), task.Spec)
		}
	}
	return roundResult{trace: trace.String(), workers: workers}
}

// BenchmarkDecide is one decision over the workers of the two-year size.
func BenchmarkDecide(b *testing.B) {
	var workers []*placement.Worker
	for index := range 550 {
		workers = append(workers, workerOf(fmt.Sprint("w", index), int64(index%32)*1000))
	}
	board, runner, inForce, task := placement.NewBoard(workers), policy.NewRunner(), policies(b, ""), taskOf(4000)
	b.ReportAllocs()
	for b.Loop() {
		if !board.Decide(runner, inForce, task).Placed() {
			b.Fatal("not placed")
		}
	}
}
