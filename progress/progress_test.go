package progress_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"ambertiller.example/ambertiller/progress"
)

const (
	first   = 2 * time.Second
	silence = time.Second
)

// pausingBody delivers one byte after each of its pauses. It fails if its context ends meanwhile.
type pausingBody struct {
	ctx    context.Context //nolint:containedctx // a body is read under the context of its request.
	pauses []time.Duration
}

func (body *pausingBody) Read(data []byte) (int, error) {
	if len(body.pauses) == 0 {
		return 0, io.EOF
	}
	select {
	case <-body.ctx.Done():
		return 0, body.ctx.Err()
	case <-time.After(body.pauses[0]):
	}
	body.pauses = body.pauses[1:]
	return copy(data, "x"), nil
}

// repeat returns a list that holds pause count times.
func repeat(pause time.Duration, count int) []time.Duration {
	var pauses []time.Duration
	for range count {
		pauses = append(pauses, pause)
	}
	return pauses
}

// TestWatch runs transfers in a bubble.
func TestWatch(t *testing.T) {
	tests := map[string]struct {
		beginsAfter time.Duration
		pauses      []time.Duration
		cancelAfter time.Duration
		want        error
	}{
		"at once":                                 {beginsAfter: 0, pauses: repeat(0, 10)},
		"long, but never silent":                  {beginsAfter: 1900 * time.Millisecond, pauses: repeat(900*time.Millisecond, 100)},
		"never begins":                            {beginsAfter: time.Hour, want: progress.ErrSilent},
		"begins too late":                         {beginsAfter: 2100 * time.Millisecond, want: progress.ErrSilent},
		"begins late and is then silent":          {beginsAfter: 1900 * time.Millisecond, pauses: repeat(1100*time.Millisecond, 1), want: progress.ErrSilent},
		"silent after many bytes":                 {pauses: append(repeat(time.Millisecond, 1000), time.Hour), want: progress.ErrSilent},
		"cancelled by the caller":                 {pauses: repeat(900*time.Millisecond, 100), cancelAfter: 5 * time.Second, want: context.Canceled},
		"cancelled by the caller before it began": {beginsAfter: time.Hour, cancelAfter: time.Second, want: context.Canceled},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				if test.cancelAfter > 0 {
					time.AfterFunc(test.cancelAfter, cancel)
				}
				err := transfer(ctx, test.beginsAfter, test.pauses)
				if !errors.Is(err, test.want) {
					t.Errorf("got %v, want %v", err, test.want)
				}
				if isTimeout := errors.Is(err, context.DeadlineExceeded); isTimeout != errors.Is(test.want, progress.ErrSilent) {
					t.Errorf("%v counts as a deadline that passed: %v", err, isTimeout)
				}
			})
		})
	}
}

// transfer makes a call whose response begins after a time and pauses before each byte.
func transfer(ctx context.Context, beginsAfter time.Duration, pauses []time.Duration) error {
	watch, ctx := progress.NewWatch(ctx, first, silence)
	defer watch.Stop()
	select {
	case <-ctx.Done():
		return watch.Error(ctx.Err())
	case <-time.After(beginsAfter):
	}
	_, err := io.ReadAll(watch.Reader(&pausingBody{ctx: ctx, pauses: pauses}))
	return watch.Error(err)
}
