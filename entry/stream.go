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
	// eventMoved tells the caller to resume at another entry, and eventEnd that
	// the watch has ended.
	eventMoved  = "moved"
	eventEnd    = "end"
	eventOutput = "output"
)

// serveStream streams the output of a watch as server-sent events. The stream
// continues when the watch moves to another worker. The ID of each event is the
// sequence number after which a caller can resume.
func (entry *Entry) serveStream(writer http.ResponseWriter, request *http.Request, id string) {
	lastSequence, problem := entry.parseStreamStart(request, id)
	if problem != nil {
		writeProblem(writer, problem)
		return
	}
	writer.Header().Set("Content-Type", "text/event-stream")
	writer.Header().Set("Cache-Control", "no-store")
	writer.WriteHeader(http.StatusOK)
	stream := &watchStream{entry: entry, taskID: id, lastSequence: lastSequence, writer: writer, controller: http.NewResponseController(writer)}
	stream.run(request.Context())
}

// parseStreamStart returns the sequence number after which the stream starts: that
// of the Last-Event-ID header, or else of the query parameter "after", or else 0.
func (entry *Entry) parseStreamStart(request *http.Request, id string) (uint64, *api.Problem) {
	if entry.shuttingDown.Load() {
		return 0, notRunProblem(errShuttingDown.Error(), minRetryAfter)
	}
	var exists bool
	entry.journal.View(func(st *state.State) { exists = st.Task(id) != nil })
	if !exists {
		return 0, notFoundProblem("no task has the ID " + strconv.Quote(id))
	}
	lastEvent := request.Header.Get(headerLastEventID)
	if lastEvent == "" {
		lastEvent = request.URL.Query().Get("after")
	}
	if lastEvent == "" {
		return 0, nil
	}
	lastSequence, err := strconv.ParseUint(lastEvent, 10, 64)
	if err != nil {
		return 0, badRequestProblem(headerLastEventID + " must be a sequence number")
	}
	return lastSequence, nil
}

// watchStream streams a watch to one caller.
type watchStream struct {
	entry        *Entry
	taskID       string
	lastSequence uint64
	writer       http.ResponseWriter
	controller   *http.ResponseController
}

// run relays output until the watch ends, the caller disconnects, or the entry shuts
// down.
func (s *watchStream) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-s.entry.shutdownStarted:
			cancel()
		case <-ctx.Done():
		}
	}()
	for ctx.Err() == nil {
		changed := s.entry.journal.Changed()
		address, ended := s.currentGuard()
		if ended {
			_ = s.sendEvent(eventEnd, nil)
			return
		}
		if address != "" {
			// The next pass of the loop resumes an interrupted stream after
			// lastSequence.
			_ = s.follow(ctx, address)
		}
		s.waitForChange(ctx, changed)
	}
	if s.entry.shuttingDown.Load() {
		_ = s.sendEvent(eventMoved, nil)
	}
}

// waitForChange waits until the state changes, for at most followRetryDelay.
func (s *watchStream) waitForChange(ctx context.Context, changed <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-changed:
	case <-s.entry.options.Clock.After(followRetryDelay):
	}
}

// currentGuard returns the address of the guard that runs the watch, or "" if it is
// not placed, and whether the watch has ended.
func (s *watchStream) currentGuard() (address string, ended bool) {
	s.entry.journal.View(func(st *state.State) {
		task := st.Task(s.taskID)
		if task == nil || task.Phase().IsTerminal() {
			ended = true
			return
		}
		if !task.Phase().IsPlaced() {
			return
		}
		if guard := s.entry.view.Guard(task.Worker()); guard != nil {
			address = guard.Address()
		}
	})
	return address, ended
}

// follow relays the output of one attempt until that attempt's output or the
// connection to its guard ends. Output that was sent before is skipped.
func (s *watchStream) follow(ctx context.Context, address string) error {
	client := wire.NewDRPCGuardClient(s.entry.options.Pool.Conn(address))
	stream, err := client.Follow(ctx, &wire.FollowRequest{Task: s.taskID, AfterSequence: s.lastSequence})
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
		if output.GetSequence() <= s.lastSequence {
			continue
		}
		s.lastSequence = output.GetSequence()
		if err := s.sendEvent(eventOutput, output.GetData()); err != nil {
			return err
		}
	}
}

// sendEvent writes and flushes one event. Each line of the data gets a field of its
// own, as the format of server-sent events requires.
func (s *watchStream) sendEvent(name string, data []byte) error {
	text := strings.ReplaceAll(string(data), "\n", "\ndata: ")
	if _, err := fmt.Fprintf(s.writer, "id: %d\nevent: %s\ndata: %s\n\n", s.lastSequence, name, text); err != nil {
		return err
	}
	return s.controller.Flush()
}
