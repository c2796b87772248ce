package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"path"
	"runtime"

	"ambertiller.example/ambertiller/event"
)

// maxPanicFrames is how many callers of a fault are logged: enough to get from the
// runtime to the decision that failed.
const maxPanicFrames = 16

// logPanic is deferred by goroutines that must not fail: it logs a fault of the
// program as one line before the process ends of it. The line goes straight to
// standard output, since what passes lines on otherwise ends with the process.
func logPanic() {
	fault := recover()
	if fault == nil {
		return
	}
	if events, err := event.Open(os.Stdout, "json", "info"); err == nil {
		events.Log(context.Background(), event.ProcessFailed, slog.String("fault", fmt.Sprint(fault)), slog.Any("frames", panicFrames()))
	}
	panic(fault)
}

// panicFrames returns the places in the code that led to a fault, the nearest first.
func panicFrames() []string {
	// Callers, this function and logPanic say nothing, nor does the runtime, which
	// has raised the fault.
	const skipped = 3
	counters := make([]uintptr, maxPanicFrames)
	frames := runtime.CallersFrames(counters[:runtime.Callers(skipped, counters)])
	var places []string
	for {
		frame, more := frames.Next()
		if folder := path.Base(path.Dir(frame.File)); folder != "runtime" {
			places = append(places, fmt.Sprintf("%s/%s:%d", folder, path.Base(frame.File), frame.Line))
		}
		if !more {
			return places
		}
	}
}
