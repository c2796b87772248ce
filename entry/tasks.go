package entry

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"ambertiller.example/ambertiller/api"
	"ambertiller.example/ambertiller/changelog"
	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/placement"
	"ambertiller.example/ambertiller/policy"
	"ambertiller.example/ambertiller/record"
	"ambertiller.example/ambertiller/state"
)

const (
	millisPerCore   = 1000
	maxProcessors   = 1 << 20
	maxAccelerators = 1 << 16
	maxPriority     = 1000
	maxRunTime      = 30 * 24 * time.Hour
	// taskIDNamespace makes a task's ID out of its team and key, so that the same
	// submission is the same task whichever entry takes it.
	taskIDNamespace = "8f0b8b4e-6f0e-4c55-9a3e-5d7f2b1c9a10"
)

// serveSubmit accepts a batch job or a watch.
func (entry *Entry) serveSubmit(writer http.ResponseWriter, request *http.Request) {
	var asked api.TaskRequest
	if sent := decodeBody(writer, request, &asked); sent != nil {
		writeProblem(writer, sent)
		return
	}
	created, task, sent := entry.submit(request.Context(), &asked, request.Header.Get(api.HeaderIdempotencyKey))
	if sent != nil {
		writeProblem(writer, sent)
		return
	}
	status := http.StatusOK
	if created {
		status = http.StatusCreated
		writer.Header().Set("Location", "/v1/tasks/"+task.ID)
	}
	writeJSON(writer, status, task)
}

// submit accepts a task into the log. A second submission with the same team
// and key returns the first one's task.
func (entry *Entry) submit(ctx context.Context, asked *api.TaskRequest, key string) (bool, *api.Task, *api.Problem) {
	spec, sent := entry.parseSpec(asked)
	if sent != nil {
		return false, nil, sent
	}
	if len(key) > maxNameBytes {
		return false, nil, badRequestProblem(api.HeaderIdempotencyKey + " has at most " + strconv.Itoa(maxNameBytes) + " bytes")
	}
	if key == "" {
		key = uuid.NewString()
	}
	id := taskID(spec.GetTeam(), key)
	if task, sent := entry.existingTask(id, spec); task != nil || sent != nil {
		return false, task, sent
	}
	if sent := entry.checkFeasible(spec); sent != nil {
		return false, nil, sent
	}
	if sent := entry.checkPendingLimit(spec); sent != nil {
		return false, nil, sent
	}
	rec := changelog.NewRecord(entry.now())
	rec.Body = &record.Record_TaskCreate{TaskCreate: &record.TaskCreate{Task: id, Spec: spec, IdempotencyKey: key}}
	outcome, sent := entry.appendChange(ctx, rec)
	if sent != nil {
		return false, nil, sent
	}
	task, sent := entry.existingTask(id, spec)
	if sent == nil && task == nil {
		return false, nil, badRequestProblem("the log did not accept the task: " + string(outcome.Reason()))
	}
	if outcome.IsAccepted() {
		entry.options.Events.Log(ctx, event.TaskSubmitted, slog.String("task", id), slog.String("team", spec.GetTeam()), slog.String("kind", spec.GetKind()))
	}
	return outcome.IsAccepted(), task, sent
}

func taskID(team, key string) string {
	return uuid.NewSHA1(uuid.MustParse(taskIDNamespace), []byte(team+"\x00"+key)).String()
}

// existingTask returns the task of an ID, and a conflict when it was submitted
// with another specification.
func (entry *Entry) existingTask(id string, spec *record.TaskSpec) (*api.Task, *api.Problem) {
	var found *api.Task
	var sent *api.Problem
	entry.journal.View(func(folded *state.State) {
		task := folded.Task(id)
		if task == nil {
			return
		}
		if !proto.Equal(task.Spec(), spec) {
			sent = newProblem(http.StatusConflict, api.TypeConflict, "The key was used for another task", "task "+id+" has another specification; use another "+api.HeaderIdempotencyKey)
			return
		}
		found = apiTask(task)
	})
	return found, sent
}

