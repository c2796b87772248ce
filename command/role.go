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

const (
	maxAppendsPerSecond = 10_000
	maxInstances        = 1000
	maxSnapshotEvery    = 10_000_000
)

// runnableRole is a role that runs until it is told to stop.
type runnableRole interface {
	Start(ctx context.Context) error
	Stop(ctx context.Context) error
}

// runRole starts a role, waits for SIGTERM or SIGINT, and stops it within the
// bound. A second signal ends it at once.
func runRole(ctx context.Context, role runnableRole, bound time.Duration) error {
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
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), bound)
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	return errors.Wrap(role.Stop(stopCtx), "the planned stop did not finish what was in flight")
}

func entryCommand() *cli.Command {
	return &cli.Command{
		Name:  "entry",
		Usage: "run an entry: the process that callers and operators reach",
		Flags: append(roleFlags(defaultEntryProcessors),
			&cli.StringFlag{Name: "name", Usage: "name of this instance, as on the platform's list", Sources: envVar("NAME")},
			&cli.StringFlag{Name: "failure-domain", Usage: "failure domain of this instance", Sources: envVar("FAILURE_DOMAIN")},
			&cli.StringFlag{Name: "http", Usage: "IP number and port for callers, operators and the balancer", Sources: envVar("HTTP")},
			&cli.StringFlag{Name: "rpc", Usage: "IP number and port for guards and other entries", Sources: envVar("RPC")},
			&cli.StringFlag{Name: "platform", Usage: "URL of the platform's log and instance list", Sources: envVar("PLATFORM")},
			&cli.IntFlag{Name: "appends-per-second", Usage: "bound on this entry's appends to the log, 1 to 10000", Value: 90, Sources: envVar("APPENDS_PER_SECOND")},
			&cli.IntFlag{Name: "snapshot-every", Usage: "entries of the log between snapshots, 100 to 10000000", Value: 20_000, Sources: envVar("SNAPSHOT_EVERY")},
		),
		Action: func(ctx context.Context, from *cli.Command) error {
			given := &settings{command: from}
			options := daemon.EntryOptions{
				Name:             given.requiredString("name"),
				FailureDomain:    given.requiredString("failure-domain"),
				HTTPAddress:      given.listenAddress("http"),
				RPCAddress:       given.listenAddress("rpc"),
				PlatformURL:      given.requiredURL("platform"),
				OTLPEndpoint:     given.optionalURL("otlp-endpoint"),
				AppendsPerSecond: float64(given.intInRange("appends-per-second", 1, maxAppendsPerSecond)),
				SnapshotEvery:    int64(given.intInRange("snapshot-every", 100, maxSnapshotEvery)),
				LeaveDelay:       given.durationInRange("leave-delay", 0, maxStopTimeout),
				Events:           given.openLogger(),
			}
			return runWithSettings(ctx, given, func() (runnableRole, error) { return daemon.NewEntry(ctx, options) })
		},
	}
}

