// Package worker is the platform's interface to one worker: what it has, what
// it runs, and the means to start, checkpoint, throttle and stop tasks.
//
// A worker runs each attempt of a task under a lease and stops an attempt whose
// lease ends. A lease is a point of the worker's own uptime, so that a message
// that was held up can't extend it. A worker refuses an attempt that is not
// newer than the newest it has seen of the same task, and one whose lease has
// ended.
//
// # Usage
//
//	client := worker.NewClient("http://127.0.2.1:7101", &http.Client{})
//	listing, err := client.Tasks(ctx)
//	err = client.Start(ctx, worker.StartRequest{Task: id, Attempt: 1, LeaseEnd: listing.Uptime + time.Minute})
//
// # Errors
//
// [ErrStale] and [RejectedError] say that nothing was started. After any other
// error of Start the attempt may be running; Tasks tells.
package worker

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
)

// ErrStale says that the worker knows an attempt that is as new or newer.
var ErrStale = errors.New("the worker knows a newer attempt of the task")

// RejectedError says that the worker refused or failed to start an attempt.
type RejectedError struct {
	message string
}

// Error implements error.
func (rejected *RejectedError) Error() string { return rejected.message }

// NewRejectedError returns the error of an attempt that was not started, and why.
func NewRejectedError(message string) error { return &RejectedError{message: message} }

// Phase is what a worker says of an attempt.
type Phase string

// The phases.
const (
	Running  Phase = "running"
	Stopping Phase = "stopping"
	Finished Phase = "finished"
	Failed   Phase = "failed"
	Stopped  Phase = "stopped"
	Lapsed   Phase = "lapsed"
)

// Capacity is what a worker has.
type Capacity struct {
	MilliCPU     int64  `json:"milli_cpu"`
	MemoryBytes  int64  `json:"memory_bytes"`
	Accelerators int64  `json:"accelerators"`
	Rack         string `json:"rack"`
}

// StartRequest asks for an attempt of a task.
type StartRequest struct {
	Task         string        `json:"task"`
	Attempt      uint64        `json:"attempt"`
	Team         string        `json:"team"`
	Kind         string        `json:"kind"`
	Name         string        `json:"name"`
	MilliCPU     int64         `json:"milli_cpu"`
	MemoryBytes  int64         `json:"memory_bytes"`
	Accelerators int64         `json:"accelerators"`
	RunTime      time.Duration `json:"run_time"`
	LeaseEnd     time.Duration `json:"lease_end"`
	Input        []byte        `json:"input,omitempty"`
	Checkpoint   []byte        `json:"checkpoint,omitempty"`
}

// Task is one attempt on a worker.
type Task struct {
	StartRequest
	Phase    Phase   `json:"phase"`
	Reason   string  `json:"reason,omitempty"`
	Result   []byte  `json:"result,omitempty"`
	Throttle float64 `json:"throttle"`
}

// Listing is what a worker runs, and its uptime at that moment.
type Listing struct {
	Uptime time.Duration `json:"uptime"`
	Tasks  []Task        `json:"tasks"`
}

// Renewal moves the end of a lease to a later point of the worker's uptime.
type Renewal struct {
	Task     string        `json:"task"`
	Attempt  uint64        `json:"attempt"`
	LeaseEnd time.Duration `json:"lease_end"`
}

// Usage is what a worker measured, a while ago.
type Usage struct {
	MilliCPU    int64         `json:"milli_cpu"`
	MemoryBytes int64         `json:"memory_bytes"`
	Lag         time.Duration `json:"lag"`
}

// Worker is the platform's interface to one worker.
type Worker interface {
	Capacity(ctx context.Context) (Capacity, error)
	Usage(ctx context.Context) (Usage, error)
	Tasks(ctx context.Context) (Listing, error)
	Start(ctx context.Context, start StartRequest) error
	// Stop checkpoints and stops an attempt. It returns before that is done.
	Stop(ctx context.Context, task string, attempt uint64) error
	// Throttle bounds an attempt to a share of its processors, 0 to 1.
	Throttle(ctx context.Context, task string, attempt uint64, share float64) error
	Renew(ctx context.Context, renewals []Renewal) error
	// Forget drops an attempt that has ended.
	Forget(ctx context.Context, task string, attempt uint64) error
	// Follow streams what a watch produces, as JSON lines of Output.
	Follow(ctx context.Context, task string, after uint64) (io.ReadCloser, error)
}

// Output is one line that a watch produced. Sequence goes on across attempts.
type Output struct {
	Attempt  uint64 `json:"attempt"`
	Sequence uint64 `json:"sequence"`
	Data     []byte `json:"data"`
	Last     bool   `json:"last"`
}
