package command

import (
	"context"
	"encoding/json"
	"io"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"ambertiller.example/ambertiller/report"
)

func reportCommand() *cli.Command {
	return &cli.Command{
		Name:      "report",
		Usage:     "report from the logs of all processes which jobs were late and why",
		ArgsUsage: "[LOG...]",
		Description: "Reads the named log files, or standard input, and prints how late jobs spent their time, " +
			"which serving tasks missed their targets and what ran beside them, and how workers were used. docs/OPERATIONS.md shows how to read it.",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "json", Usage: "print the report as JSON, with durations in nanoseconds"},
			&cli.StringFlag{Name: "page", Usage: "also write the report with plots as an HTML page to this file"},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			return withLogFiles(cmd.Root().Reader, cmd.Args().Slice(), func(logs []io.Reader) error {
				return printReport(cmd.Root().Writer, logs, cmd.Bool("json"), cmd.String("page"))
			})
		},
	}
}

// printReport prints a report on the logs and, if page is not empty, also writes it as an HTML page
// to that file.
func printReport(stdout io.Writer, logs []io.Reader, asJSON bool, page string) error {
	parsed, err := report.Read(logs...)
	if err != nil {
		return err
	}
	if parsed.LineCount == 0 {
		return &exitError{code: ExitNotFound, cause: errors.New("the logs contain no structured lines; give the files that hold the standard output of the processes")}
	}
	if page != "" {
		if err := writePage(page, parsed); err != nil {
			return err
		}
	}
	if !asJSON {
		return parsed.WriteText(stdout)
	}
	encoder := json.NewEncoder(stdout)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(parsed), "print")
}

func writePage(path string, parsed *report.Report) error {
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "create the page; give a file in a writable directory")
	}
	defer file.Close() //nolint:errcheck // Sync reports a failed write.
	if err := parsed.WriteHTML(file); err != nil {
		return err
	}
	return errors.Wrap(file.Sync(), "write the page")
}