func guardCommand() *cli.Command {
	return &cli.Command{
		Name:  "guard",
		Usage: "run a guard: the process beside one backend server",
		Flags: append(roleFlags(defaultGuardProcessors),
			&cli.StringFlag{Name: "name", Usage: "name of the worker, as on the platform's list", Sources: envVar("NAME")},
			&cli.StringFlag{Name: "failure-domain", Usage: "failure domain of the worker", Sources: envVar("FAILURE_DOMAIN")},
			&cli.StringFlag{Name: "service", Usage: "service that the backend server runs", Sources: envVar("SERVICE")},
			&cli.StringFlag{Name: "rpc", Usage: "IP number and port for entries", Sources: envVar("RPC")},
			&cli.StringFlag{Name: "admin", Usage: "IP number and port for metrics and health", Sources: envVar("ADMIN")},
			&cli.StringFlag{Name: "platform", Usage: "URL of the platform's instance list", Sources: envVar("PLATFORM")},
			&cli.StringFlag{Name: "worker", Usage: "URL of the platform's interface to the worker", Sources: envVar("WORKER")},
			&cli.StringFlag{Name: "backend", Usage: "URL of the backend server", Sources: envVar("BACKEND")},
		),
		Action: func(ctx context.Context, from *cli.Command) error {
			given := &settings{command: from}
			options := daemon.GuardOptions{
				Name:          given.requiredString("name"),
				FailureDomain: given.requiredString("failure-domain"),
				Service:       given.requiredString("service"),
				RPCAddress:    given.listenAddress("rpc"),
				AdminAddress:  given.listenAddress("admin"),
				PlatformURL:   given.requiredURL("platform"),
				WorkerURL:     given.requiredURL("worker"),
				BackendURL:    given.requiredURL("backend"),
				OTLPEndpoint:  given.optionalURL("otlp-endpoint"),
				LeaveDelay:    given.durationInRange("leave-delay", 0, maxStopTimeout),
				Events:        given.openLogger(),
			}
			return runWithSettings(ctx, given, func() (runnableRole, error) { return daemon.NewGuard(ctx, options) })
		},
	}
}

// runWithSettings makes a role once all its settings are sound, and runs it.
func runWithSettings(ctx context.Context, given *settings, role func() (runnableRole, error)) error {
	given.applyRuntimeLimits()
	bound := given.durationInRange("stop-timeout", time.Second, maxStopTimeout)
	if err := given.err(); err != nil {
		return err
	}
	made, err := role()
	if err != nil {
		return err
	}
	return runRole(ctx, made, bound)
}

// standinRole runs the stand-in until it is told to stop.
type standinRole struct {
	options  standin.Options
	platform *standin.Platform
}

// Start implements stoppable.
func (role *standinRole) Start(ctx context.Context) error {
	platform, err := standin.Start(ctx, role.options)
	role.platform = platform
	return err
}

// Stop implements stoppable.
func (role *standinRole) Stop(context.Context) error {
	role.platform.Close()
	return nil
}

func standinCommand() *cli.Command {
	return &cli.Command{
		Name:  "standin",
		Usage: "run a small stand-in for the platform, for trying things out: a log, an instance list, workers with a backend server each",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "network", Usage: "first two parts of the loopback IP numbers to use", Value: "127.70", Sources: envVar("NETWORK")},
			&cli.IntFlag{Name: "workers", Usage: "number of workers, 1 to 1000", Value: 3, Sources: envVar("WORKERS")},
			&cli.IntFlag{Name: "entries", Usage: "number of entries on the list, 1 to 1000", Value: 2, Sources: envVar("ENTRIES")},
			&cli.StringFlag{Name: "failure-domains", Usage: "names, with commas between", Value: "milano-a,milano-b,bergamo", Sources: envVar("FAILURE_DOMAINS")},
			&cli.IntFlag{Name: "processors", Usage: "processors of a worker, 1 to 1000", Value: 32, Sources: envVar("PROCESSORS")},
			&cli.DurationFlag{Name: "work-time", Usage: "time of a request at a backend server", Value: 0, Sources: envVar("WORK_TIME")},
		},
		Action: func(ctx context.Context, from *cli.Command) error {
			given := &settings{command: from}
			network := given.requiredString("network")
			if !strings.HasPrefix(network, "127.") || strings.Count(network, ".") != 1 {
				given.addFault("network", "must be the first two parts of a loopback IP number, such as 127.70")
			}
			options := standin.Options{
				Layout:         standin.Layout{Network: network},
				Workers:        given.intInRange("workers", 1, maxInstances),
				Entries:        given.intInRange("entries", 1, maxInstances),
				FailureDomains: strings.Split(given.requiredString("failure-domains"), ","),
				Processors:     given.intInRange("processors", 1, maxInstances),
				WorkTime:       given.durationInRange("work-time", 0, time.Hour),
			}
			if err := given.err(); err != nil {
				return err
			}
			return runRole(ctx, &standinRole{options: options}, time.Second)
		},
	}
}
