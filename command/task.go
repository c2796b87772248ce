package command

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/urfave/cli/v3"

	"ambertiller.example/ambertiller/api"
)

const (
	timeFormat   = time.RFC3339
	waitInterval = 200 * time.Millisecond
)

func submitCommand() *cli.Command {
	return &cli.Command{
		Name:  "submit",
		Usage: "submit a batch job or a watch",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "team", Usage: "team that the task belongs to", Sources: envVar("TEAM")},
			&cli.StringFlag{Name: "kind", Usage: "kind of work, as configured"},
			&cli.StringFlag{Name: "name", Usage: "a name for people"},
			&cli.FloatFlag{Name: "processors", Usage: "processors it needs", Value: 1},
			&cli.StringFlag{Name: "memory", Usage: "memory it needs, such as 4GiB", Value: "1GiB"},
			&cli.Int64Flag{Name: "accelerators", Usage: "accelerators it needs"},
			&cli.Int32Flag{Name: "priority", Usage: "priority, instead of the kind's"},
			&cli.StringFlag{Name: "run-time", Usage: "expected run time, such as 90s"},
			&cli.StringFlag{Name: "input", Usage: "input handed to the task"},
			&cli.StringFlag{Name: "failure-domain", Usage: "failure domain it must run in"},
			&cli.StringFlag{Name: "key", Usage: "idempotency key: the same team and key is the same task"},
			&cli.BoolFlag{Name: "wait", Usage: "wait until the task has ended, within --timeout"},
		},
		Action: func(ctx context.Context, from *cli.Command) error {
			calling, err := newClient(from)
			if err != nil {
				return err
			}
			asked := api.TaskRequest{
				Team:          from.String("team"),
				Kind:          from.String("kind"),
				Name:          from.String("name"),
				Processors:    from.Float("processors"),
				Memory:        from.String("memory"),
				Accelerators:  from.Int64("accelerators"),
				RunTime:       from.String("run-time"),
				Input:         from.String("input"),
				FailureDomain: from.String("failure-domain"),
			}
			if from.IsSet("priority") {
				priority := from.Int32("priority")
				asked.Priority = &priority
			}
			header := http.Header{}
			if key := from.String("key"); key != "" {
				header.Set(api.HeaderIdempotencyKey, key)
			}
			var task api.Task
			if err := calling.call(ctx, http.MethodPost, "/v1/tasks", header, asked, &task); err != nil {
				return err
			}
			if from.Bool("wait") {
				if err := calling.waitForEnd(ctx, &task, from.Duration("timeout")); err != nil {
					return err
				}
			}
			return calling.printTask(&task)
		},
	}
}

var terminalPhases = map[string]bool{"finished": true, "failed": true, "cancelled": true}

func (calling *client) waitForEnd(ctx context.Context, task *api.Task, most time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	ticker := time.NewTicker(waitInterval)
	defer ticker.Stop()
	for !terminalPhases[task.Phase] {
		select {
		case <-ctx.Done():
			return &exitError{code: ExitUnavailable, cause: fmt.Errorf("task %s is still %s; look again with `ambertiller task %s`", task.ID, task.Phase, task.ID)}
		case <-ticker.C:
		}
		if err := calling.call(ctx, http.MethodGet, "/v1/tasks/"+url.PathEscape(task.ID), nil, nil, task); err != nil {
			return err
		}
	}
	return nil
}

func (calling *client) printTask(task *api.Task) error {
	return calling.printer.printFields(task,
		"id", task.ID, "team", task.Team, "kind", task.Kind, "name", task.Name,
		"phase", task.Phase, "reason", task.Reason, "worker", task.Worker,
		"attempt", formatUint(task.Attempt), "evictions", formatInt(task.Evictions), "start failures", formatInt(task.StartFailures),
		"processors", formatFloat(task.Processors), "memory", formatBytes(task.MemoryBytes), "accelerators", formatInt(int(task.Accelerators)),
		"priority", formatInt(int(task.Priority)), "policy", task.Policy,
		"created", task.CreatedAt.Format(timeFormat), "changed", task.ChangedAt.Format(timeFormat))
}

// singleArgumentAction is an Action that needs exactly one argument.
func singleArgumentAction(what string, act func(ctx context.Context, calling *client, argument string) error) cli.ActionFunc {
	return func(ctx context.Context, from *cli.Command) error {
		if from.Args().Len() != 1 {
			return newUsageError("give exactly one %s: ambertiller %s %s", what, from.Name, what)
		}
		calling, err := newClient(from)
		if err != nil {
			return err
		}
		return act(ctx, calling, from.Args().First())
	}
}

