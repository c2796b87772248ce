package standin

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"ambertiller.example/ambertiller/logservice"
	"ambertiller.example/ambertiller/worker"
)

// errOutage is returned during an outage of the log. The call had no effect.
var errOutage = errors.New("the log is unavailable")

// errLostResponse is returned for an append that took effect.
var errLostResponse = errors.New("the response to the append was lost")

var _ logservice.Service = (*Log)(nil)

// Append implements logservice.Service without a network in between.
func (log *Log) Append(_ context.Context, stream string, data []byte) (int64, error) {
	result := log.append(stream, append([]byte(nil), data...), time.Now())
	switch {
	case result.down:
		return 0, errOutage
	case result.retryAfter > 0:
		return 0, &logservice.ThrottledError{RetryAfter: result.retryAfter}
	case result.responseLost:
		return 0, errLostResponse
	}
	return result.offset, nil
}

// Read implements logservice.Service without a network in between.
func (log *Log) Read(ctx context.Context, stream string, options logservice.ReadOptions) (logservice.Page, error) {
	page, available := log.waitRead(ctx, stream, options)
	if !available {
		return logservice.Page{}, errOutage
	}
	if options.From < page.Earliest {
		return logservice.Page{}, &logservice.TrimmedError{Earliest: page.Earliest}
	}
	return page, nil
}

// ExpireReads makes every waiting read return immediately, as if its wait time had elapsed.
func (log *Log) ExpireReads() {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.readExpirations++
	for _, stream := range log.streams {
		close(stream.appended)
		stream.appended = make(chan struct{})
	}
}

// DirectWorker calls a stand-in worker without a network in between. It does not support Follow; streams need
// the worker's HTTP interface.
type DirectWorker struct {
	target *Worker
}

// Direct returns a client that calls the worker without a network in between.
func (fake *Worker) Direct() *DirectWorker { return &DirectWorker{target: fake} }

var _ worker.Worker = (*DirectWorker)(nil)

// Capacity implements worker.Worker.
func (direct *DirectWorker) Capacity(context.Context) (worker.Capacity, error) {
	return direct.target.options.Capacity, nil
}

// Usage implements worker.Worker.
func (direct *DirectWorker) Usage(context.Context) (worker.Usage, error) {
	return direct.target.usage(), nil
}

// Tasks implements worker.Worker.
func (direct *DirectWorker) Tasks(context.Context) (worker.Listing, error) {
	return direct.target.listTasks(), nil
}

// Start implements worker.Worker.
func (direct *DirectWorker) Start(_ context.Context, start worker.StartRequest) error {
	stale, failure := direct.target.startTask(start, time.Now())
	switch {
	case stale:
		return worker.ErrStale
	case failure != "":
		return worker.NewRejectedError(failure)
	}
	return nil
}

// Stop implements worker.Worker.
func (direct *DirectWorker) Stop(_ context.Context, task string, attempt uint64) error {
	return direct.updateAttempt(task, attempt, requestStop)
}

// Throttle implements worker.Worker.
func (direct *DirectWorker) Throttle(_ context.Context, task string, attempt uint64, share float64) error {
	return direct.updateAttempt(task, attempt, func(state *taskState) { state.throttle = share })
}

// Renew implements worker.Worker.
func (direct *DirectWorker) Renew(_ context.Context, renewals []worker.Renewal) error {
	direct.target.renewLeases(renewals)
	return nil
}

// Forget implements worker.Worker.
func (direct *DirectWorker) Forget(_ context.Context, task string, attempt uint64) error {
	return direct.updateAttempt(task, attempt, direct.target.removeEnded)
}

// Follow implements worker.Worker. It always returns an error.
func (direct *DirectWorker) Follow(context.Context, string, uint64) (io.ReadCloser, error) {
	return nil, errors.New("a DirectWorker does not support streams; use the worker's HTTP interface")
}

// updateAttempt applies change to the state of an attempt. It returns worker.ErrStale unless the attempt is
// the task's current one.
func (direct *DirectWorker) updateAttempt(task string, attempt uint64, change func(state *taskState)) error {
	if !direct.target.updateAttempt(task, attempt, change) {
		return worker.ErrStale
	}
	return nil
}
