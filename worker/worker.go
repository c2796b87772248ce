// Package worker is the platform's interface to one worker. It reports the worker's
// resources and tasks, and starts, checkpoints, throttles and stops tasks.
//
// A worker runs each attempt of a task under a lease and stops the attempt when its
// lease ends. The end of a lease is a point of the worker's own uptime, so that a
// delayed message can't extend it. A worker refuses an attempt that is not newer
// than the newest one it has seen of the same task, and one whose lease has ended.
//
// # Usage
//
//	client := worker.NewClient("http://127.0.2.1:7101", &http.Client{})
//	listing, err := client.Tasks(ctx)
//	err = client.Start(ctx, worker.StartRequest{Task: id, Attempt: 1, LeaseEnd: listing.Uptime + time.Minute})
//
// # Errors
//
// After [ErrStale] and [RejectedError] nothing was started. After any other error of
// Start the attempt may be running; Tasks shows whether it is.
package worker

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
)

// ErrStale is returned if the worker already knows the same attempt or a newer one.
var ErrStale = errors.New("the worker knows a newer attempt of the task")

// RejectedError is returned if the worker refused or failed to start an attempt. Its
// text is the worker's reason.
type RejectedError struct {
	message string
}

// Error implements error.
func (e *RejectedError) Error() string { return e.message }

// NewRejectedError returns the error of an attempt that was not started for the given reason.
func NewRejectedError(message string) error { return &RejectedError{message: message} }

// Phase is the phase of an attempt on a worker.
type Phase string

// The phases of an attempt. A lapsed attempt was stopped because its lease ended.
const (
	Running  Phase = "running"
	Stopping Phase = "stopping"
	Finished Phase = "finished"
	Failed   Phase = "failed"
	Stopped  Phase = "stopped"
	Lapsed   Phase = "lapsed"
)

// Capacity holds the resources and the rack of a worker.
type Capacity struct {
	MilliCPU     int64  `json:"milli_cpu"`
	MemoryBytes  int64  `json:"memory_bytes"`
	Accelerators int64  `json:"accelerators"`
	Rack         string `json:"rack"`
}

// StartRequest is the request to start an attempt of a task. LeaseEnd is a point of the
// worker's uptime.
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

// Task is an attempt that runs on a worker, or has ended and is not forgotten yet.
type Task struct {
	StartRequest
	Phase    Phase   `json:"phase"`
	Reason   string  `json:"reason,omitempty"`
	Result   []byte  `json:"result,omitempty"`
	Throttle float64 `json:"throttle"`
}

// Listing holds the attempts on a worker and its uptime when they were listed.
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

// Usage is the measured usage of a worker. The measurement lags behind by Lag.
type Usage struct {
	MilliCPU    int64         `json:"milli_cpu"`
	MemoryBytes int64         `json:"memory_bytes"`
	Lag         time.Duration `json:"lag"`
}

// Worker is the platform's interface to one worker.
type Worker interface {
	// Capacity returns the worker's resources.
	Capacity(ctx context.Context) (Capacity, error)
	// Usage returns the worker's last measurement of its usage.
	Usage(ctx context.Context) (Usage, error)
	// Tasks returns every attempt that runs, or has ended and is not forgotten.
	Tasks(ctx context.Context) (Listing, error)
	// Start starts an attempt.
	Start(ctx context.Context, start StartRequest) error
	// Stop begins to checkpoint and stop an attempt. It does not wait for the end.
	Stop(ctx context.Context, task string, attempt uint64) error
	// Throttle limits an attempt to a share of its processors, from 0 to 1.
	Throttle(ctx context.Context, task string, attempt uint64, share float64) error
	// Renew extends leases.
	Renew(ctx context.Context, renewals []Renewal) error
	// Forget makes the worker drop an attempt that has ended.
	Forget(ctx context.Context, task string, attempt uint64) error
	// Follow streams the outputs of a watch after a sequence number, as JSON lines of Output.
	Follow(ctx context.Context, task string, after uint64) (io.ReadCloser, error)
}

// Output is one output of a watch. Sequence numbers continue across attempts.
type Output struct {
	Attempt  uint64 `json:"attempt"`
	Sequence uint64 `json:"sequence"`
	Data     []byte `json:"data"`
	Last     bool   `json:"last"`
}
