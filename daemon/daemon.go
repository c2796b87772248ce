// Package daemon assembles the services of each role in a kernel, which starts and stops them in the order of
// their dependencies (see package kernel). A process such as `ambertiller entry` or `ambertiller guard` runs
// one role; the demo runs several in one process.
//
// # Usage
//
//	entry, err := daemon.NewEntry(ctx, daemon.EntryOptions{Name: "entry-1", ...})
//	if err := entry.Start(ctx); err != nil { ... }
//	defer entry.Stop(stopCtx)
//
// # Stopping
//
// Stop is a planned stop. The role announces that it is leaving, waits LeaveDelay so that others notice,
// completes the work in flight, and only then closes its listeners. The context of Stop limits the time that
// all of this takes.
package daemon

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/kernel"
	"ambertiller.example/ambertiller/telemetry"
	"ambertiller.example/ambertiller/uptime"
)

const (
	readHeaderTimeout   = 5 * time.Second
	readTimeout         = 30 * time.Second
	idleTimeout         = 2 * time.Minute
	maxHeaderBytes      = 32 << 10
	maxIdleConnsPerHost = 8
	platformTimeout     = 40 * time.Second
)

// Names of the services in a kernel.
const (
	ServiceMetrics   = "metrics"
	ServicePool      = "pool"
	ServiceJournal   = "journal"
	ServiceRole      = "role"
	ServiceRPC       = "rpc"
	ServiceHTTP      = "http"
	ServiceDrain     = "drain"
	ServiceClaimEnds = "settle"
)

// Daemon runs the services of one role.
type Daemon struct {
	kern   *kernel.Kernel
	events *event.Logger
}

// Start starts the services of the role.
func (daemon *Daemon) Start(ctx context.Context) error {
	if err := daemon.kern.Start(ctx); err != nil {
		return err
	}
	daemon.events.Log(ctx, event.ProcessStarted)
	return nil
}

// Stop completes the work in flight and stops the services. It stops waiting for work when ctx ends.
func (daemon *Daemon) Stop(ctx context.Context) error {
	daemon.events.Log(ctx, event.ProcessStopping)
	err := daemon.kern.Stop(ctx)
	daemon.events.Log(ctx, event.ProcessStopped, slog.Any("error", err))
	return err
}

// backgroundLoop runs a function in a goroutine until it is stopped.
type backgroundLoop struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

func (loop *backgroundLoop) start(run func(ctx context.Context)) {
	var ctx context.Context
	ctx, loop.cancel = context.WithCancel(context.Background())
	loop.wg.Go(func() {
		defer logPanic()
		run(ctx)
	})
}

// stop cancels the function's context and waits until the function returns or ctx ends. A function that
// ignores its own context must not keep the process from stopping in time.
func (loop *backgroundLoop) stop(ctx context.Context) error {
	loop.cancel()
	done := make(chan struct{})
	go func() {
		loop.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "service did not stop in time")
	}
}

// runService returns a service that runs a function from its start to its stop.
func runService(name string, run func(ctx context.Context), provides any, needs ...string) kernel.Service {
	loop := &backgroundLoop{}
	return kernel.Service{
		Name:     name,
		Needs:    needs,
		Provides: provides,
		Start:    func(context.Context) error { loop.start(run); return nil },
		Stop:     loop.stop,
	}
}

func registerAll(kern *kernel.Kernel, services ...kernel.Service) error {
	for _, service := range services {
		if err := kern.Register(service); err != nil {
			return err
		}
	}
	return nil
}

// httpService returns a service that serves a handler on an address. Stop completes the requests in flight;
// requests that are still in flight when its context ends are aborted.
func httpService(name string, needs []string, address string, handler http.Handler) kernel.Service {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	loop := &backgroundLoop{}
	return kernel.Service{
		Name:  name,
		Needs: needs,
		Start: func(ctx context.Context) error {
			listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
			if err != nil {
				return errors.Wrap(err, "listen for HTTP")
			}
			loop.start(func(context.Context) { _ = server.Serve(listener) })
			return nil
		},
		Stop: func(ctx context.Context) error {
			err := server.Shutdown(ctx)
			if err != nil {
				_ = server.Close()
			}
			_ = loop.stop(ctx)
			return errors.Wrap(err, "complete HTTP requests in flight")
		},
	}
}

func metricsService(metrics *telemetry.Metrics) kernel.Service {
	return kernel.Service{Name: ServiceMetrics, Provides: metrics, Stop: metrics.Shutdown}
}

// newPlatformClient returns an HTTP client for the platform's log and instance list.
func newPlatformClient() *http.Client {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost, IdleConnTimeout: idleTimeout}
	return &http.Client{Transport: transport, Timeout: platformTimeout}
}

// sleep waits for the duration, or until ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

// newAdminMux returns a handler for metrics, liveness and readiness.
func newAdminMux(metrics *telemetry.Metrics, isReady func() bool) *http.ServeMux {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", metrics.Handler())
	mux.HandleFunc("GET /healthz", func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = writer.Write([]byte("alive\n"))
	})
	mux.HandleFunc("GET /readyz", func(writer http.ResponseWriter, _ *http.Request) {
		if !isReady() {
			http.Error(writer, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = writer.Write([]byte("ready\n"))
	})
	return mux
}

// newLeaseClock returns the clock by which entries and guards measure leases. It also counts the time that the
// machine is suspended, so that an offer or the last read of the log ages during a suspension.
func newLeaseClock() (clockwork.Clock, error) {
	bootClocks, err := uptime.New()
	if err != nil {
		return nil, err
	}
	return uptime.NewSuspendAwareClock(clockwork.NewRealClock(), bootClocks.SuspendedFor), nil
}
