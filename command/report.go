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
		Usage:     "show from the logs of all processes which jobs were late and why",
		ArgsUsage: "[LOG...]",
		Description: "Reads the named log files, or standard input, and prints where the time of late jobs went, " +
			"which serving tasks missed their targets beside what, and how workers were used. docs/OPERATIONS.md shows how to read it.",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "json", Usage: "print the report as JSON, with durations in nanoseconds"},
			&cli.StringFlag{Name: "page", Usage: "also write the report with plots as an HTML page to this file"},
		},
		Action: func(_ context.Context, from *cli.Command) error {
			return withLogFiles(from.Root().Reader, from.Args().Slice(), func(logs []io.Reader) error {
				return printReport(from.Root().Writer, logs, from.Bool("json"), from.String("page"))
			})
		},
	}
}

func printReport(out io.Writer, logs []io.Reader, asJSON bool, page string) error {
	found, err := report.Read(logs...)
	if err != nil {
		return err
	}
	if found.LineCount == 0 {
		return &exitError{code: ExitNotFound, cause: errors.New("the logs hold no structured lines; name the files that processes wrote with their standard output")}
	}
	if page != "" {
		if err := writePage(page, found); err != nil {
			return err
		}
	}
	if !asJSON {
		return found.WriteText(out)
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(found), "print")
}

func writePage(path string, found *report.Report) error {
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "create the page; name a file in a folder that may be written")
	}
	defer file.Close() //nolint:errcheck // Sync has told whether it is whole.
	if err := found.WriteHTML(file); err != nil {
		return err
	}
	return errors.Wrap(file.Sync(), "write the page")
}
