// Package policy runs the short programs in which operators say where work
// should go.
//
// A program is one expression of the expr language. It sees the task and one
// worker that could take it, and returns a score; the worker with the highest
// score gets the task. The language has no loops, and the functions that walk
// ranges or lists are left out here, so a program's cost is bounded by its
// length, which is bounded in turn.
//
// # Usage
//
//	program, err := policy.Compile(`worker.free_processors - 10 * worker.load`)
//	score, err := policy.NewRunner().Score(program, &policy.Inputs{Task: task, Worker: worker})
//
// # Inputs
//
// The fields of [Task] and [Worker], under the names in their tags. Memory is
// in GiB, times are in seconds, processors are counts.
package policy

import (
	"fmt"
	"math"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/ast"
	"github.com/expr-lang/expr/file"
	"github.com/expr-lang/expr/vm"
	"github.com/pkg/errors"
)

const (
	maxNodes       = 400
	maxSourceBytes = 16 << 10
	memoryBudget   = 10_000
)

// Placement is the name of the policy that places tasks.
const Placement = "placement"

// BuiltInPlacement scores when no policy is published or the published one fails: it
// prefers workers whose processors are least committed and whose service is
// least busy, and keeps accelerators for those who ask for them.
const BuiltInPlacement = `worker.free_processors / worker.processors - worker.load - (task.accelerators == 0 ? 0.1 * worker.free_accelerators : 0)`

// Task is what a program knows of the task.
type Task struct {
	Team           string  `expr:"team"`
	Kind           string  `expr:"kind"`
	Class          string  `expr:"class"`
	Priority       float64 `expr:"priority"`
	Processors     float64 `expr:"processors"`
	MemoryGiB      float64 `expr:"memory"`
	Accelerators   float64 `expr:"accelerators"`
	RunTimeSeconds float64 `expr:"run_time"`
	WaitSeconds    float64 `expr:"wait"`
	Attempts       float64 `expr:"attempts"`
}

// Worker is what a program knows of a worker that could take the task.
type Worker struct {
	Name             string  `expr:"name"`
	FailureDomain    string  `expr:"failure_domain"`
	Rack             string  `expr:"rack"`
	Processors       float64 `expr:"processors"`
	MemoryGiB        float64 `expr:"memory"`
	Accelerators     float64 `expr:"accelerators"`
	FreeProcessors   float64 `expr:"free_processors"`
	FreeMemoryGiB    float64 `expr:"free_memory"`
	FreeAccelerators float64 `expr:"free_accelerators"`
	UsedProcessors   float64 `expr:"used_processors"`
	Tasks            float64 `expr:"tasks"`
	Load             float64 `expr:"load"`
	LatencySeconds   float64 `expr:"latency"`
	StartFailures    float64 `expr:"start_failures"`
}

// Inputs is what a program decides from.
type Inputs struct {
	Task   Task   `expr:"task"`
	Worker Worker `expr:"worker"`
}

// Program is a compiled policy. It may be used by many goroutines.
type Program struct {
	source   string
	compiled *vm.Program
}

// SyntaxError says what is wrong in a program and where.
type SyntaxError struct {
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Message string `json:"message"`
}

// Error implements error.
func (syntax *SyntaxError) Error() string {
	return fmt.Sprintf("%d:%d: %s", syntax.Line, syntax.Column, syntax.Message)
}

// Compile checks a program's syntax and types.
func Compile(source string) (*Program, error) {
	if len(source) > maxSourceBytes {
		return nil, &SyntaxError{Line: 1, Column: 1, Message: fmt.Sprintf("the program has %d bytes; the most is %d", len(source), maxSourceBytes)}
	}
	compiled, err := expr.Compile(source,
		expr.Env(Inputs{}),
		expr.AsFloat64(),
		expr.MaxNodes(maxNodes),
		expr.DisableAllBuiltins(),
		expr.EnableBuiltin("min"),
		expr.EnableBuiltin("max"),
		expr.EnableBuiltin("abs"),
		expr.EnableBuiltin("floor"),
		expr.EnableBuiltin("ceil"),
	)
	if err != nil {
		return nil, syntaxError(err)
	}
	if err := checkCost(source, compiled); err != nil {
		return nil, err
	}
	return &Program{source: source, compiled: compiled}, nil
}

// checkCost refuses what makes a program's cost grow beyond its length. The
// case: the functions that walk a list with a predicate (all, map, sum, ...)
// are not among those that the language lets one disable.
func checkCost(source string, compiled *vm.Program) error {
	node := compiled.Node()
	found := &iterationFinder{}
	ast.Walk(&node, found)
	if found.message == "" {
		return nil
	}
	located := (&file.Error{Location: found.location}).Bind(file.NewSource(source))
	return &SyntaxError{Line: located.Line, Column: located.Column + 1, Message: found.message}
}

// iterationFinder finds the first part of a program that walks a list or a range.
type iterationFinder struct {
	message  string
	location file.Location
}

// Visit implements ast.Visitor.
func (found *iterationFinder) Visit(node *ast.Node) {
	switch part := (*node).(type) {
	case *ast.PredicateNode:
		found.report(part.Location(), "a policy can't walk lists; compare the inputs one by one")
	case *ast.BinaryNode:
		if part.Operator == ".." {
			found.report(part.Location(), "a policy can't make a range; compare the inputs one by one")
		}
	}
}

func (found *iterationFinder) report(location file.Location, message string) {
	if found.message == "" {
		found.message, found.location = message, location
	}
}

func syntaxError(err error) error {
	var located *file.Error
	if errors.As(err, &located) {
		return &SyntaxError{Line: located.Line, Column: located.Column + 1, Message: located.Message}
	}
	return &SyntaxError{Line: 1, Column: 1, Message: err.Error()}
}

// Source returns the program's text.
func (program *Program) Source() string { return program.source }

// Runner runs programs for one goroutine and reuses its memory.
type Runner struct {
	vm vm.VM
}

// NewRunner returns a Runner.
func NewRunner() *Runner {
	return &Runner{vm: vm.VM{MemoryBudget: memoryBudget}}
}

// Score runs a program. It fails when the program does, or when it returns
// something that can't be compared.
func (runner *Runner) Score(program *Program, inputs *Inputs) (float64, error) {
	value, err := runner.vm.Run(program.compiled, inputs)
	if err != nil {
		return 0, errors.Wrap(err, "the policy failed")
	}
	score, ok := value.(float64)
	if !ok || math.IsNaN(score) {
		return 0, errors.Errorf("the policy returned %v, which is not a score", value)
	}
	return score, nil
}
