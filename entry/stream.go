package entry

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"ambertiller.example/ambertiller/api"
	"ambertiller.example/ambertiller/state"
	"ambertiller.example/ambertiller/wire"
)

const (
	headerLastEventID = "Last-Event-ID"
	followRetryDelay  = 200 * time.Millisecond
	// eventMoved tells a client to go on at another entry, eventEnd that the
	// watch is over.
	eventMoved  = "moved"
	eventEnd    = "end"
	eventOutput = "output"
)

// serveStream streams what a watch produces as server-sent events. The stream
// goes on when the watch is moved to another worker; each event's ID is the
// sequence number to go on from.
func (entry *Entry) serveStream(writer http.ResponseWriter, request *http.Request, id string) {
	after, sent := entry.parseStreamStart(request, id)
	if sent != nil {
		writeProblem(writer, sent)
		return
	}
	writer.Header().Set("Content-Type", "text/event-stream")
	writer.Header().Set("Cache-Control", "no-store")
	writer.WriteHeader(http.StatusOK)
	streaming := &watchStream{entry: entry, taskID: id, lastSequence: after, writer: writer, controller: http.NewResponseController(writer)}
	streaming.run(request.Context())
}

func (entry *Entry) parseStreamStart(request *http.Request, id string) (uint64, *api.Problem) {
	if entry.shuttingDown.Load() {
		return 0, notRunProblem(errShuttingDown.Error(), minRetryAfter)
	}
	var known bool
	entry.journal.View(func(folded *state.State) { known = folded.Task(id) != nil })
	if !known {
		return 0, notFoundProblem("no task has the ID " + strconv.Quote(id))
	}
	from := request.Header.Get(headerLastEventID)
	if from == "" {
		from = request.URL.Query().Get("after")
	}
	if from == "" {
		return 0, nil
	}
	after, err := strconv.ParseUint(from, 10, 64)
	if err != nil {
		return 0, badRequestProblem(headerLastEventID + " must be a sequence number")
	}
	return after, nil
}

// watchStream is one caller's stream of a watch.
type watchStream struct {
	entry        *Entry
	taskID       string
	lastSequence uint64
	writer       http.ResponseWriter
	controller   *http.ResponseController
}

func (streaming *watchStream) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-streaming.entry.shutdownStarted:
			cancel()
		case <-ctx.Done():
		}
	}()
	for ctx.Err() == nil {
		changed := streaming.entry.journal.Changed()
		address, ended := streaming.currentGuard()
		if ended {
			_ = streaming.sendEvent(eventEnd, nil)
			return
		}
		if address != "" {
			// A stream that breaks off is taken up again from where it got to.
			_ = streaming.follow(ctx, address)
		}
		streaming.waitForChange(ctx, changed)
	}
	if streaming.entry.shuttingDown.Load() {
		_ = streaming.sendEvent(eventMoved, nil)
	}
}

// waitForChange pauses until the state changes, or a moment has passed.
func (streaming *watchStream) waitForChange(ctx context.Context, changed <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-changed:
	case <-streaming.entry.options.Clock.After(followRetryDelay):
	}
}

// currentGuard returns the guard that runs the watch now, and whether it has ended.
func (streaming *watchStream) currentGuard() (address string, ended bool) {
	streaming.entry.journal.View(func(folded *state.State) {
		task := folded.Task(streaming.taskID)
		if task == nil || task.Phase().IsTerminal() {
			ended = true
			return
		}
		if !task.Phase().IsPlaced() {
			return
		}
		if guard := streaming.entry.view.Guard(task.Worker()); guard != nil {
			address = guard.Address()
		}
	})
	return address, ended
}

func (streaming *watchStream) follow(ctx context.Context, address string) error {
	client := wire.NewDRPCGuardClient(streaming.entry.options.Pool.Conn(address))
	stream, err := client.Follow(ctx, &wire.FollowRequest{Task: streaming.taskID, AfterSequence: streaming.lastSequence})
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	for {
		output, err := stream.Recv()
		if err != nil {
			return err
		}
		if output.GetLast() {
			return nil
		}
		if output.GetSequence() <= streaming.lastSequence {
			continue
		}
		streaming.lastSequence = output.GetSequence()
		if err := streaming.sendEvent(eventOutput, output.GetData()); err != nil {
			return err
		}
	}
}

// sendEvent writes one event and flushes it.
func (streaming *watchStream) sendEvent(name string, data []byte) error {
	text := strings.ReplaceAll(string(data), "\n", "\ndata: ")
	if _, err := fmt.Fprintf(streaming.writer, "id: %d\nevent: %s\ndata: %s\n\n", streaming.lastSequence, name, text); err != nil {
		return err
	}
	return streaming.controller.Flush()
}
