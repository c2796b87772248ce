// Package demo starts several entries and guards in one process, together with a stand-in for the platform,
// and checks that they work together. The roles use real sockets and the same kernel and services as in their
// own processes.
//
// # Usage
//
//	err := demo.Run(ctx, demo.Options{Network: "127.70", Out: os.Stdout})
//
// The error is nil only if the checks of all steps have passed.
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

// Options configures a demo.
type Options struct {
	// Network is the first two bytes of the loopback addresses to use, such as 127.70.
	Network string
	// Serve keeps the roles running after the checks, until the process receives an interrupt or SIGTERM.
	Serve bool
	// Verbose writes the log to standard error.
	Verbose bool
	// Out receives the result of each step.
	Out io.Writer
}

// demo is one run of the demo.
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

// Run starts the roles, then runs the steps and checks each of them.
func Run(ctx context.Context, options Options) error {
	d, err := start(ctx, options)
	if err != nil {
		return err
	}
	defer d.stopAll(ctx)
	for _, step := range d.steps() {
		d.runStep(ctx, step)
	}
	if len(d.failedSteps) > 0 {
		return errors.Errorf("these steps failed: %s", strings.Join(d.failedSteps, ", "))
	}
	d.printf("every step was checked")
	if options.Serve {
		d.waitForSignal(ctx)
	}
	return nil
}

// step is a part of the demo that is run and checked. run returns a summary of what was observed.
type step struct {
	name string
	run  func(ctx context.Context) (string, error)
}

func (d *demo) steps() []step {
	return []step{
		{"configuration published and in force", d.publishConfig},
		{"snippet correction answered", d.correctSnippet},
		{"request that must not be repeated ran once", d.sendDuplicate},
		{"transcription submitted, placed, run and finished", d.runTranscription},
		{"policy published and in effect", d.publishPolicy},
		{"watch streams on, one guard and one entry stopped under load, nothing cut", d.stopUnderLoad},
	}
}

func (d *demo) runStep(ctx context.Context, step step) {
	ctx, cancel := context.WithTimeout(ctx, 2*stepTimeout)
	defer cancel()
	start := time.Now()
	summary, err := step.run(ctx)
	duration := time.Since(start).Round(time.Millisecond)
	if err != nil {
		d.failedSteps = append(d.failedSteps, step.name)
		d.printf("FAILED  %s: %v (after %s)", step.name, err, duration)
		return
	}
	d.printf("ok      %s: %s (%s)", step.name, summary, duration)
}

func (d *demo) printf(format string, args ...any) {
	// The demo continues if its output is closed; the exit code still reports the result.
	_, _ = fmt.Fprintf(d.options.Out, format+"\n", args...)
}

func start(ctx context.Context, options Options) (*demo, error) {
	d := &demo{options: options, events: event.Discard(), layout: standin.Layout{Network: options.Network}}
	if options.Verbose {
		events, err := event.Open(os.Stderr, "text", "info")
		if err != nil {
			return nil, err
		}
		d.events = events
	}
	platform, err := standin.Start(ctx, d.platformOptions())
	if err != nil {
		return nil, errors.Wrap(err, "start the stand-in; another run may use the same network, choose another one with --network")
	}
	d.platform = platform
	d.client = newBalancedClient(d.layout)
	for index := 1; index <= entryCount; index++ {
		if err := d.startEntry(ctx, index); err != nil {
			d.stopAll(ctx)
			return nil, err
		}
	}
	for index := 1; index <= workerCount; index++ {
		if err := d.startGuard(ctx, index); err != nil {
			d.stopAll(ctx)
			return nil, err
		}
	}
	d.printf("started a stand-in for the platform, %d entries and %d guards on %s.0.0/16", entryCount, workerCount, options.Network)
	return d, nil
}

func (d *demo) platformOptions() standin.Options {
	return standin.Options{Layout: d.layout, Workers: workerCount, Entries: entryCount, WorkTime: requestDuration}
}

func (d *demo) startEntry(ctx context.Context, index int) error {
	entry, err := daemon.NewEntry(ctx, daemon.EntryOptions{
		Name:          standin.EntryName(index),
		FailureDomain: d.platformOptions().FailureDomain(index),
		HTTPAddress:   d.layout.Entry(index, standin.EntryHTTPPort),
		RPCAddress:    d.layout.Entry(index, standin.EntryRPCPort),
		PlatformURL:   "http://" + d.layout.Platform(),
		LeaveDelay:    leaveDelay,
		Events:        d.events,
	})
	if err != nil {
		return err
	}
	d.entries[index-1] = entry
	return entry.Start(ctx)
}

func (d *demo) startGuard(ctx context.Context, index int) error {
	guard, err := daemon.NewGuard(ctx, daemon.GuardOptions{
		Name:          standin.WorkerName(index),
		FailureDomain: d.platformOptions().FailureDomain(index),
		Service:       service,
		RPCAddress:    d.layout.Worker(index, standin.GuardPort),
		AdminAddress:  d.layout.Worker(index, standin.GuardAdminPort),
		PlatformURL:   "http://" + d.layout.Platform(),
		WorkerURL:     "http://" + d.layout.Worker(index, standin.WorkerPort),
		BackendURL:    "http://" + d.layout.Worker(index, standin.BackendPort),
		LeaveDelay:    leaveDelay,
		Events:        d.events,
	})
	if err != nil {
		return err
	}
	d.guards[index-1] = guard
	return guard.Start(ctx)
}

// stopAll stops the roles and the platform without waiting for work in flight.
func (d *demo) stopAll(ctx context.Context) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	cancel()
	for _, entry := range d.entries {
		if entry != nil {
			_ = entry.Stop(ctx)
		}
	}
	for _, guard := range d.guards {
		if guard != nil {
			_ = guard.Stop(ctx)
		}
	}
	d.platform.Close()
}

func (d *demo) waitForSignal(ctx context.Context) {
	d.printf("serving; callers and operators reach http://%s and http://%s; stop with Ctrl-C",
		d.layout.Entry(1, standin.EntryHTTPPort), d.layout.Entry(2, standin.EntryHTTPPort))
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
}