// parseSpec checks what was asked for, all of it at once.
func (entry *Entry) parseSpec(asked *api.TaskRequest) (*record.TaskSpec, *api.Problem) {
	settings := entry.documents.Config()
	if settings == nil {
		return nil, notRunProblem(errNoConfig.Error(), defaultRetryAfter)
	}
	check := &taskChecker{}
	kind := check.checkKind(settings, asked.Kind)
	check.checkTeam(settings, asked.Team)
	runTime := check.checkDuration("run_time", asked.RunTime)
	if most := kind.MaxRunTime(); most > 0 && runTime > most {
		check.addFault("run_time", "%s is longer than %s, which tasks of this kind may take", runTime, most)
	}
	spec := &record.TaskSpec{
		Team:          asked.Team,
		Kind:          asked.Kind,
		Name:          check.checkLength("name", asked.Name, maxNameBytes),
		FailureDomain: check.checkLength("failure_domain", asked.FailureDomain, maxNameBytes),
		Input:         []byte(check.checkLength("input", asked.Input, state.MaxInputBytes)),
		Priority:      int32(kind.Priority()),
		RunTimeNanos:  runTime.Nanoseconds(),
		Resources: &record.Resources{
			MilliCpu:     check.checkProcessors(asked.Processors),
			MemoryBytes:  check.checkSize("memory", asked.Memory),
			Accelerators: check.checkCount("accelerators", asked.Accelerators, maxAccelerators),
		},
	}
	if asked.Priority != nil {
		spec.Priority = int32(check.checkCount("priority", int64(*asked.Priority), maxPriority))
	}
	if len(check.faults) > 0 {
		sent := badRequestProblem("the task has faults; correct them and submit it again")
		sent.Faults = check.faults
		return nil, sent
	}
	return spec, nil
}

// checkFeasible refuses work that no known worker could run even when empty, and
// work that its team's quota never lets run.
func (entry *Entry) checkFeasible(spec *record.TaskSpec) *api.Problem {
	if (usageByTeam{}).exceedsQuota(entry.documents.Config(), spec) {
		return newProblem(http.StatusUnprocessableEntity, api.TypeCanNeverRun, "The task can never run", "it asks for more than the quota of team "+spec.GetTeam())
	}
	var decision *placement.Decision
	entry.journal.View(func(folded *state.State) {
		board := entry.placer.workerSet(folded, entry.now())
		decision = board.Decide(policy.NewRunner(), entry.policies(), &placement.Task{Spec: spec})
	})
	if !decision.IsImpossible() {
		return nil
	}
	return newProblem(http.StatusUnprocessableEntity, api.TypeCanNeverRun, "The task can never run",
		fmt.Sprintf("of %d workers %d are too small and %d are in another failure domain", decision.WorkerCount(),
			decision.Rejected()[placement.TooSmall], decision.Rejected()[placement.OtherDomain]))
}

// pendingRetryAfter is when a submission that found too many waiting may come back.
const pendingRetryAfter = 10 * time.Second

// checkPendingLimit refuses a task of a kind of which as many wait as may.
func (entry *Entry) checkPendingLimit(spec *record.TaskSpec) *api.Problem {
	kind, _ := entry.documents.Config().Kind(spec.GetKind())
	if kind.MaxPending() == 0 {
		return nil
	}
	var waiting int
	entry.journal.View(func(folded *state.State) { waiting = folded.PendingCountOfKind(spec.GetKind()) })
	if waiting < kind.MaxPending() {
		return nil
	}
	return notRunProblem(fmt.Sprintf("%d tasks of kind %s wait already, which is as many as may", waiting, spec.GetKind()), pendingRetryAfter)
}

