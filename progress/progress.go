// Package progress bounds how long a transfer may make no progress, instead of how long it may take. A transfer
// whose size is not bounded must not have a deadline as a whole: over a slow link it would never succeed, however
// often it is repeated.
//
// # Usage
//
//	watch, ctx := progress.NewWatch(ctx, wait+silence, silence)
//	defer watch.Stop()
//	response, err := client.Do(request.WithContext(ctx))
//	if err != nil {
//		return watch.Error(err)
//	}
//	defer response.Body.Close()
//	body, err := io.ReadAll(watch.Reader(response.Body))
//	if err != nil {
//		return watch.Error(err)
//	}
package progress

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"
)

// ErrSilent is the error of a transfer that made no progress for too long. It matches
// [context.DeadlineExceeded].
var ErrSilent = fmt.Errorf("nothing was received for too long: %w", context.DeadlineExceeded)

// Watch cancels the context of a transfer that makes no progress. It must be used by one goroutine only.
type Watch struct {
	ctx     context.Context //nolint:containedctx // Error needs the cause of the context that the watch cancels.
	cancel  context.CancelCauseFunc
	timer   *time.Timer
	silence time.Duration
}

// NewWatch returns a watch and the context for its transfer, which is cancelled if the response does not begin
// within first, or if it then pauses for longer than silence.
func NewWatch(ctx context.Context, first, silence time.Duration) (*Watch, context.Context) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(first, func() { cancel(ErrSilent) })
	return &Watch{ctx: ctx, cancel: cancel, timer: timer, silence: silence}, ctx
}

// Reader returns a reader of the response's body. The response has begun when Reader is called.
func (watch *Watch) Reader(body io.Reader) io.Reader {
	watch.timer.Reset(watch.silence)
	return &reader{watch: watch, body: body}
}

// Error returns ErrSilent if the transfer failed with err because it made no progress, otherwise err.
func (watch *Watch) Error(err error) error {
	if err != nil && errors.Is(context.Cause(watch.ctx), ErrSilent) {
		return ErrSilent
	}
	return err
}

// Stop ends the watch and cancels its context.
func (watch *Watch) Stop() {
	watch.timer.Stop()
	watch.cancel(context.Canceled)
}

// reader is a body whose watch is extended whenever bytes arrive.
type reader struct {
	watch *Watch
	body  io.Reader
}

// Read implements io.Reader.
func (r *reader) Read(data []byte) (int, error) {
	count, err := r.body.Read(data)
	if count > 0 {
		r.watch.timer.Reset(r.watch.silence)
	}
	return count, err
}
