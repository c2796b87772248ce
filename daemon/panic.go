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

// maxPanicFrames limits the stack frames that are logged for a panic. They have to reach from the runtime to
// the decision that failed.
const maxPanicFrames = 16

// logPanic logs a panic as one line and panics again, which ends the process. The goroutines of services defer
// it. The line is written directly to standard output, because the goroutine that normally writes the log may
// not get to it before the process ends.
func logPanic() {
	value := recover()
	if value == nil {
		return
	}
	if events, err := event.Open(os.Stdout, "json", "info"); err == nil {
		events.Log(context.Background(), event.ProcessFailed, slog.String("fault", fmt.Sprint(value)), slog.Any("frames", panicFrames()))
	}
	panic(value)
}

// panicFrames returns the code locations on the stack of a panic, innermost first. It must be called by
// logPanic.
func panicFrames() []string {
	// runtime.Callers, this function and logPanic. Frames of package runtime, which raises the panic, are
	// left out below.
	const skippedFrames = 3
	pcs := make([]uintptr, maxPanicFrames)
	frames := runtime.CallersFrames(pcs[:runtime.Callers(skippedFrames, pcs)])
	var locations []string
	for {
		frame, more := frames.Next()
		if dir := path.Base(path.Dir(frame.File)); dir != "runtime" {
			locations = append(locations, fmt.Sprintf("%s/%s:%d", dir, path.Base(frame.File), frame.Line))
		}
		if !more {
			return locations
		}
	}
}
