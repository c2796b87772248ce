package command

import (
	"context"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"ambertiller.example/ambertiller/daemon"
	"ambertiller.example/ambertiller/standin"
)

// Maximum values of flags.
const (
	maxAppendsPerSecond = 10_000
	maxInstances        = 1000
	maxSnapshotEvery    = 10_000_000
)

// runnableRole is a role that runs from Start until Stop.
type runnableRole interface {
	Start(ctx context.Context) error
	Stop(ctx context.Context) error
}

// runRole starts a role, waits for SIGTERM, SIGINT or the end of ctx, and then stops the role
// within stopTimeout. A second signal aborts the stop.
func runRole(ctx context.Context, role runnableRole, stopTimeout time.Duration) error {
	if err := role.Start(ctx); err != nil {
		return errors.Wrap(err, "start")
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	select {
	case <-signals:
	case <-ctx.Done():
	}
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	return errors.Wrap(role.Stop(stopCtx), "the planned stop did not finish the work in flight")
}

func entryCommand() *cli.Command {
	return &cli.Command{
		Name:  "entry",
		Usage: "run an entry: the process that serves callers and operators",
		Flags: append(roleFlags(defaultEntryProcessors),
			&cli.StringFlag{Name: "name", Usage: "name of this instance, as in the platform's instance list", Sources: envVar("NAME")},
			&cli.StringFlag{Name: "failure-domain", Usage: "failure domain of this instance", Sources: envVar("FAILURE_DOMAIN")},
			&cli.StringFlag{Name: "http", Usage: "IP address and port for callers, operators and the load balancer", Sources: envVar("HTTP")},
			&cli.StringFlag{Name: "rpc", Usage: "IP address and port for guards and other entries", Sources: envVar("RPC")},
			&cli.StringFlag{Name: "platform", Usage: "URL of the platform's log and instance list", Sources: envVar("PLATFORM")},
			&cli.IntFlag{Name: "appends-per-second", Usage: "maximum rate of this entry's appends to the log, 1 to 10000", Value: 90, Sources: envVar("APPENDS_PER_SECOND")},
			&cli.IntFlag{Name: "snapshot-every", Usage: "number of log entries between snapshots, 100 to 10000000", Value: 20_000, Sources: envVar("SNAPSHOT_EVERY")},
		),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			flags := &settings{command: cmd}
			options := daemon.EntryOptions{
				Name:             flags.requiredString("name"),
				FailureDomain:    flags.requiredString("failure-domain"),
				HTTPAddress:      flags.listenAddress("http"),
				RPCAddress:       flags.listenAddress("rpc"),
				PlatformURL:      flags.requiredURL("platform"),
				OTLPEndpoint:     flags.optionalURL("otlp-endpoint"),
				AppendsPerSecond: float64(flags.intInRange("appends-per-second", 1, maxAppendsPerSecond)),
				SnapshotEvery:    int64(flags.intInRange("snapshot-every", 100, maxSnapshotEvery)),
				LeaveDelay:       flags.durationInRange("leave-delay", 0, maxStopTimeout),
				Events:           flags.openLogger(),
			}
			return runWithSettings(ctx, flags, func() (runnableRole, error) { return daemon.NewEntry(ctx, options) })
		},
	}
}

