// Package demo brings every role up in one process, on real sockets and
// through the same kernel and services as the daemons, and checks what they do
// together.
//
// # Usage
//
//	err := demo.Run(ctx, demo.Options{Network: "127.70", Out: os.Stdout})
//
// The error is nil only if every step was seen to hold.
package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"ambertiller.example/ambertiller/daemon"
	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/standin"
)

const (
	workerCount     = 3
	entryCount      = 2
	service         = "verbale"
	leaveDelay      = 500 * time.Millisecond
	stopTimeout     = 20 * time.Second
	stepTimeout     = 30 * time.Second
	requestDuration = 2 * time.Millisecond
)

// Options sets up a demo.
type Options struct {
	// Network is the first two parts of the loopback IP numbers to use.
	Network string
	// Serve keeps serving after the checks, until a signal.
	Serve bool
	// Verbose writes the log to standard error.
	Verbose bool
	// Out receives what happened.
	Out io.Writer
}

// demo is one run.
type demo struct {
	options     Options
	events      *event.Logger
	platform    *standin.Platform
	layout      standin.Layout
	entries     [entryCount]*daemon.Entry
	guards      [workerCount]*daemon.Guard
	client      *balancedClient
	failedSteps []string
}

// Run brings the roles up, walks through the steps and checks each.
func Run(ctx context.Context, options Options) error {
	running, err := start(ctx, options)
	if err != nil {
		return err
	}
	defer running.stopAll(ctx)
	for _, step := range running.steps() {
		running.runStep(ctx, step)
	}
	if len(running.failedSteps) > 0 {
		return errors.Errorf("these steps failed: %s", strings.Join(running.failedSteps, ", "))
	}
	running.printf("every step was checked")
	if options.Serve {
		running.waitForSignal(ctx)
	}
	return nil
}

// step is one thing that is shown and checked.
type step struct {
	name string
	run  func(ctx context.Context) (string, error)
}

func (running *demo) steps() []step {
	return []step{
		{"configuration published and in force", running.publishConfig},
		{"snippet correction answered", running.correctSnippet},
		{"request that must not be repeated ran once", running.sendDuplicate},
		{"transcription submitted, placed, run and finished", running.runTranscription},
		{"policy published and in effect", running.publishPolicy},
		{"watch streams on, one guard and one entry stopped under load, nothing cut", running.stopUnderLoad},
	}
}

func (running *demo) runStep(ctx context.Context, next step) {
	ctx, cancel := context.WithTimeout(ctx, 2*stepTimeout)
	defer cancel()
	began := time.Now()
	figures, err := next.run(ctx)
	took := time.Since(began).Round(time.Millisecond)
	if err != nil {
		running.failedSteps = append(running.failedSteps, next.name)
		running.printf("FAILED  %s: %v (after %s)", next.name, err, took)
		return
	}
	running.printf("ok      %s: %s (%s)", next.name, figures, took)
}

func (running *demo) printf(format string, arguments ...any) {
	// A demo whose output is closed goes on; its exit code still tells.
	_, _ = fmt.Fprintf(running.options.Out, format+"\n", arguments...)
}

func start(ctx context.Context, options Options) (*demo, error) {
	running := &demo{options: options, events: event.Discard(), layout: standin.Layout{Network: options.Network}}
	if options.Verbose {
		events, err := event.Open(os.Stderr, "text", "info")
		if err != nil {
			return nil, err
		}
		running.events = events
	}
	platform, err := standin.Start(ctx, running.platformOptions())
	if err != nil {
		return nil, errors.Wrap(err, "start the stand-in; another run may hold the network, choose one with --network")
	}
	running.platform = platform
	running.client = newBalancedClient(running.layout)
	for index := 1; index <= entryCount; index++ {
		if err := running.startEntry(ctx, index); err != nil {
			running.stopAll(ctx)
			return nil, err
		}
	}
	for index := 1; index <= workerCount; index++ {
		if err := running.startGuard(ctx, index); err != nil {
			running.stopAll(ctx)
			return nil, err
		}
	}
	running.printf("started a stand-in for the platform, %d entries and %d guards on %s.0.0/16", entryCount, workerCount, options.Network)
	return running, nil
}

func (running *demo) platformOptions() standin.Options {
	return standin.Options{Layout: running.layout, Workers: workerCount, Entries: entryCount, WorkTime: requestDuration}
}

func (running *demo) startEntry(ctx context.Context, index int) error {
	made, err := daemon.NewEntry(ctx, daemon.EntryOptions{
		Name:          standin.EntryName(index),
		FailureDomain: running.platformOptions().FailureDomain(index),
		HTTPAddress:   running.layout.Entry(index, standin.EntryHTTPPort),
		RPCAddress:    running.layout.Entry(index, standin.EntryRPCPort),
		PlatformURL:   "http://" + running.layout.Platform(),
		LeaveDelay:    leaveDelay,
		Events:        running.events,
	})
	if err != nil {
		return err
	}
	running.entries[index-1] = made
	return made.Start(ctx)
}

func (running *demo) startGuard(ctx context.Context, index int) error {
	made, err := daemon.NewGuard(ctx, daemon.GuardOptions{
		Name:          standin.WorkerName(index),
		FailureDomain: running.platformOptions().FailureDomain(index),
		Service:       service,
		RPCAddress:    running.layout.Worker(index, standin.GuardPort),
		AdminAddress:  running.layout.Worker(index, standin.GuardAdminPort),
		PlatformURL:   "http://" + running.layout.Platform(),
		WorkerURL:     "http://" + running.layout.Worker(index, standin.WorkerPort),
		BackendURL:    "http://" + running.layout.Worker(index, standin.BackendPort),
		LeaveDelay:    leaveDelay,
		Events:        running.events,
	})
	if err != nil {
		return err
	}
	running.guards[index-1] = made
	return made.Start(ctx)
}

// stopAll stops what still runs, without waiting for anything in flight.
func (running *demo) stopAll(ctx context.Context) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	cancel()
	for _, made := range running.entries {
		if made != nil {
			_ = made.Stop(ctx)
		}
	}
	for _, made := range running.guards {
		if made != nil {
			_ = made.Stop(ctx)
		}
	}
	running.platform.Close()
}

func (running *demo) waitForSignal(ctx context.Context) {
	running.printf("serving; callers and operators reach http://%s and http://%s; stop with Ctrl-C",
		running.layout.Entry(1, standin.EntryHTTPPort), running.layout.Entry(2, standin.EntryHTTPPort))
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
}
