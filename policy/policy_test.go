package policy_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"ambertiller.example/ambertiller/examples"
	"ambertiller.example/ambertiller/policy"
)

var inputs = &policy.Inputs{
	Task:   policy.Task{Kind: "transcription", Processors: 4, Priority: 100},
	Worker: policy.Worker{Name: "worker-01", Processors: 32, FreeProcessors: 16, UsedProcessors: 8, Load: 0.25, FreeAccelerators: 1},
}

func TestScore(t *testing.T) {
	tests := map[string]struct {
		source string
		want   float64
		fails  bool
	}{
		"literal":          {"3", 3, false},
		"inputs":           {"worker.free_processors - task.processors", 12, false},
		"conditional":      {`task.kind == "transcription" ? 1 : 0`, 1, false},
		"functions":        {"min(worker.load, 1) + max(2, 1) + abs(-1)", 3.25, false},
		"built-in policy":  {policy.BuiltInPlacement, 0.15, false},
		"division by zero": {"worker.latency / worker.latency", 0, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			program, err := policy.Compile(test.source)
			if err != nil {
				t.Fatal(err)
			}
			score, err := policy.NewRunner().Score(program, inputs)
			if (err != nil) != test.fails || score != test.want {
				t.Errorf("got %g, %v", score, err)
			}
		})
	}
}

func TestCompileErrors(t *testing.T) {
	tests := map[string]struct {
		source       string
		line, column int
		want         string
	}{
		"unknown input":            {"1 +\n worker.nam", 2, 9, "no field nam"},
		"result of another type":   {`"high"`, 1, 1, "float64"},
		"loop over a range":        {"sum(map(1..1000000, #))", 1, 10, "range"},
		"disabled builtin":         {"len(filter([1], true))", 1, 1, "len"},
		"loop over a list":         {"all([1, 2], # > 0) ? 1 : 0", 1, 1, "walk"},
		"range":                    {"(1..1000000)[0]", 1, 3, "range"},
		"unexpected end":           {"worker.load >", 1, 13, "unexpected token EOF"},
		"too many nodes":           {strings.Repeat("1+", 500) + "1", 1, 1, "exceeds maximum"},
		"too many bytes":           {strings.Repeat(" ", 20_000) + "1", 1, 1, "16384"},
		"comparison with a string": {`worker.load > "high"`, 1, 13, "mismatched types"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := policy.Compile(test.source)
			var syntaxErr *policy.SyntaxError
			if !errors.As(err, &syntaxErr) {
				t.Fatalf("got %v", err)
			}
			if !strings.Contains(syntaxErr.Message, test.want) || (test.want != "" && (syntaxErr.Line != test.line)) {
				t.Errorf("got %v", syntaxErr)
			}
		})
	}
}

func TestExamplesCompile(t *testing.T) {
	for _, path := range []string{"verbalia/placement.expr", "sapporo/placement.expr"} {
		t.Run(path, func(t *testing.T) {
			content, err := examples.Files.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			program, err := policy.Compile(string(content))
			if err != nil {
				t.Fatal(err)
			}
			if _, err := policy.NewRunner().Score(program, inputs); err != nil {
				t.Error(err)
			}
		})
	}
}

// FuzzCompile checks that a program that compiles evaluates to a score or an error and never panics.
func FuzzCompile(f *testing.F) {
	for _, seed := range []string{"1", policy.BuiltInPlacement, "worker.nam", `task.kind == "x" ? 1 : 0`, "1/0", "[1][5]", "nil", "{}.a.b"} {
		f.Add(seed)
	}
	runner := policy.NewRunner()
	f.Fuzz(func(t *testing.T, source string) {
		program, err := policy.Compile(source)
		if err != nil {
			return
		}
		_, _ = runner.Score(program, inputs)
	})
}

// BenchmarkScore measures the cost of scoring one worker in a placement decision.
func BenchmarkScore(b *testing.B) {
	program, err := policy.Compile(policy.BuiltInPlacement)
	if err != nil {
		b.Fatal(err)
	}
	runner := policy.NewRunner()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := runner.Score(program, inputs); err != nil {
			b.Fatal(err)
		}
	}
}

func ExampleCompile() {
	_, err := policy.Compile("worker.free_processor")
	fmt.Println(err)
	// Output: 1:8: type policy.Worker has no field free_processor
}
