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
	mostAppends       = 10_000
	mostInstances     = 1000
	mostSnapshotEvery = 10_000_000
)

// stoppable is a role that runs until it is told to stop.
type stoppable interface {
	Start(ctx context.Context) error
	Stop(ctx context.Context) error
}

// runRole starts a role, waits for SIGTERM or SIGINT, and stops it within the
// bound. A second signal ends it at once.
func runRole(ctx context.Context, role stoppable, bound time.Duration) error {
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
		Flags: append(roleFlags(entryProcessors),
			&cli.StringFlag{Name: "name", Usage: "name of this instance, as on the platform's list", Sources: env("NAME")},
			&cli.StringFlag{Name: "failure-domain", Usage: "failure domain of this instance", Sources: env("FAILURE_DOMAIN")},
			&cli.StringFlag{Name: "http", Usage: "IP number and port for callers, operators and the balancer", Sources: env("HTTP")},
			&cli.StringFlag{Name: "rpc", Usage: "IP number and port for guards and other entries", Sources: env("RPC")},
			&cli.StringFlag{Name: "platform", Usage: "URL of the platform's log and instance list", Sources: env("PLATFORM")},
			&cli.IntFlag{Name: "appends-per-second", Usage: "bound on this entry's appends to the log, 1 to 10000", Value: 90, Sources: env("APPENDS_PER_SECOND")},
			&cli.IntFlag{Name: "snapshot-every", Usage: "entries of the log between snapshots, 100 to 10000000", Value: 20_000, Sources: env("SNAPSHOT_EVERY")},
		),
		Action: func(ctx context.Context, from *cli.Command) error {
			given := &settings{from: from}
			options := daemon.EntryOptions{
				Name:             given.text("name"),
				FailureDomain:    given.text("failure-domain"),
				HTTPAddress:      given.address("http"),
				RPCAddress:       given.address("rpc"),
				PlatformURL:      given.link("platform"),
				OTLPEndpoint:     given.optionalLink("otlp-endpoint"),
				AppendsPerSecond: float64(given.between("appends-per-second", 1, mostAppends)),
				SnapshotEvery:    int64(given.between("snapshot-every", 100, mostSnapshotEvery)),
				LeaveDelay:       given.duration("leave-delay", 0, longestStop),
				Events:           given.events(),
			}
			return runGiven(ctx, given, func() (stoppable, error) { return daemon.NewEntry(ctx, options) })
		},
	}
}

func guardCommand() *cli.Command {
	return &cli.Command{
		Name:  "guard",
		Usage: "run a guard: the process beside one backend server",
		Flags: append(roleFlags(guardProcessors),
			&cli.StringFlag{Name: "name", Usage: "name of the worker, as on the platform's list", Sources: env("NAME")},
			&cli.StringFlag{Name: "failure-domain", Usage: "failure domain of the worker", Sources: env("FAILURE_DOMAIN")},
			&cli.StringFlag{Name: "service", Usage: "service that the backend server runs", Sources: env("SERVICE")},
			&cli.StringFlag{Name: "rpc", Usage: "IP number and port for entries", Sources: env("RPC")},
			&cli.StringFlag{Name: "admin", Usage: "IP number and port for metrics and health", Sources: env("ADMIN")},
			&cli.StringFlag{Name: "platform", Usage: "URL of the platform's instance list", Sources: env("PLATFORM")},
			&cli.StringFlag{Name: "worker", Usage: "URL of the platform's interface to the worker", Sources: env("WORKER")},
			&cli.StringFlag{Name: "backend", Usage: "URL of the backend server", Sources: env("BACKEND")},
		),
		Action: func(ctx context.Context, from *cli.Command) error {
			given := &settings{from: from}
			options := daemon.GuardOptions{
				Name:          given.text("name"),
				FailureDomain: given.text("failure-domain"),
				Service:       given.text("service"),
				RPCAddress:    given.address("rpc"),
				AdminAddress:  given.address("admin"),
				PlatformURL:   given.link("platform"),
				WorkerURL:     given.link("worker"),
				BackendURL:    given.link("backend"),
				OTLPEndpoint:  given.optionalLink("otlp-endpoint"),
				LeaveDelay:    given.duration("leave-delay", 0, longestStop),
				Events:        given.events(),
			}
			return runGiven(ctx, given, func() (stoppable, error) { return daemon.NewGuard(ctx, options) })
		},
	}
}

// runGiven makes a role once all its settings are sound, and runs it.
func runGiven(ctx context.Context, given *settings, role func() (stoppable, error)) error {
	given.processors()
	bound := given.duration("stop-timeout", time.Second, longestStop)
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
			&cli.StringFlag{Name: "network", Usage: "first two parts of the loopback IP numbers to use", Value: "127.70", Sources: env("NETWORK")},
			&cli.IntFlag{Name: "workers", Usage: "number of workers, 1 to 1000", Value: 3, Sources: env("WORKERS")},
			&cli.IntFlag{Name: "entries", Usage: "number of entries on the list, 1 to 1000", Value: 2, Sources: env("ENTRIES")},
			&cli.StringFlag{Name: "failure-domains", Usage: "names, with commas between", Value: "milano-a,milano-b,bergamo", Sources: env("FAILURE_DOMAINS")},
			&cli.IntFlag{Name: "processors", Usage: "processors of a worker, 1 to 1000", Value: 32, Sources: env("PROCESSORS")},
			&cli.DurationFlag{Name: "work-time", Usage: "time of a request at a backend server", Value: 0, Sources: env("WORK_TIME")},
		},
		Action: func(ctx context.Context, from *cli.Command) error {
			given := &settings{from: from}
			network := given.text("network")
			if !strings.HasPrefix(network, "127.") || strings.Count(network, ".") != 1 {
				given.fault("network", "must be the first two parts of a loopback IP number, such as 127.70")
			}
			options := standin.Options{
				Layout:         standin.Layout{Network: network},
				Workers:        given.between("workers", 1, mostInstances),
				Entries:        given.between("entries", 1, mostInstances),
				FailureDomains: strings.Split(given.text("failure-domains"), ","),
				Processors:     given.between("processors", 1, mostInstances),
				WorkTime:       given.duration("work-time", 0, time.Hour),
			}
			if err := given.err(); err != nil {
				return err
			}
			return runRole(ctx, &standinRole{options: options}, time.Second)
		},
	}
}
