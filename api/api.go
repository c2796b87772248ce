// Package api defines the HTTP API that entries serve to callers and operators: JSON bodies, headers and
// problem types.
//
// # Usage
//
//	request.Header.Set(api.HeaderTimeout, "2s")
//	request.Header.Set(api.HeaderRepeatable, "true")
//
//	var problem api.Problem
//	if response.Header.Get("Content-Type") == api.ProblemType {
//		err := json.NewDecoder(response.Body).Decode(&problem)
//	}
//
// # Outcomes
//
// The response to a request is either complete, or a problem that states an Outcome. [OutcomeNotRun] means
// that the request was certainly not run; [OutcomeUnknown] means that it may have been.
package api

import "time"

// Headers of requests and responses. The timeout is a Go duration such as 250ms, limited by the timeout of
// the service. Repeatable is true or false; a request that must not be repeated needs a request ID or an
// idempotency key.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderTimeout        = "X-Request-Timeout"
	HeaderRepeatable     = "X-Request-Repeatable"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderTeam           = "X-Team"
	HeaderRetryAfter     = "Retry-After"
)

// ProblemType is the content type of problems, as defined in RFC 9457.
const ProblemType = "application/problem+json"

// Outcome states whether a request without a complete response was run.
type Outcome string

// Outcomes of a request. A request whose outcome is unknown may have been run.
const (
	OutcomeNotRun  Outcome = "not run"
	OutcomeUnknown Outcome = "unknown"
)

const problemTypePrefix = "https://ambertiller.example/problems/"

// Types of problems.
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

// Problem is the body of every response that reports a failure.
type Problem struct {
	Type       string  `json:"type"`
	Title      string  `json:"title"`
	Status     int     `json:"status"`
	Detail     string  `json:"detail,omitempty"`
	Outcome    Outcome `json:"outcome,omitempty"`
	RequestID  string  `json:"request_id,omitempty"`
	RetryAfter string  `json:"retry_after,omitempty"` // a Go duration; the header has whole seconds
	Faults     []Fault `json:"faults,omitempty"`
}

// Error returns the title with the detail and the delay after which to retry, if there are any.
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

// Fault is an error in a document and its position.
type Fault struct {
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Path    string `json:"path,omitempty"`
	Message string `json:"message"`
}

// TaskRequest submits a batch job or a watch.
type TaskRequest struct {
	Team          string  `json:"team"`
	Kind          string  `json:"kind"`
	Name          string  `json:"name,omitempty"`
	Processors    float64 `json:"processors"`
	Memory        string  `json:"memory,omitempty"`
	Accelerators  int64   `json:"accelerators,omitempty"`
	Priority      *int32  `json:"priority,omitempty"`
	RunTime       string  `json:"run_time,omitempty"` // a Go duration such as 90s
	Input         string  `json:"input,omitempty"`
	FailureDomain string  `json:"failure_domain,omitempty"`
}

// Task describes a task and its current state.
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

// Result is the output of a finished task.
type Result struct {
	ID     string `json:"id"`
	Phase  string `json:"phase"`
	Reason string `json:"reason,omitempty"`
	Output string `json:"output"`
}

// Explanation explains why a task was placed on its worker, or what a pending task is waiting for. Candidate
// is the worker that a pending task would be placed on, and RunnerUp the one with the second-best score.
// PolicyError is set if the published policy failed, so that the built-in policy decided instead.
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

// Constraint is a placement constraint with the number of workers that it excludes.
type Constraint struct {
	Name            string `json:"name"`
	ExcludedWorkers int    `json:"workers"`
}

// ThrottleRequest limits a running task to a share of its processors, from 0 to 1.
type ThrottleRequest struct {
	Share float64 `json:"share"`
}

// Worker describes a worker, its capacity and its tasks.
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

// DrainRequest starts or ends the draining of a worker.
type DrainRequest struct {
	Draining bool   `json:"draining"`
	Author   string `json:"author,omitempty"`
}

// PublishRequest publishes a new version of a document, or checks what publishing it would change. A version
// is published only if BasedOn is the latest version, so that no other change is overwritten.
type PublishRequest struct {
	BasedOn uint64 `json:"based_on"`
	Author  string `json:"author,omitempty"`
	Comment string `json:"comment,omitempty"`
	Content string `json:"content"`
}

// Document is a published version of a document.
type Document struct {
	Name      string    `json:"name"`
	Version   uint64    `json:"version"`
	Author    string    `json:"author,omitempty"`
	Comment   string    `json:"comment,omitempty"`
	WrittenAt time.Time `json:"written"`
	Content   string    `json:"content,omitempty"`
}

// CheckReport is the result of checking a document without publishing it. For a placement policy, Changes
// lists the placement decisions that would change, out of CheckedDecisions.
type CheckReport struct {
	Valid            bool             `json:"valid"`
	Faults           []Fault          `json:"faults,omitempty"`
	CheckedDecisions int              `json:"decisions_checked"`
	Changes          []DecisionChange `json:"changes,omitempty"`
}

// DecisionChange is a placement decision that a policy would change. Before and After are names of workers, or
// empty if no worker is selected.
type DecisionChange struct {
	Task   string `json:"task"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// DocumentInForce is the version of a document that an instance uses. Accepted is the latest version that the
// platform's log has accepted.
type DocumentInForce struct {
	Instance string `json:"instance"`
	Role     string `json:"role"`
	Document string `json:"document"`
	Version  uint64 `json:"version"`
	Accepted uint64 `json:"accepted"`
}
