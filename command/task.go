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
			&cli.StringFlag{Name: "name", Usage: "descriptive name"},
			&cli.FloatFlag{Name: "processors", Usage: "processors it needs", Value: 1},
			&cli.StringFlag{Name: "memory", Usage: "memory it needs, such as 4GiB", Value: "1GiB"},
			&cli.Int64Flag{Name: "accelerators", Usage: "accelerators it needs"},
			&cli.Int32Flag{Name: "priority", Usage: "priority, instead of the kind's"},
			&cli.StringFlag{Name: "run-time", Usage: "expected run time, such as 90s"},
			&cli.StringFlag{Name: "input", Usage: "input of the task"},
			&cli.StringFlag{Name: "failure-domain", Usage: "failure domain it must run in"},
			&cli.StringFlag{Name: "key", Usage: "idempotency key: submissions with the same team and key are the same task"},
			&cli.BoolFlag{Name: "wait", Usage: "wait until the task has ended, within --timeout"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			c, err := newClient(cmd)
			if err != nil {
				return err
			}
			request := api.TaskRequest{
				Team:          cmd.String("team"),
				Kind:          cmd.String("kind"),
				Name:          cmd.String("name"),
				Processors:    cmd.Float("processors"),
				Memory:        cmd.String("memory"),
				Accelerators:  cmd.Int64("accelerators"),
				RunTime:       cmd.String("run-time"),
				Input:         cmd.String("input"),
				FailureDomain: cmd.String("failure-domain"),
			}
			if cmd.IsSet("priority") {
				priority := cmd.Int32("priority")
				request.Priority = &priority
			}
			header := http.Header{}
			if key := cmd.String("key"); key != "" {
				header.Set(api.HeaderIdempotencyKey, key)
			}
			var task api.Task
			if err := c.call(ctx, http.MethodPost, "/v1/tasks", header, request, &task); err != nil {
				return err
			}
			if cmd.Bool("wait") {
				if err := c.waitForEnd(ctx, &task, cmd.Duration("timeout")); err != nil {
					return err
				}
			}
			return c.printTask(&task)
		},
	}
}

// terminalPhases are the phases that a task does not leave.
var terminalPhases = map[string]bool{"finished": true, "failed": true, "cancelled": true}

// waitForEnd requests the task repeatedly until it has ended, and updates it with each response.
func (c *client) waitForEnd(ctx context.Context, task *api.Task, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ticker := time.NewTicker(waitInterval)
	defer ticker.Stop()
	for !terminalPhases[task.Phase] {
		select {
		case <-ctx.Done():
			return &exitError{code: ExitUnavailable, cause: fmt.Errorf("task %s is still %s; check again with `ambertiller task %s`", task.ID, task.Phase, task.ID)}
		case <-ticker.C:
		}
		if err := c.call(ctx, http.MethodGet, "/v1/tasks/"+url.PathEscape(task.ID), nil, nil, task); err != nil {
			return err
		}
	}
	return nil
}

func (c *client) printTask(task *api.Task) error {
	return c.printer.printFields(task,
		"id", task.ID, "team", task.Team, "kind", task.Kind, "name", task.Name,
		"phase", task.Phase, "reason", task.Reason, "worker", task.Worker,
		"attempt", formatUint(task.Attempt), "evictions", formatInt(task.Evictions), "start failures", formatInt(task.StartFailures),
		"processors", formatFloat(task.Processors), "memory", formatBytes(task.MemoryBytes), "accelerators", formatInt(int(task.Accelerators)),
		"priority", formatInt(int(task.Priority)), "policy", task.Policy,
		"created", task.CreatedAt.Format(timeFormat), "changed", task.ChangedAt.Format(timeFormat))
}

// singleArgumentAction returns an action that calls run with the command's only argument. name is
// the argument's name in the usage error that is returned for any other number of arguments.
func singleArgumentAction(name string, run func(ctx context.Context, c *client, arg string) error) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		if cmd.Args().Len() != 1 {
			return newUsageError("give exactly one %s: ambertiller %s %s", name, cmd.Name, name)
		}
		c, err := newClient(cmd)
		if err != nil {
			return err
		}
		return run(ctx, c, cmd.Args().First())
	}
}

func cancelCommand() *cli.Command {
	return &cli.Command{
		Name: "cancel", Usage: "cancel a task", ArgsUsage: "TASK",
		Action: singleArgumentAction("TASK", func(ctx context.Context, c *client, id string) error {
			var task api.Task
			if err := c.call(ctx, http.MethodDelete, "/v1/tasks/"+url.PathEscape(id), nil, nil, &task); err != nil {
				return err
			}
			return c.printTask(&task)
		}),
	}
}

