// Package command implements the command line of ambertiller: the commands that
// run a role and the operator's commands.
//
// # Usage
//
//	os.Exit(command.Run(ctx, os.Args, os.Stdout, os.Stderr))
//
// # Exit codes
//
// The exit codes of a command are [ExitOK] and the other Exit constants.
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
	ExitOK          = 0 // the command succeeded
	ExitFailed      = 1 // the command failed for a reason that has no code of its own
	ExitUsage       = 2 // invalid flags, environment variables or arguments
	ExitFaults      = 3 // the document has faults
	ExitConflict    = 4 // a conflicting change was made first
	ExitUnreachable = 5 // no response, or the outcome is unknown; the change may have been made
	ExitNotFound    = 6 // the requested object does not exist
	ExitUnavailable = 7 // nothing was done; try again later
)

// exitError is an error that determines the exit code of the command.
type exitError struct {
	code  int
	cause error
}

// Error returns the message of the cause.
func (e *exitError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.cause }

// newUsageError returns an error with exit code ExitUsage.
func newUsageError(format string, args ...any) error {
	return &exitError{code: ExitUsage, cause: errors.Errorf(format, args...)}
}

// Run runs the command that args, which include the program name, select. It writes an error to stderr and
// returns the exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	app := newApp(stdout, stderr)
	err := app.Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	// A failed write is ignored: there is no other place to report it.
	_, _ = fmt.Fprintln(stderr, "ambertiller: "+err.Error())
	return exitCode(err)
}

// exitCode returns the exit code for an error of a command.
func exitCode(err error) int {
	var e *exitError
	if errors.As(err, &e) {
		return e.code
	}
	var problem *api.Problem
	if errors.As(err, &problem) {
		return problemExitCode(problem)
	}
	return ExitFailed
}

// problemExitCode returns the exit code for a problem that an entry responded with.
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

// newApp returns the root command. Its ExitErrHandler does nothing, so that Run decides on the exit code.
func newApp(stdout, stderr io.Writer) *cli.Command {
	return &cli.Command{
		Name:                  "ambertiller",
		Usage:                 "schedule latency-critical and batch work on the same workers",
		Version:               version + revision(),
		EnableShellCompletion: true,
		Writer:                stdout,
		ErrWriter:             stderr,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return newUsageError("%v; see `ambertiller help`", err)
		},
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "entry", Usage: "URL of an entry, or of the load balancer in front of the entries", Value: defaultEntry, Sources: envVar("ENTRY")},
			&cli.StringFlag{Name: "output", Usage: "output format: table or json", Value: outputTable, Sources: envVar("OUTPUT")},
			&cli.DurationFlag{Name: "timeout", Usage: "time limit of an operator's command", Value: defaultTimeout, Sources: envVar("TIMEOUT")},
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

// envVar returns the environment variable AMBERTILLER_name as the source of a flag's value.
func envVar(name string) cli.ValueSourceChain { return cli.EnvVars("AMBERTILLER_" + name) }

// revision returns the revision of the source from which the binary was built, in parentheses after
// a space, or an empty string if it is unknown.
func revision() string {
	buildInfo, found := debug.ReadBuildInfo()
	if !found {
		return ""
	}
	for _, setting := range buildInfo.Settings {
		if setting.Key == "vcs.revision" {
			return " (" + setting.Value + ")"
		}
	}
	return ""
}

// versionInfo is the output of `ambertiller version`.
type versionInfo struct {
	Version string `json:"version"`
	Format  uint32 `json:"record_format"`
}
