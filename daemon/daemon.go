// Package daemon puts the roles together as services of a kernel: what an
// `ambertiller entry` or `ambertiller guard` process runs, and what the demo
// runs several of in one process.
//
// # Usage
//
//	running, err := daemon.NewEntry(ctx, daemon.EntryOptions{Name: "entry-1", ...})
//	if err := running.Start(ctx); err != nil { ... }
//	defer running.Stop(stopCtx)
//
// # Stopping
//
// Stop is the planned stop: the role says that it leaves, waits LeaveDelay so
// that others have heard it, finishes what is in flight, and only then closes
// its listeners. The context given to Stop bounds all of it.
package daemon

import (
	"context"
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

// Names of the services of a kernel.
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

// Daemon is one running role.
type Daemon struct {
	kern   *kernel.Kernel
	events *event.Logger
}

// Start starts the role's services.
func (running *Daemon) Start(ctx context.Context) error {
	if err := running.kern.Start(ctx); err != nil {
		return err
	}
	running.events.Log(ctx, event.ProcessStarted)
	return nil
}

// Stop finishes what is in flight and stops, within the bound of ctx.
func (running *Daemon) Stop(ctx context.Context) error {
	running.events.Log(ctx, event.ProcessStopping)
	err := running.kern.Stop(ctx)
	running.events.Log(ctx, event.ProcessStopped)
	return err
}

// backgroundLoop is a service that runs until it is stopped.
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

// stop has the service end and waits for it, within the bound of ctx: one that does not
// heed its own context must not keep the process from ending in time.
func (loop *backgroundLoop) stop(ctx context.Context) error {
	loop.cancel()
	ended := make(chan struct{})
	go func() {
		loop.wg.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "a service did not end in time")
	}
}

// runService runs a function from the service's start to its stop.
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

// httpService serves a handler on an address. Stop finishes the requests in
// flight; those left when its context ends are broken off.
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
			return errors.Wrap(err, "finish HTTP requests")
		},
	}
}

func metricsService(metering *telemetry.Metrics) kernel.Service {
	return kernel.Service{Name: ServiceMetrics, Provides: metering, Stop: metering.Shutdown}
}

// newPlatformClient is the HTTP client towards the platform's log and list.
func newPlatformClient() *http.Client {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost, IdleConnTimeout: idleTimeout}
	return &http.Client{Transport: transport, Timeout: platformTimeout}
}

// sleep waits, or until ctx ends.
func sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

func newAdminMux(metering *telemetry.Metrics, ready func() bool) *http.ServeMux {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", metering.Handler())
	mux.HandleFunc("GET /healthz", func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = writer.Write([]byte("alive\n"))
	})
	mux.HandleFunc("GET /readyz", func(writer http.ResponseWriter, _ *http.Request) {
		if !ready() {
			http.Error(writer, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = writer.Write([]byte("ready\n"))
	})
	return mux
}

// newLeaseClock returns the clock that entries and guards reckon leases with: an offer, or the
// last word from the log, also grows old while the machine is suspended.
func newLeaseClock() (clockwork.Clock, error) {
	clocks, err := uptime.New()
	if err != nil {
		return nil, err
	}
	return uptime.NewSuspendAwareClock(clockwork.NewRealClock(), clocks.SuspendedFor), nil
}
