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

// serveWorkers lists the workers with their state, resources and tasks.
func (entry *Entry) serveWorkers(writer http.ResponseWriter) {
	now := entry.now()
	list := []api.Worker{}
	entry.journal.View(func(st *state.State) {
		for _, guard := range entry.view.Guards() {
			list = append(list, entry.apiWorker(st, guard, now))
		}
	})
	writeJSON(writer, http.StatusOK, list)
}

func (entry *Entry) apiWorker(st *state.State, guard *membership.Guard, now time.Time) api.Worker {
	worker := entry.placer.newPlacementWorker(st, guard, now)
	row := api.Worker{
		Name:           guard.Name(),
		FailureDomain:  guard.FailureDomain(),
		Rack:           guard.Rack(),
		Service:        guard.Service(),
		State:          entry.workerState(st, guard, now),
		Draining:       st.IsDraining(guard.Name()),
		Processors:     float64(worker.Capacity.MilliCPU) / millisPerCore,
		FreeProcessors: float64(worker.Capacity.MilliCPU-worker.Committed.MilliCPU) / millisPerCore,
		MemoryBytes:    worker.Capacity.MemoryBytes,
		Accelerators:   worker.Capacity.Accelerators,
		SlotsUsed:      guard.Load().GetSlotsUsed(),
		Slots:          guard.Load().GetSlots(),
		Tasks:          []string{},
		LastReportAt:   guard.LastReportAt().UTC(),
	}
	for _, task := range st.TasksOnWorker(guard.Name()) {
		row.Tasks = append(row.Tasks, task.ID())
	}
	return row
}

// workerState returns the state of the worker in the API.
func (entry *Entry) workerState(st *state.State, guard *membership.Guard, now time.Time) string {
	switch {
	case st.ActiveSuspicion(guard.Name()) != 0:
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

// isKnownWorker reports whether the worker's guard has reported to this entry or the
// state has the worker. The state is checked so that an entry that has just started
// can end the drain of a worker whose guard does not report.
func (entry *Entry) isKnownWorker(worker string) bool {
	known := entry.view.Guard(worker) != nil
	entry.journal.View(func(st *state.State) { known = known || st.HasWorker(worker) })
	return known
}

// serveDrain starts or ends the drain of a worker.
func (entry *Entry) serveDrain(writer http.ResponseWriter, request *http.Request, worker string) {
	var body api.DrainRequest
	if problem := decodeBody(writer, request, &body); problem != nil {
		writeProblem(writer, problem)
		return
	}
	if !entry.isKnownWorker(worker) {
		writeProblem(writer, notFoundProblem("no worker is named "+strconv.Quote(worker)+"; see `ambertiller workers`"))
		return
	}
	rec := changelog.NewRecord(entry.now())
	rec.Body = &record.Record_WorkerDrain{WorkerDrain: &record.WorkerDrain{Worker: worker, Draining: body.Draining, Author: body.Author}}
	outcome, ok := entry.appendOrRespond(writer, request, rec)
	if !ok {
		return
	}
	if outcome.IsAccepted() {
		entry.options.Events.Log(request.Context(), event.WorkerDrained, slog.String("worker", worker), slog.Bool("draining", body.Draining), slog.String("author", body.Author))
	}
	writeJSON(writer, http.StatusOK, body)
}
