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
	// taskIDNamespace is the UUID namespace of task IDs, which are derived from the
	// team and the idempotency key. The same submission thus gets the same ID at
	// every entry.
	taskIDNamespace = "8f0b8b4e-6f0e-4c55-9a3e-5d7f2b1c9a10"
)

// serveSubmit handles the submission of a batch job or a watch. It responds with 201
// for a new task and with 200 for one that was submitted before.
func (entry *Entry) serveSubmit(writer http.ResponseWriter, request *http.Request) {
	var body api.TaskRequest
	if problem := decodeBody(writer, request, &body); problem != nil {
		writeProblem(writer, problem)
		return
	}
	created, task, problem := entry.submit(request.Context(), &body, request.Header.Get(api.HeaderIdempotencyKey))
	if problem != nil {
		writeProblem(writer, problem)
		return
	}
	status := http.StatusOK
	if created {
		status = http.StatusCreated
		writer.Header().Set("Location", "/v1/tasks/"+task.ID)
	}
	writeJSON(writer, status, task)
}

// submit appends a task to the log, and reports whether it is new. A second
// submission with the same team and key returns the task of the first.
func (entry *Entry) submit(ctx context.Context, body *api.TaskRequest, key string) (bool, *api.Task, *api.Problem) {
	spec, problem := entry.parseSpec(body)
	if problem != nil {
		return false, nil, problem
	}
	if len(key) > maxNameBytes {
		return false, nil, badRequestProblem(api.HeaderIdempotencyKey + " has at most " + strconv.Itoa(maxNameBytes) + " bytes")
	}
	if key == "" {
		key = uuid.NewString()
	}
	id := taskID(spec.GetTeam(), key)
	if task, problem := entry.existingTask(id, spec); task != nil || problem != nil {
		return false, task, problem
	}
	if problem := entry.checkFeasible(spec); problem != nil {
		return false, nil, problem
	}
	if problem := entry.checkPendingLimit(spec); problem != nil {
		return false, nil, problem
	}
	rec := changelog.NewRecord(entry.now())
	rec.Body = &record.Record_TaskCreate{TaskCreate: &record.TaskCreate{Task: id, Spec: spec, IdempotencyKey: key}}
	outcome, problem := entry.appendChange(ctx, rec)
	if problem != nil {
		return false, nil, problem
	}
	task, problem := entry.existingTask(id, spec)
	if problem == nil && task == nil {
		return false, nil, badRequestProblem("the log did not accept the task: " + string(outcome.Reason()))
	}
	if outcome.IsAccepted() {
		entry.options.Events.Log(ctx, event.TaskSubmitted, slog.String("task", id), slog.String("team", spec.GetTeam()), slog.String("kind", spec.GetKind()))
	}
	return outcome.IsAccepted(), task, problem
}

func taskID(team, key string) string {
	return uuid.NewSHA1(uuid.MustParse(taskIDNamespace), []byte(team+"\x00"+key)).String()
}

// existingTask returns the task with the ID, or nil if there is none, or a conflict
// if the task has another specification.
func (entry *Entry) existingTask(id string, spec *record.TaskSpec) (*api.Task, *api.Problem) {
	var result *api.Task
	var problem *api.Problem
	entry.journal.View(func(st *state.State) {
		task := st.Task(id)
		if task == nil {
			return
		}
		if !proto.Equal(task.Spec(), spec) {
			problem = newProblem(http.StatusConflict, api.TypeConflict, "The key was used for another task", "task "+id+" has another specification; use another "+api.HeaderIdempotencyKey)
			return
		}
		result = apiTask(task)
	})
	return result, problem
}

// parseSpec converts a submission into a task specification. The problem lists all
// faults of the submission.
func (entry *Entry) parseSpec(body *api.TaskRequest) (*record.TaskSpec, *api.Problem) {
	settings := entry.documents.Config()
	if settings == nil {
		return nil, notRunProblem(errNoConfig.Error(), defaultRetryAfter)
	}
	checker := &taskChecker{}
	kind := checker.checkKind(settings, body.Kind)
	checker.checkTeam(settings, body.Team)
	runTime := checker.checkDuration("run_time", body.RunTime)
	if limit := kind.MaxRunTime(); limit > 0 && runTime > limit {
		checker.addFault("run_time", "%s is longer than %s, which tasks of this kind may take", runTime, limit)
	}
	spec := &record.TaskSpec{
		Team:          body.Team,
		Kind:          body.Kind,
		Name:          checker.checkLength("name", body.Name, maxNameBytes),
		FailureDomain: checker.checkLength("failure_domain", body.FailureDomain, maxNameBytes),
		Input:         []byte(checker.checkLength("input", body.Input, state.MaxInputBytes)),
		Priority:      int32(kind.Priority()),
		RunTimeNanos:  runTime.Nanoseconds(),
		Resources: &record.Resources{
			MilliCpu:     checker.checkProcessors(body.Processors),
			MemoryBytes:  checker.checkSize("memory", body.Memory),
			Accelerators: checker.checkCount("accelerators", body.Accelerators, maxAccelerators),
		},
	}
	if body.Priority != nil {
		spec.Priority = int32(checker.checkCount("priority", int64(*body.Priority), maxPriority))
	}
	if len(checker.faults) > 0 {
		problem := badRequestProblem("the task has faults; correct them and submit it again")
		problem.Faults = checker.faults
		return nil, problem
	}
	return spec, nil
}

