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

func newPolicies(t testing.TB, source string) placement.Policies {
	t.Helper()
	shelf := document.NewShelf()
	if source != "" {
		if _, err := shelf.Offer(document.Copy{Name: config.PolicyDocument(policy.Placement), Version: 1, Content: []byte(source)}); err != nil {
			t.Fatal(err)
		}
	}
	return placement.Policies{InForce: shelf.Placement(), BuiltIn: shelf.BuiltIn()}
}

func newWorker(name string, free int64) *placement.Worker {
	return &placement.Worker{
		Name: name, FailureDomain: "milano-a",
		Capacity:  placement.Resources{MilliCPU: 32_000, MemoryBytes: 64 << 30, Accelerators: 1},
		Committed: placement.Resources{MilliCPU: 32_000 - free},
	}
}

func newTask(milliCPU int64) *placement.Task {
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
		"most room":             {"", []*placement.Worker{newWorker("a", 8000), newWorker("b", 30_000)}, nil, "b", "", false},
		"by the policy":         {`worker.name == "a" ? 1 : 0`, []*placement.Worker{newWorker("a", 8000), newWorker("b", 30_000)}, nil, "a", "", false},
		"a failing policy":      {`1 / 0 * worker.load`, []*placement.Worker{newWorker("a", 8000), newWorker("b", 30_000)}, nil, "b", "", true},
		"nothing free":          {"", []*placement.Worker{newWorker("a", 1000)}, nil, "", placement.NoProcessor, false},
		"draining":              {"", []*placement.Worker{newBlockedWorker(placement.Draining)}, nil, "", placement.Draining, false},
		"suspected":             {"", []*placement.Worker{newBlockedWorker(placement.Suspected)}, nil, "", placement.Suspected, false},
		"too small":             {"", []*placement.Worker{newWorker("a", 32_000)}, func(task *placement.Task) { task.Spec.Resources.MilliCpu = 40_000 }, "", placement.TooSmall, false},
		"other failure domain":  {"", []*placement.Worker{newWorker("a", 32_000)}, func(task *placement.Task) { task.Spec.FailureDomain = "bergamo" }, "", placement.OtherDomain, false},
		"accelerator":           {"", []*placement.Worker{newWorker("a", 32_000)}, func(task *placement.Task) { task.Spec.Resources.Accelerators = 2 }, "", placement.TooSmall, false},
		"refused lately":        {"", []*placement.Worker{newWorker("a", 32_000)}, func(task *placement.Task) { task.RefusedBy = []string{"a"} }, "", placement.Refused, false},
		"no workers":            {"", nil, nil, "", "", false},
		"equal scores, by name": {"1", []*placement.Worker{newWorker("b", 8000), newWorker("a", 8000)}, nil, "a", "", false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			task := newTask(4000)
			if test.change != nil {
				test.change(task)
			}
			decision := placement.NewWorkerSet(test.workers).Decide(policy.NewRunner(), newPolicies(t, test.source), task)
			if decision.Worker() != test.want || (decision.PolicyError() != nil) != test.fellBack {
				t.Errorf("got %q, %v", decision.Worker(), decision.PolicyError())
			}
			if test.rejected != "" && decision.Rejected()[test.rejected] != len(test.workers) {
				t.Errorf("rejected %v", decision.Rejected())
			}
		})
	}
}

func newBlockedWorker(constraint placement.Constraint) *placement.Worker {
	made := newWorker("a", 32_000)
	made.BlockedBy = constraint
	return made
}

// TestNeverOvercommits draws rounds of decisions: no worker is given more
// than it has, and the same round decides the same twice.
func TestNeverOvercommits(t *testing.T) {
	inForce := newPolicies(t, "")
	rapid.Check(t, func(t *rapid.T) {
		asked := rapid.SliceOfN(rapid.Int64Range(0, 20_000), 1, 30).Draw(t, "asked")
		free := rapid.SliceOfN(rapid.Int64Range(0, 32_000), 1, 5).Draw(t, "free")
		first, second := runRound(asked, free, inForce), runRound(asked, free, inForce)
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

func runRound(asked, free []int64, inForce placement.Policies) roundResult {
	var workers []*placement.Worker
	for index, each := range free {
		workers = append(workers, newWorker(fmt.Sprint("w", index), each))
	}
	board, runner := placement.NewWorkerSet(workers), policy.NewRunner()
	var trace strings.Builder
	for _, milliCPU := range asked {
		task := newTask(milliCPU)
		decision := board.Decide(runner, inForce, task)
		fmt.Fprint(&trace, decision.Worker(), " ")
		if decision.IsPlaced() {
			board.Reserve(decision.Worker(), task.Spec)
		}
	}
	return roundResult{trace: trace.String(), workers: workers}
}

// BenchmarkDecide is one decision over the workers of the two-year size.
func BenchmarkDecide(b *testing.B) {
	var workers []*placement.Worker
	for index := range 550 {
		workers = append(workers, newWorker(fmt.Sprint("w", index), int64(index%32)*1000))
	}
	board, runner, inForce, task := placement.NewWorkerSet(workers), policy.NewRunner(), newPolicies(b, ""), newTask(4000)
	b.ReportAllocs()
	for b.Loop() {
		if !board.Decide(runner, inForce, task).IsPlaced() {
			b.Fatal("not placed")
		}
	}
}
