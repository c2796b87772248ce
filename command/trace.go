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
		Usage:     "show the life of one job, or request, from the logs of several processes",
		ArgsUsage: "ID [LOG...]",
		Description: "Reads the named log files, or standard input, and prints what they say about the ID in order of time, " +
			"with silences of a second or more. docs/OPERATIONS.md shows how to read it.",
		Action: func(_ context.Context, from *cli.Command) error {
			if from.Args().Len() == 0 {
				return newUsageError("trace needs the ID of a job or request; see `ambertiller help trace`")
			}
			return withLogFiles(from.Root().Reader, from.Args().Tail(), func(logs []io.Reader) error {
				return printTrace(from.Root().Writer, logs, from.Args().First())
			})
		},
	}
}

func printTrace(out io.Writer, logs []io.Reader, id string) error {
	life, err := trace.Read(id, logs...)
	if err != nil {
		return err
	}
	if life.IsEmpty() {
		return &exitError{code: ExitNotFound, cause: errors.Errorf("the logs say nothing about %s; are those of all gateways and agents there?", id)}
	}
	for _, line := range life.Lines() {
		if _, err := fmt.Fprintln(out, line); err != nil {
			return errors.Wrap(err, "print")
		}
	}
	return nil
}
