// Package api holds the messages between entries and their callers and
// operators: the JSON bodies, the headers and the problem types.
//
// # Usage
//
//	request.Header.Set(api.HeaderTimeout, "2s")
//	request.Header.Set(api.HeaderRepeatable, "true")
//
//	var problem api.Problem
//	if response.Header.Get("Content-Type") == api.ProblemType { json.NewDecoder(response.Body).Decode(&problem) }
//
// # Outcomes
//
// A request ends in a whole answer, or in a problem whose Outcome is
// [OutcomeNotRun], which is proved, or [OutcomeUnknown], when it may have run.
package api

import "time"

// Headers of requests.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderTimeout        = "X-Request-Timeout"
	HeaderRepeatable     = "X-Request-Repeatable"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderTeam           = "X-Team"
	HeaderRetryAfter     = "Retry-After"
)

// ProblemType is the content type of problems, RFC 9457.
const ProblemType = "application/problem+json"

// Outcome says whether a request that got no answer has run.
type Outcome string

// The outcomes.
const (
	OutcomeNotRun  Outcome = "not run"
	OutcomeUnknown Outcome = "unknown"
)

const problemTypePrefix = "https://ambertiller.example/problems/"

// Problem types.
const (
	TypeNotRun           = problemTypePrefix + "not-run"
	TypeUnknown          = problemTypePrefix + "unknown"
	TypeAlreadyClaimed   = problemTypePrefix + "already-claimed"
	TypeBadRequest       = problemTypePrefix + "bad-request"
	TypeNotFound         = problemTypePrefix + "not-found"
	TypeConflict         = problemTypePrefix + "conflict"
	TypeCanNeverRun      = problemTypePrefix + "can-never-run"
	TypeLogUnavailable   = problemTypePrefix + "log-unavailable"
	TypeTooLarge         = problemTypePrefix + "too-large"
	TypeMethodNotAllowed = problemTypePrefix + "method-not-allowed"
)

// Problem is the body of every failure.
type Problem struct {
	Type       string  `json:"type"`
	Title      string  `json:"title"`
	Status     int     `json:"status"`
	Detail     string  `json:"detail,omitempty"`
	Outcome    Outcome `json:"outcome,omitempty"`
	RequestID  string  `json:"request_id,omitempty"`
	RetryAfter string  `json:"retry_after,omitempty"`
	Faults     []Fault `json:"faults,omitempty"`
}

// Error implements error.
func (problem *Problem) Error() string {
	text := problem.Title
	if problem.Detail != "" {
		text += ": " + problem.Detail
	}
	if problem.RetryAfter != "" {
		text += " (come back in " + problem.RetryAfter + ")"
	}
	return text
}

// Fault is one thing that is wrong in a document, with its place.
type Fault struct {
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Path    string `json:"path,omitempty"`
	Message string `json:"message"`
}

// TaskRequest asks for a batch job or a watch.
type TaskRequest struct {
	Team          string  `json:"team"`
	Kind          string  `json:"kind"`
	Name          string  `json:"name,omitempty"`
	Processors    float64 `json:"processors"`
	Memory        string  `json:"memory,omitempty"`
	Accelerators  int64   `json:"accelerators,omitempty"`
	Priority      *int32  `json:"priority,omitempty"`
	RunTime       string  `json:"run_time,omitempty"`
	Input         string  `json:"input,omitempty"`
	FailureDomain string  `json:"failure_domain,omitempty"`
}

// Task shows a task.
type Task struct {
	ID            string    `json:"id"`
	Team          string    `json:"team"`
	Kind          string    `json:"kind"`
	Name          string    `json:"name,omitempty"`
	Phase         string    `json:"phase"`
	Reason        string    `json:"reason,omitempty"`
	Worker        string    `json:"worker,omitempty"`
	Attempt       uint64    `json:"attempt"`
	Evictions     int       `json:"evictions"`
	StartFailures int       `json:"start_failures"`
	Processors    float64   `json:"processors"`
	MemoryBytes   int64     `json:"memory_bytes"`
	Accelerators  int64     `json:"accelerators"`
	Priority      int32     `json:"priority"`
	Policy        string    `json:"policy,omitempty"`
	CreatedAt     time.Time `json:"created"`
	ChangedAt     time.Time `json:"changed"`
}

// Result is what a finished task produced.
type Result struct {
	ID     string `json:"id"`
	Phase  string `json:"phase"`
	Reason string `json:"reason,omitempty"`
	Output string `json:"output"`
}

// Explanation says why a task is where it is, or what it waits for.
type Explanation struct {
	Task          Task         `json:"task"`
	Summary       string       `json:"summary"`
	Constraints   []Constraint `json:"constraints,omitempty"`
	WorkerCount   int          `json:"workers"`
	Candidate     string       `json:"candidate,omitempty"`
	Score         float64      `json:"score,omitempty"`
	RunnerUp      string       `json:"second,omitempty"`
	RunnerUpScore float64      `json:"second_score,omitempty"`
	Policy        string       `json:"policy"`
	PolicyError   string       `json:"policy_fault,omitempty"`
}

// Constraint counts the workers that a constraint leaves out.
type Constraint struct {
	Name            string `json:"name"`
	ExcludedWorkers int    `json:"workers"`
}

// ThrottleRequest bounds a running task to a share of its processors.
type ThrottleRequest struct {
	Share float64 `json:"share"`
}

// Worker shows a worker and what it carries.
type Worker struct {
	Name           string    `json:"name"`
	FailureDomain  string    `json:"failure_domain"`
	Rack           string    `json:"rack"`
	Service        string    `json:"service"`
	State          string    `json:"state"`
	Draining       bool      `json:"draining"`
	Processors     float64   `json:"processors"`
	FreeProcessors float64   `json:"free_processors"`
	MemoryBytes    int64     `json:"memory_bytes"`
	Accelerators   int64     `json:"accelerators"`
	SlotsUsed      int32     `json:"slots_used"`
	Slots          int32     `json:"slots"`
	Tasks          []string  `json:"tasks"`
	LastReportAt   time.Time `json:"heard_at"`
}

// DrainRequest begins or ends the drain of a worker.
type DrainRequest struct {
	Draining bool   `json:"draining"`
	Author   string `json:"author,omitempty"`
}

// PublishRequest publishes a version of a document.
type PublishRequest struct {
	BasedOn uint64 `json:"based_on"`
	Author  string `json:"author,omitempty"`
	Comment string `json:"comment,omitempty"`
	Content string `json:"content"`
}

// Document shows a version of a document.
type Document struct {
	Name      string    `json:"name"`
	Version   uint64    `json:"version"`
	Author    string    `json:"author,omitempty"`
	Comment   string    `json:"comment,omitempty"`
	WrittenAt time.Time `json:"written"`
	Content   string    `json:"content,omitempty"`
}

// CheckReport says what publishing a document would do.
type CheckReport struct {
	Valid            bool             `json:"valid"`
	Faults           []Fault          `json:"faults,omitempty"`
	CheckedDecisions int              `json:"decisions_checked"`
	Changes          []DecisionChange `json:"changes,omitempty"`
}

// DecisionChange is a decision that would be another one.
type DecisionChange struct {
	Task   string `json:"task"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// DocumentInForce says which instance decides by which version of a document.
type DocumentInForce struct {
	Instance string `json:"instance"`
	Role     string `json:"role"`
	Document string `json:"document"`
	Version  uint64 `json:"version"`
	Accepted uint64 `json:"accepted"`
}
