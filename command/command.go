// Package command is the command line of ambertiller: the roles and the
// operator's commands.
//
// # Usage
//
//	os.Exit(command.Run(ctx, os.Args, os.Stdout, os.Stderr))
//
// # Exit codes
//
// See [ExitOK] and the constants beside it.
package command

import (
	"context"
	"fmt"
	"io"
	"runtime/debug"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"ambertiller.example/ambertiller/api"
)

// Exit codes.
const (
	ExitOK          = 0 // done
	ExitFailed      = 1 // the command failed
	ExitUsage       = 2 // the flags, variables or arguments are wrong
	ExitFaults      = 3 // a checked document has faults
	ExitConflict    = 4 // another change was first
	ExitUnreachable = 5 // no entry answered; it is not known whether anything was done
	ExitNotFound    = 6 // there is no such thing
	ExitUnavailable = 7 // nothing was done; try again later
)

// exitError carries an exit code with an error.
type exitError struct {
	code  int
	cause error
}

// Error implements error.
func (exit *exitError) Error() string { return exit.cause.Error() }

// Unwrap returns the cause.
func (exit *exitError) Unwrap() error { return exit.cause }

func newUsageError(format string, arguments ...any) error {
	return &exitError{code: ExitUsage, cause: errors.Errorf(format, arguments...)}
}

// Run runs one command and returns its exit code.
func Run(ctx context.Context, arguments []string, out, errOut io.Writer) int {
	app := newApp(out, errOut)
	err := app.Run(ctx, arguments)
	if err == nil {
		return ExitOK
	}
	// Nothing can be done when standard error is closed.
	_, _ = fmt.Fprintln(errOut, "ambertiller: "+err.Error())
	return exitCode(err)
}

func exitCode(err error) int {
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	var problem *api.Problem
	if errors.As(err, &problem) {
		return problemExitCode(problem)
	}
	return ExitFailed
}

func problemExitCode(problem *api.Problem) int {
	switch problem.Type {
	case api.TypeBadRequest, api.TypeTooLarge:
		if len(problem.Faults) > 0 {
			return ExitFaults
		}
		return ExitUsage
	case api.TypeConflict, api.TypeAlreadyClaimed:
		return ExitConflict
	case api.TypeNotFound:
		return ExitNotFound
	case api.TypeNotRun:
		return ExitUnavailable
	case api.TypeLogUnavailable:
		if problem.Outcome == api.OutcomeUnknown {
			return ExitUnreachable
		}
		return ExitUnavailable
	case api.TypeUnknown:
		return ExitUnreachable
	}
	return ExitFailed
}

const (
	defaultEntry   = "http://127.70.1.1:7201"
	defaultTimeout = 10 * time.Second
	version        = "0.1.0"
)

func newApp(out, errOut io.Writer) *cli.Command {
	return &cli.Command{
		Name:                  "ambertiller",
		Usage:                 "schedule latency-critical and batch work on the same workers",
		Version:               version + revision(),
		EnableShellCompletion: true,
		Writer:                out,
		ErrWriter:             errOut,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return newUsageError("%v; see `ambertiller help`", err)
		},
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "entry", Usage: "URL of an entry, or of the balancer in front of them", Value: defaultEntry, Sources: envVar("ENTRY")},
			&cli.StringFlag{Name: "output", Usage: "table or json", Value: outputTable, Sources: envVar("OUTPUT")},
			&cli.DurationFlag{Name: "timeout", Usage: "how long an operator's command may take", Value: defaultTimeout, Sources: envVar("TIMEOUT")},
		},
		Commands: []*cli.Command{
			entryCommand(), guardCommand(), gatewayCommand(), agentCommand(), standinCommand(), demoCommand(),
			submitCommand(), cancelCommand(), tasksCommand(), taskCommand(), resultCommand(), explainCommand(), throttleCommand(),
			workersCommand(), drainCommand(), evacuateCommand(), traceCommand(), reportCommand(),
			configCommand(), policyCommand(), inForceCommand(),
			versionCommand(),
		},
	}
}

// envVar names the variable behind a flag.
func envVar(name string) cli.ValueSourceChain { return cli.EnvVars("AMBERTILLER_" + name) }

func revision() string {
	info, found := debug.ReadBuildInfo()
	if !found {
		return ""
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return " (" + setting.Value + ")"
		}
	}
	return ""
}

// versionInfo is what `ambertiller version` prints.
type versionInfo struct {
	Version string `json:"version"`
	Format  uint32 `json:"record_format"`
}