// checkFeasible rejects a task that no known worker could run even if it were empty,
// and a task that exceeds its team's quota on its own.
func (entry *Entry) checkFeasible(spec *record.TaskSpec) *api.Problem {
	if (usageByTeam{}).exceedsQuota(entry.documents.Config(), spec) {
		return newProblem(http.StatusUnprocessableEntity, api.TypeCanNeverRun, "The task can never run", "it asks for more than the quota of team "+spec.GetTeam())
	}
	var decision *placement.Decision
	entry.journal.View(func(st *state.State) {
		workers := entry.placer.workerSet(st, entry.now())
		decision = workers.Decide(policy.NewRunner(), entry.policies(), &placement.Task{Spec: spec})
	})
	if !decision.IsImpossible() {
		return nil
	}
	return newProblem(http.StatusUnprocessableEntity, api.TypeCanNeverRun, "The task can never run",
		fmt.Sprintf("of %d workers %d are too small and %d are in another failure domain", decision.WorkerCount(),
			decision.Rejected()[placement.TooSmall], decision.Rejected()[placement.OtherDomain]))
}

// pendingRetryAfter is the Retry-After of a submission that was rejected because too
// many tasks of its kind are pending.
const pendingRetryAfter = 10 * time.Second

// checkPendingLimit rejects a task if its kind has reached its limit of pending
// tasks.
func (entry *Entry) checkPendingLimit(spec *record.TaskSpec) *api.Problem {
	kind, _ := entry.documents.Config().Kind(spec.GetKind())
	if kind.MaxPending() == 0 {
		return nil
	}
	var pending int
	entry.journal.View(func(st *state.State) { pending = st.PendingCountOfKind(spec.GetKind()) })
	if pending < kind.MaxPending() {
		return nil
	}
	return notRunProblem(fmt.Sprintf("%d tasks of kind %s wait already, which is as many as may", pending, spec.GetKind()), pendingRetryAfter)
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
	var result *api.Task
	entry.journal.View(func(st *state.State) {
		if task := st.Task(id); task != nil {
			result = apiTask(task)
		}
	})
	if result == nil {
		writeProblem(writer, notFoundProblem("no task has the ID "+strconv.Quote(id)))
		return
	}
	writeJSON(writer, http.StatusOK, result)
}

// maxListed is the maximum number of tasks in one response.
const maxListed = 10_000

// serveTasks lists tasks, oldest first. The query parameters team, kind, phase and
// worker select some of them.
func (entry *Entry) serveTasks(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	matchesQuery := func(task *api.Task) bool {
		return matchesFilter(query.Get("team"), task.Team) && matchesFilter(query.Get("kind"), task.Kind) &&
			matchesFilter(query.Get("phase"), task.Phase) && matchesFilter(query.Get("worker"), task.Worker)
	}
	list := []*api.Task{}
	entry.journal.View(func(st *state.State) {
		for _, task := range st.Tasks() {
			if row := apiTask(task); matchesQuery(row) && len(list) < maxListed {
				list = append(list, row)
			}
		}
	})
	writeJSON(writer, http.StatusOK, list)
}

func matchesFilter(filter, value string) bool { return filter == "" || filter == value }

// serveResult responds with the output of a task that has ended.
func (entry *Entry) serveResult(writer http.ResponseWriter, id string) {
	var result *api.Result
	var problem *api.Problem
	entry.journal.View(func(st *state.State) {
		task := st.Task(id)
		switch {
		case task == nil:
			problem = notFoundProblem("no task has the ID " + strconv.Quote(id))
		case !task.Phase().IsTerminal():
			problem = newProblem(http.StatusConflict, api.TypeConflict, "The task has not ended", "it is "+task.Phase().String()+": "+task.Reason())
		default:
			result = &api.Result{ID: id, Phase: task.Phase().String(), Reason: task.Reason(), Output: string(task.Result())}
		}
	})
	if problem != nil {
		writeProblem(writer, problem)
		return
	}
	writeJSON(writer, http.StatusOK, result)
}

// serveCancel cancels a task. Cancelling a task that has ended has no effect.
func (entry *Entry) serveCancel(writer http.ResponseWriter, request *http.Request, id string) {
	rec := changelog.NewRecord(entry.now())
	rec.Body = &record.Record_TaskCancel{TaskCancel: &record.TaskCancel{Task: id}}
	outcome, ok := entry.appendOrRespond(writer, request, rec)
	if !ok {
		return
	}
	ctx := request.Context()
	if outcome.IsAccepted() {
		entry.options.Events.Log(ctx, event.TaskCancelled, slog.String("task", id))
		entry.stopCancelled(context.WithoutCancel(ctx), id)
	}
	entry.serveTask(writer, id)
}

// stopCancelled asks the guard to stop a cancelled task. If this fails, the request
// is repeated after the guard's next report.
func (entry *Entry) stopCancelled(ctx context.Context, id string) {
	var actions *reportActions
	entry.journal.View(func(st *state.State) {
		task := st.Task(id)
		if task == nil || task.Phase() != state.PhaseStopping {
			return
		}
		if guard := entry.view.Guard(task.Worker()); guard != nil {
			actions = &reportActions{}
			actions.stops = append(actions.stops, newStopRequest(task, guard))
			entry.background.Go(func() { entry.runActions(ctx, guard, actions) })
		}
	})
}