func cancelCommand() *cli.Command {
	return &cli.Command{
		Name: "cancel", Usage: "cancel a task", ArgsUsage: "TASK",
		Action: singleArgumentAction("TASK", func(ctx context.Context, calling *client, id string) error {
			var task api.Task
			if err := calling.call(ctx, http.MethodDelete, "/v1/tasks/"+url.PathEscape(id), nil, nil, &task); err != nil {
				return err
			}
			return calling.printTask(&task)
		}),
	}
}

func taskCommand() *cli.Command {
	return &cli.Command{
		Name: "task", Usage: "show a task", ArgsUsage: "TASK",
		Action: singleArgumentAction("TASK", func(ctx context.Context, calling *client, id string) error {
			var task api.Task
			if err := calling.call(ctx, http.MethodGet, "/v1/tasks/"+url.PathEscape(id), nil, nil, &task); err != nil {
				return err
			}
			return calling.printTask(&task)
		}),
	}
}

func resultCommand() *cli.Command {
	return &cli.Command{
		Name: "result", Usage: "show what a task produced", ArgsUsage: "TASK",
		Action: singleArgumentAction("TASK", func(ctx context.Context, calling *client, id string) error {
			var result api.Result
			if err := calling.call(ctx, http.MethodGet, "/v1/tasks/"+url.PathEscape(id)+"/result", nil, nil, &result); err != nil {
				return err
			}
			return calling.printer.printFields(&result, "id", result.ID, "phase", result.Phase, "reason", result.Reason, "output", result.Output)
		}),
	}
}

func throttleCommand() *cli.Command {
	return &cli.Command{
		Name: "throttle", Usage: "bound a running task to a share of its processors", ArgsUsage: "TASK",
		Flags: []cli.Flag{&cli.FloatFlag{Name: "share", Usage: "above 0, at most 1", Value: 1}},
		Action: func(ctx context.Context, from *cli.Command) error {
			asked := api.ThrottleRequest{Share: from.Float("share")}
			return singleArgumentAction("TASK", func(ctx context.Context, calling *client, id string) error {
				var done api.ThrottleRequest
				if err := calling.call(ctx, http.MethodPut, "/v1/tasks/"+url.PathEscape(id)+"/throttle", nil, asked, &done); err != nil {
					return err
				}
				return calling.printer.printFields(&done, "task", id, "share", formatFloat(done.Share))
			})(ctx, from)
		},
	}
}

func tasksCommand() *cli.Command {
	return &cli.Command{
		Name: "tasks", Usage: "list tasks",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "team", Usage: "only of this team"},
			&cli.StringFlag{Name: "kind", Usage: "only of this kind"},
			&cli.StringFlag{Name: "phase", Usage: "only in this phase"},
			&cli.StringFlag{Name: "worker", Usage: "only on this worker"},
		},
		Action: func(ctx context.Context, from *cli.Command) error {
			calling, err := newClient(from)
			if err != nil {
				return err
			}
			query := url.Values{}
			for _, name := range []string{"team", "kind", "phase", "worker"} {
				if value := from.String(name); value != "" {
					query.Set(name, value)
				}
			}
			var tasks []api.Task
			if err := calling.call(ctx, http.MethodGet, "/v1/tasks?"+query.Encode(), nil, nil, &tasks); err != nil {
				return err
			}
			rows := make([][]string, 0, len(tasks))
			for _, task := range tasks {
				rows = append(rows, []string{task.ID, task.Team, task.Kind, task.Phase, task.Worker, formatUint(task.Attempt), task.Reason})
			}
			return calling.printer.print(tasks, []string{"ID", "TEAM", "KIND", "PHASE", "WORKER", "ATTEMPT", "REASON"}, rows)
		},
	}
}

func explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "say why a task is where it is, or what it waits for", ArgsUsage: "TASK",
		Action: singleArgumentAction("TASK", func(ctx context.Context, calling *client, id string) error {
			var made api.Explanation
			if err := calling.call(ctx, http.MethodGet, "/v1/tasks/"+url.PathEscape(id)+"/explain", nil, nil, &made); err != nil {
				return err
			}
			return calling.printer.print(&made, []string{"FIELD", "VALUE"}, explanationRows(&made))
		}),
	}
}

func explanationRows(made *api.Explanation) [][]string {
	rows := [][]string{{"summary", made.Summary}, {"policy", made.Policy}}
	if made.PolicyError != "" {
		rows = append(rows, []string{"policy fault", made.PolicyError})
	}
	if made.Candidate != "" {
		rows = append(rows, []string{"best worker", made.Candidate + " scores " + formatFloat(made.Score)})
	}
	if made.RunnerUp != "" {
		rows = append(rows, []string{"next best", made.RunnerUp + " scores " + formatFloat(made.RunnerUpScore)})
	}
	for _, constraint := range made.Constraints {
		rows = append(rows, []string{"left out: " + constraint.Name, fmt.Sprintf("%d of %d workers", constraint.ExcludedWorkers, made.WorkerCount)})
	}
	return rows
}