func taskCommand() *cli.Command {
	return &cli.Command{
		Name: "task", Usage: "show a task", ArgsUsage: "TASK",
		Action: singleArgumentAction("TASK", func(ctx context.Context, c *client, id string) error {
			var task api.Task
			if err := c.call(ctx, http.MethodGet, "/v1/tasks/"+url.PathEscape(id), nil, nil, &task); err != nil {
				return err
			}
			return c.printTask(&task)
		}),
	}
}

func resultCommand() *cli.Command {
	return &cli.Command{
		Name: "result", Usage: "show what a task produced", ArgsUsage: "TASK",
		Action: singleArgumentAction("TASK", func(ctx context.Context, c *client, id string) error {
			var result api.Result
			if err := c.call(ctx, http.MethodGet, "/v1/tasks/"+url.PathEscape(id)+"/result", nil, nil, &result); err != nil {
				return err
			}
			return c.printer.printFields(&result, "id", result.ID, "phase", result.Phase, "reason", result.Reason, "output", result.Output)
		}),
	}
}

func throttleCommand() *cli.Command {
	return &cli.Command{
		Name: "throttle", Usage: "limit a running task to a share of its processors", ArgsUsage: "TASK",
		Flags: []cli.Flag{&cli.FloatFlag{Name: "share", Usage: "share of the processors, above 0 and at most 1", Value: 1}},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			request := api.ThrottleRequest{Share: cmd.Float("share")}
			return singleArgumentAction("TASK", func(ctx context.Context, c *client, id string) error {
				var reply api.ThrottleRequest
				if err := c.call(ctx, http.MethodPut, "/v1/tasks/"+url.PathEscape(id)+"/throttle", nil, request, &reply); err != nil {
					return err
				}
				return c.printer.printFields(&reply, "task", id, "share", formatFloat(reply.Share))
			})(ctx, cmd)
		},
	}
}

func tasksCommand() *cli.Command {
	return &cli.Command{
		Name: "tasks", Usage: "list tasks",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "team", Usage: "only tasks of this team"},
			&cli.StringFlag{Name: "kind", Usage: "only tasks of this kind"},
			&cli.StringFlag{Name: "phase", Usage: "only tasks in this phase"},
			&cli.StringFlag{Name: "worker", Usage: "only tasks on this worker"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			c, err := newClient(cmd)
			if err != nil {
				return err
			}
			query := url.Values{}
			for _, name := range []string{"team", "kind", "phase", "worker"} {
				if value := cmd.String(name); value != "" {
					query.Set(name, value)
				}
			}
			var tasks []api.Task
			if err := c.call(ctx, http.MethodGet, "/v1/tasks?"+query.Encode(), nil, nil, &tasks); err != nil {
				return err
			}
			rows := make([][]string, 0, len(tasks))
			for _, task := range tasks {
				rows = append(rows, []string{task.ID, task.Team, task.Kind, task.Phase, task.Worker, formatUint(task.Attempt), task.Reason})
			}
			return c.printer.print(tasks, []string{"ID", "TEAM", "KIND", "PHASE", "WORKER", "ATTEMPT", "REASON"}, rows)
		},
	}
}

func explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "explain why a task was placed on its worker, or why it is waiting", ArgsUsage: "TASK",
		Action: singleArgumentAction("TASK", func(ctx context.Context, c *client, id string) error {
			var explanation api.Explanation
			if err := c.call(ctx, http.MethodGet, "/v1/tasks/"+url.PathEscape(id)+"/explain", nil, nil, &explanation); err != nil {
				return err
			}
			return c.printer.print(&explanation, []string{"FIELD", "VALUE"}, explanationRows(&explanation))
		}),
	}
}

// explanationRows returns the rows of an explanation's table.
func explanationRows(explanation *api.Explanation) [][]string {
	rows := [][]string{{"summary", explanation.Summary}, {"policy", explanation.Policy}}
	if explanation.PolicyError != "" {
		rows = append(rows, []string{"policy fault", explanation.PolicyError})
	}
	if explanation.Candidate != "" {
		rows = append(rows, []string{"best worker", explanation.Candidate + " scores " + formatFloat(explanation.Score)})
	}
	if explanation.RunnerUp != "" {
		rows = append(rows, []string{"next best", explanation.RunnerUp + " scores " + formatFloat(explanation.RunnerUpScore)})
	}
	for _, constraint := range explanation.Constraints {
		rows = append(rows, []string{"left out: " + constraint.Name, fmt.Sprintf("%d of %d workers", constraint.ExcludedWorkers, explanation.WorkerCount)})
	}
	return rows
}
