// Package policy compiles and evaluates placement policies: short programs with which operators control where
// tasks are placed.
//
// A program is one expression of the expr language (github.com/expr-lang/expr). Its inputs are a task and a
// worker that could run it, and its result is a score; the task is placed on the worker with the highest
// score. The language has no loops, and this package rejects ranges and the functions that iterate over
// lists. The cost of a program is therefore bounded by its length, which is limited too.
//
// # Usage
//
//	program, err := policy.Compile(`worker.free_processors - 10 * worker.load`)
//	score, err := policy.NewRunner().Score(program, &policy.Inputs{Task: task, Worker: worker})
//
// # Inputs
//
// A program reads the fields of [Task] and [Worker] by the names in their tags. Memory is in GiB, times are
// in seconds, and processors are counts.
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
	// maxNodes limits the nodes of a program's syntax tree.
	maxNodes       = 400
	maxSourceBytes = 16 << 10
	// memoryBudget limits the elements of lists and maps that one evaluation may create.
	memoryBudget = 10_000
)

// Placement is the name of the policy that scores workers for the placement of a task.
const Placement = "placement"

// BuiltInPlacement is the source of the placement policy that is used if no policy is published or the
// published one fails. It prefers workers with the largest share of free processors and the least loaded
// service, and keeps workers with accelerators for tasks that need them.
const BuiltInPlacement = `worker.free_processors / worker.processors - worker.load - (task.accelerators == 0 ? 0.1 * worker.free_accelerators : 0)`

// Task holds the inputs that describe the task to be placed.
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

// Worker holds the inputs that describe a worker that could run the task.
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

// Inputs holds all inputs of a program.
type Inputs struct {
	Task   Task   `expr:"task"`
	Worker Worker `expr:"worker"`
}

// Program is a compiled policy. It is safe for concurrent use.
type Program struct {
	source   string
	compiled *vm.Program
}

// SyntaxError describes an error in the source of a program and its position. Lines and columns start at 1.
type SyntaxError struct {
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Message string `json:"message"`
}

// Error implements error.
func (syntaxErr *SyntaxError) Error() string {
	return fmt.Sprintf("%d:%d: %s", syntaxErr.Line, syntaxErr.Column, syntaxErr.Message)
}

// Compile parses a program, checks its types and cost, and compiles it. Every error is a [*SyntaxError].
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

// checkCost rejects programs whose cost is not bounded by their length. It is needed because the functions
// that apply a predicate to each element of a list (all, map, sum and others) are not among the builtins that
// expr.DisableAllBuiltins disables.
func checkCost(source string, compiled *vm.Program) error {
	node := compiled.Node()
	finder := &iterationFinder{}
	ast.Walk(&node, finder)
	if finder.message == "" {
		return nil
	}
	located := (&file.Error{Location: finder.location}).Bind(file.NewSource(source))
	return &SyntaxError{Line: located.Line, Column: located.Column + 1, Message: finder.message}
}

// iterationFinder is an ast.Visitor that finds the first node that iterates over a list or makes a range.
type iterationFinder struct {
	message  string
	location file.Location
}

// Visit implements ast.Visitor.
func (finder *iterationFinder) Visit(node *ast.Node) {
	switch node := (*node).(type) {
	case *ast.PredicateNode:
		finder.report(node.Location(), "a policy can't walk lists; compare the inputs one by one")
	case *ast.BinaryNode:
		if node.Operator == ".." {
			finder.report(node.Location(), "a policy can't make a range; compare the inputs one by one")
		}
	}
}

func (finder *iterationFinder) report(location file.Location, message string) {
	if finder.message == "" {
		finder.message, finder.location = message, location
	}
}

func syntaxError(err error) error {
	var located *file.Error
	if errors.As(err, &located) {
		return &SyntaxError{Line: located.Line, Column: located.Column + 1, Message: located.Message}
	}
	return &SyntaxError{Line: 1, Column: 1, Message: err.Error()}
}

// Source returns the source of the program.
func (program *Program) Source() string { return program.source }

// Runner evaluates programs and reuses memory between evaluations. It must not be used concurrently.
type Runner struct {
	vm vm.VM
}

// NewRunner returns a Runner whose evaluations are limited in memory.
func NewRunner() *Runner {
	return &Runner{vm: vm.VM{MemoryBudget: memoryBudget}}
}

// Score evaluates a program. It returns an error if the evaluation fails, or if the result can't be compared
// with other scores, as is the case for NaN.
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