func guardCommand() *cli.Command {
	return &cli.Command{
		Name:  "guard",
		Usage: "run a guard: the process that runs next to one backend server",
		Flags: append(roleFlags(defaultGuardProcessors),
			&cli.StringFlag{Name: "name", Usage: "name of the worker, as in the platform's instance list", Sources: envVar("NAME")},
			&cli.StringFlag{Name: "failure-domain", Usage: "failure domain of the worker", Sources: envVar("FAILURE_DOMAIN")},
			&cli.StringFlag{Name: "service", Usage: "service that the backend server runs", Sources: envVar("SERVICE")},
			&cli.StringFlag{Name: "rpc", Usage: "IP address and port for entries", Sources: envVar("RPC")},
			&cli.StringFlag{Name: "admin", Usage: "IP address and port for metrics and health checks", Sources: envVar("ADMIN")},
			&cli.StringFlag{Name: "platform", Usage: "URL of the platform's instance list", Sources: envVar("PLATFORM")},
			&cli.StringFlag{Name: "worker", Usage: "URL of the platform's API for the worker", Sources: envVar("WORKER")},
			&cli.StringFlag{Name: "backend", Usage: "URL of the backend server", Sources: envVar("BACKEND")},
		),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			flags := &settings{command: cmd}
			options := daemon.GuardOptions{
				Name:          flags.requiredString("name"),
				FailureDomain: flags.requiredString("failure-domain"),
				Service:       flags.requiredString("service"),
				RPCAddress:    flags.listenAddress("rpc"),
				AdminAddress:  flags.listenAddress("admin"),
				PlatformURL:   flags.requiredURL("platform"),
				WorkerURL:     flags.requiredURL("worker"),
				BackendURL:    flags.requiredURL("backend"),
				OTLPEndpoint:  flags.optionalURL("otlp-endpoint"),
				LeaveDelay:    flags.durationInRange("leave-delay", 0, maxStopTimeout),
				Events:        flags.openLogger(),
			}
			return runWithSettings(ctx, flags, func() (runnableRole, error) { return daemon.NewGuard(ctx, options) })
		},
	}
}

// runWithSettings creates a role and runs it, unless the flags have faults.
func runWithSettings(ctx context.Context, flags *settings, newRole func() (runnableRole, error)) error {
	flags.applyRuntimeLimits()
	stopTimeout := flags.durationInRange("stop-timeout", time.Second, maxStopTimeout)
	if err := flags.err(); err != nil {
		return err
	}
	role, err := newRole()
	if err != nil {
		return err
	}
	return runRole(ctx, role, stopTimeout)
}

// standinRole runs the stand-in for the platform.
type standinRole struct {
	options  standin.Options
	platform *standin.Platform
}

// Start starts the stand-in.
func (role *standinRole) Start(ctx context.Context) error {
	platform, err := standin.Start(ctx, role.options)
	role.platform = platform
	return err
}

// Stop closes the stand-in. It does not wait for requests in flight.
func (role *standinRole) Stop(context.Context) error {
	role.platform.Close()
	return nil
}

func standinCommand() *cli.Command {
	return &cli.Command{
		Name:  "standin",
		Usage: "run a small stand-in for the platform, for trials: a log, an instance list, and workers with a backend server each",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "network", Usage: "first two octets of the loopback IP addresses to use", Value: "127.70", Sources: envVar("NETWORK")},
			&cli.IntFlag{Name: "workers", Usage: "number of workers, 1 to 1000", Value: 3, Sources: envVar("WORKERS")},
			&cli.IntFlag{Name: "entries", Usage: "number of entries in the instance list, 1 to 1000", Value: 2, Sources: envVar("ENTRIES")},
			&cli.StringFlag{Name: "failure-domains", Usage: "comma-separated names", Value: "milano-a,milano-b,bergamo", Sources: envVar("FAILURE_DOMAINS")},
			&cli.IntFlag{Name: "processors", Usage: "processors of a worker, 1 to 1000", Value: 32, Sources: envVar("PROCESSORS")},
			&cli.DurationFlag{Name: "work-time", Usage: "processing time of a request at a backend server", Value: 0, Sources: envVar("WORK_TIME")},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			flags := &settings{command: cmd}
			network := flags.requiredString("network")
			if !strings.HasPrefix(network, "127.") || strings.Count(network, ".") != 1 {
				flags.addFault("network", "must be the first two octets of a loopback IP address, such as 127.70")
			}
			options := standin.Options{
				Layout:         standin.Layout{Network: network},
				Workers:        flags.intInRange("workers", 1, maxInstances),
				Entries:        flags.intInRange("entries", 1, maxInstances),
				FailureDomains: strings.Split(flags.requiredString("failure-domains"), ","),
				Processors:     flags.intInRange("processors", 1, maxInstances),
				WorkTime:       flags.durationInRange("work-time", 0, time.Hour),
			}
			if err := flags.err(); err != nil {
				return err
			}
			return runRole(ctx, &standinRole{options: options}, time.Second)
		},
	}
}
