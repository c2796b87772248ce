package entry

import (
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"ambertiller.example/ambertiller/api"
	"ambertiller.example/ambertiller/changelog"
	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/membership"
	"ambertiller.example/ambertiller/record"
	"ambertiller.example/ambertiller/state"
)

// serveWorkers lists the workers and what each carries.
func (entry *Entry) serveWorkers(writer http.ResponseWriter) {
	now := entry.now()
	listed := []api.Worker{}
	entry.journal.View(func(folded *state.State) {
		for _, guard := range entry.view.Guards() {
			listed = append(listed, entry.apiWorker(folded, guard, now))
		}
	})
	writeJSON(writer, http.StatusOK, listed)
}

func (entry *Entry) apiWorker(folded *state.State, guard *membership.Guard, now time.Time) api.Worker {
	laid := entry.placer.newPlacementWorker(folded, guard, now)
	shown := api.Worker{
		Name:           guard.Name(),
		FailureDomain:  guard.FailureDomain(),
		Rack:           guard.Rack(),
		Service:        guard.Service(),
		State:          entry.workerState(folded, guard, now),
		Draining:       folded.IsDraining(guard.Name()),
		Processors:     float64(laid.Capacity.MilliCPU) / millisPerCore,
		FreeProcessors: float64(laid.Capacity.MilliCPU-laid.Committed.MilliCPU) / millisPerCore,
		MemoryBytes:    laid.Capacity.MemoryBytes,
		Accelerators:   laid.Capacity.Accelerators,
		SlotsUsed:      guard.Load().GetSlotsUsed(),
		Slots:          guard.Load().GetSlots(),
		Tasks:          []string{},
		LastReportAt:   guard.LastReportAt().UTC(),
	}
	for _, task := range folded.TasksOnWorker(guard.Name()) {
		shown.Tasks = append(shown.Tasks, task.ID())
	}
	return shown
}

func (entry *Entry) workerState(folded *state.State, guard *membership.Guard, now time.Time) string {
	switch {
	case folded.ActiveSuspicion(guard.Name()) != 0:
		return "suspected"
	case entry.view.HasTimedOut(guard, now):
		return "silent"
	case guard.IsLeaving():
		return "leaving"
	case !guard.IsReady():
		return "not ready"
	}
	return "ready"
}

// isKnownWorker reports whether the worker's guard has been heard, or the state
// speaks of the worker: an entry that has just started must still be able to
// end the drain of a worker whose guard is silent.
func (entry *Entry) isKnownWorker(worker string) bool {
	known := entry.view.Guard(worker) != nil
	entry.journal.View(func(folded *state.State) { known = known || folded.HasWorker(worker) })
	return known
}

// serveDrain begins or ends the drain of a worker.
func (entry *Entry) serveDrain(writer http.ResponseWriter, request *http.Request, worker string) {
	var asked api.DrainRequest
	if sent := decodeBody(writer, request, &asked); sent != nil {
		writeProblem(writer, sent)
		return
	}
	if !entry.isKnownWorker(worker) {
		writeProblem(writer, notFoundProblem("no worker is named "+strconv.Quote(worker)+"; see `ambertiller workers`"))
		return
	}
	rec := changelog.NewRecord(entry.now())
	rec.Body = &record.Record_WorkerDrain{WorkerDrain: &record.WorkerDrain{Worker: worker, Draining: asked.Draining, Author: asked.Author}}
	outcome, done := entry.appendOrRespond(writer, request, rec)
	if !done {
		return
	}
	if outcome.IsAccepted() {
		entry.options.Events.Log(request.Context(), event.WorkerDrained, slog.String("worker", worker), slog.Bool("draining", asked.Draining), slog.String("author", asked.Author))
	}
	writeJSON(writer, http.StatusOK, asked)
}
