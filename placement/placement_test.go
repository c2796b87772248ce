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

// newPolicies returns the policies with source in force, or the built-in policy if source is empty.
func newPolicies(t testing.TB, source string) placement.Policies {
	t.Helper()
	documents := document.NewActiveSet()
	if source != "" {
		if _, err := documents.Activate(document.Copy{Name: config.PolicyDocumentName(policy.Placement), Version: 1, Content: []byte(source)}); err != nil {
			t.Fatal(err)
		}
	}
	return placement.Policies{InForce: documents.PlacementPolicy(), BuiltIn: documents.BuiltInPolicy()}
}

// newWorker returns a worker with 32 processors, of which freeMilliCPU thousandths are free.
func newWorker(name string, freeMilliCPU int64) *placement.Worker {
	return &placement.Worker{
		Name: name, FailureDomain: "milano-a",
		Capacity:  placement.Resources{MilliCPU: 32_000, MemoryBytes: 64 << 30, Accelerators: 1},
		Committed: placement.Resources{MilliCPU: 32_000 - freeMilliCPU},
	}
}

func newTask(milliCPU int64) *placement.Task {
	return &placement.Task{ID: "t", Spec: &record.TaskSpec{Team: "councils", Kind: "transcription", Resources: &record.Resources{MilliCpu: milliCPU}}}
}

// TestDecide checks which worker is selected, and for which constraint workers are ruled out.
func TestDecide(t *testing.T) {
	tests := map[string]struct {
		source      string
		workers     []*placement.Worker
		change      func(task *placement.Task)
		want        string
		rejected    placement.Constraint
		usesBuiltIn bool
	}{
		"most free processors":        {"", []*placement.Worker{newWorker("a", 8000), newWorker("b", 30_000)}, nil, "b", "", false},
		"published policy":            {`worker.name == "a" ? 1 : 0`, []*placement.Worker{newWorker("a", 8000), newWorker("b", 30_000)}, nil, "a", "", false},
		"failing policy":              {`1 / 0 * worker.load`, []*placement.Worker{newWorker("a", 8000), newWorker("b", 30_000)}, nil, "b", "", true},
		"not enough free processors":  {"", []*placement.Worker{newWorker("a", 1000)}, nil, "", placement.NoProcessor, false},
		"draining":                    {"", []*placement.Worker{newBlockedWorker(placement.Draining)}, nil, "", placement.Draining, false},
		"suspected":                   {"", []*placement.Worker{newBlockedWorker(placement.Suspected)}, nil, "", placement.Suspected, false},
		"too few processors":          {"", []*placement.Worker{newWorker("a", 32_000)}, func(task *placement.Task) { task.Spec.Resources.MilliCpu = 40_000 }, "", placement.TooSmall, false},
		"other failure domain":        {"", []*placement.Worker{newWorker("a", 32_000)}, func(task *placement.Task) { task.Spec.FailureDomain = "bergamo" }, "", placement.OtherDomain, false},
		"too few accelerators":        {"", []*placement.Worker{newWorker("a", 32_000)}, func(task *placement.Task) { task.Spec.Resources.Accelerators = 2 }, "", placement.TooSmall, false},
		"refused recently":            {"", []*placement.Worker{newWorker("a", 32_000)}, func(task *placement.Task) { task.RefusedBy = []string{"a"} }, "", placement.Refused, false},
		"no workers":                  {"", nil, nil, "", "", false},
		"equal scores, first by name": {"1", []*placement.Worker{newWorker("b", 8000), newWorker("a", 8000)}, nil, "a", "", false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			task := newTask(4000)
			if test.change != nil {
				test.change(task)
			}
			decision := placement.NewWorkerSet(test.workers).Decide(policy.NewRunner(), newPolicies(t, test.source), task)
			if decision.Worker() != test.want || (decision.PolicyError() != nil) != test.usesBuiltIn {
				t.Errorf("placed on %q, policy error %v", decision.Worker(), decision.PolicyError())
			}
			if test.rejected != "" && decision.Rejected()[test.rejected] != len(test.workers) {
				t.Errorf("rejected %v", decision.Rejected())
			}
		})
	}
}

func newBlockedWorker(constraint placement.Constraint) *placement.Worker {
	worker := newWorker("a", 32_000)
	worker.BlockedBy = constraint
	return worker
}

// TestNeverOvercommits checks in random rounds of decisions that no worker is committed beyond its capacity,
// and that the same round run twice makes the same decisions.
func TestNeverOvercommits(t *testing.T) {
	policies := newPolicies(t, "")
	rapid.Check(t, func(t *rapid.T) {
		requested := rapid.SliceOfN(rapid.Int64Range(0, 20_000), 1, 30).Draw(t, "asked")
		free := rapid.SliceOfN(rapid.Int64Range(0, 32_000), 1, 5).Draw(t, "free")
		first, second := runRound(requested, free, policies), runRound(requested, free, policies)
		if first.trace != second.trace {
			t.Fatalf("first round: %s, second round: %s", first.trace, second.trace)
		}
		for _, worker := range first.workers {
			if worker.Committed.MilliCPU > worker.Capacity.MilliCPU {
				t.Fatalf("%s: committed %d of %d milli-CPUs", worker.Name, worker.Committed.MilliCPU, worker.Capacity.MilliCPU)
			}
		}
	})
}

// roundResult is the outcome of one round: the names of the selected workers, and the workers afterwards.
type roundResult struct {
	trace   string
	workers []*placement.Worker
}

// runRound places tasks that request the given processors, one after another, on workers with the given free
// ones, in thousandths.
func runRound(requested, free []int64, policies placement.Policies) roundResult {
	var workers []*placement.Worker
	for index, freeMilliCPU := range free {
		workers = append(workers, newWorker(fmt.Sprint("w", index), freeMilliCPU))
	}
	set, runner := placement.NewWorkerSet(workers), policy.NewRunner()
	var trace strings.Builder
	for _, milliCPU := range requested {
		task := newTask(milliCPU)
		decision := set.Decide(runner, policies, task)
		fmt.Fprint(&trace, decision.Worker(), " ")
		if decision.IsPlaced() {
			set.Reserve(decision.Worker(), task.Spec)
		}
	}
	return roundResult{trace: trace.String(), workers: workers}
}

// BenchmarkDecide measures one decision over 550 workers, the fleet size expected in two years.
func BenchmarkDecide(b *testing.B) {
	var workers []*placement.Worker
	for index := range 550 {
		workers = append(workers, newWorker(fmt.Sprint("w", index), int64(index%32)*1000))
	}
	set, runner, policies, task := placement.NewWorkerSet(workers), policy.NewRunner(), newPolicies(b, ""), newTask(4000)
	b.ReportAllocs()
	for b.Loop() {
		if !set.Decide(runner, policies, task).IsPlaced() {
			b.Fatal("not placed")
		}
	}
}