func apiTask(task *state.Task) *api.Task {
	spec := task.Spec()
	return &api.Task{
		ID:            task.ID(),
		Team:          spec.GetTeam(),
		Kind:          spec.GetKind(),
		Name:          spec.GetName(),
		Phase:         task.Phase().String(),
		Reason:        task.Reason(),
		Worker:        task.Worker(),
		Attempt:       task.Attempt(),
		Evictions:     task.Evictions(),
		StartFailures: task.StartFailures(),
		Processors:    float64(spec.GetResources().GetMilliCpu()) / millisPerCore,
		MemoryBytes:   spec.GetResources().GetMemoryBytes(),
		Accelerators:  spec.GetResources().GetAccelerators(),
		Priority:      spec.GetPriority(),
		Policy:        task.PolicyVersion(),
		CreatedAt:     task.CreatedAt().UTC(),
		ChangedAt:     task.ChangedAt().UTC(),
	}
}

func (entry *Entry) serveTask(writer http.ResponseWriter, id string) {
	var found *api.Task
	entry.journal.View(func(folded *state.State) {
		if task := folded.Task(id); task != nil {
			found = apiTask(task)
		}
	})
	if found == nil {
		writeProblem(writer, notFoundProblem("no task has the ID "+strconv.Quote(id)))
		return
	}
	writeJSON(writer, http.StatusOK, found)
}

// maxListed bounds one listing.
const maxListed = 10_000

// serveTasks lists tasks, oldest first, of one team, kind, phase or worker if
// the query says so.
func (entry *Entry) serveTasks(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	wanted := func(task *api.Task) bool {
		return matchesFilter(query.Get("team"), task.Team) && matchesFilter(query.Get("kind"), task.Kind) &&
			matchesFilter(query.Get("phase"), task.Phase) && matchesFilter(query.Get("worker"), task.Worker)
	}
	listed := []*api.Task{}
	entry.journal.View(func(folded *state.State) {
		for _, task := range folded.Tasks() {
			if shown := apiTask(task); wanted(shown) && len(listed) < maxListed {
				listed = append(listed, shown)
			}
		}
	})
	writeJSON(writer, http.StatusOK, listed)
}

func matchesFilter(asked, is string) bool { return asked == "" || asked == is }

func (entry *Entry) serveResult(writer http.ResponseWriter, id string) {
	var result *api.Result
	var sent *api.Problem
	entry.journal.View(func(folded *state.State) {
		task := folded.Task(id)
		switch {
		case task == nil:
			sent = notFoundProblem("no task has the ID " + strconv.Quote(id))
		case !task.Phase().IsTerminal():
			sent = newProblem(http.StatusConflict, api.TypeConflict, "The task has not ended", "it is "+task.Phase().String()+": "+task.Reason())
		default:
			result = &api.Result{ID: id, Phase: task.Phase().String(), Reason: task.Reason(), Output: string(task.Result())}
		}
	})
	if sent != nil {
		writeProblem(writer, sent)
		return
	}
	writeJSON(writer, http.StatusOK, result)
}

// serveCancel cancels a task. Cancelling one that has ended changes nothing.
func (entry *Entry) serveCancel(writer http.ResponseWriter, request *http.Request, id string) {
	rec := changelog.NewRecord(entry.now())
	rec.Body = &record.Record_TaskCancel{TaskCancel: &record.TaskCancel{Task: id}}
	outcome, done := entry.appendOrRespond(writer, request, rec)
	if !done {
		return
	}
	ctx := request.Context()
	if outcome.IsAccepted() {
		entry.options.Events.Log(ctx, event.TaskCancelled, slog.String("task", id))
		entry.stopCancelled(context.WithoutCancel(ctx), id)
	}
	entry.serveTask(writer, id)
}

// stopCancelled tells the guard at once; if that fails, its next report will.
func (entry *Entry) stopCancelled(ctx context.Context, id string) {
	var made *reportActions
	entry.journal.View(func(folded *state.State) {
		task := folded.Task(id)
		if task == nil || task.Phase() != state.PhaseStopping {
			return
		}
		if guard := entry.view.Guard(task.Worker()); guard != nil {
			made = &reportActions{}
			made.stops = append(made.stops, newStopRequest(task, guard))
			entry.background.Go(func() { entry.runActions(ctx, guard, made) })
		}
	})
}
