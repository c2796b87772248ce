package command

import (
	"context"
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"ambertiller.example/ambertiller/trace"
)

func traceCommand() *cli.Command {
	return &cli.Command{
		Name:      "trace",
		Usage:     "show the history of one job, or request, from the logs of several processes",
		ArgsUsage: "ID [LOG...]",
		Description: "Reads the named log files, or standard input, and prints what they contain about the ID in order of time, " +
			"with gaps of a second or more. docs/OPERATIONS.md shows how to read it.",
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() == 0 {
				return newUsageError("trace needs the ID of a job or request; see `ambertiller help trace`")
			}
			return withLogFiles(cmd.Root().Reader, cmd.Args().Tail(), func(logs []io.Reader) error {
				return printTrace(cmd.Root().Writer, logs, cmd.Args().First())
			})
		},
	}
}

// printTrace prints the log lines about a job or request in order of time.
func printTrace(stdout io.Writer, logs []io.Reader, id string) error {
	history, err := trace.Read(id, logs...)
	if err != nil {
		return err
	}
	if history.IsEmpty() {
		return &exitError{code: ExitNotFound, cause: errors.Errorf("the logs contain nothing about %s; check that the logs of all gateways and agents are given", id)}
	}
	for _, line := range history.Lines() {
		if _, err := fmt.Fprintln(stdout, line); err != nil {
			return errors.Wrap(err, "print")
		}
	}
	return nil
}
