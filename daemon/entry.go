package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcmux"

	"ambertiller.example/ambertiller/changelog"
	"ambertiller.example/ambertiller/entry"
	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/instances"
	"ambertiller.example/ambertiller/kernel"
	"ambertiller.example/ambertiller/logservice"
	"ambertiller.example/ambertiller/rpc"
	"ambertiller.example/ambertiller/telemetry"
	"ambertiller.example/ambertiller/wire"
)

// EntryOptions sets up an entry's process.
type EntryOptions struct {
	Name             string
	FailureDomain    string
	HTTPAddress      string
	RPCAddress       string
	PlatformURL      string
	OTLPEndpoint     string
	AppendsPerSecond float64
	SnapshotEvery    int64
	// LeaveDelay is how long a planned stop waits for the balancer to notice.
	LeaveDelay time.Duration
	Events     *event.Logger
}

// Entry is a running entry.
type Entry struct {
	Daemon
	role *entry.Entry
}

// Role returns the entry itself.
func (running *Entry) Role() *entry.Entry { return running.role }

// NewEntry puts an entry's services together.
func NewEntry(ctx context.Context, options EntryOptions) (*Entry, error) {
	events := options.Events.With("role", "entry", "name", options.Name)
	metering, err := telemetry.New(ctx, telemetry.Options{Role: "entry", Name: options.Name, OTLPEndpoint: options.OTLPEndpoint})
	if err != nil {
		return nil, err
	}
	clock, err := newLeaseClock()
	if err != nil {
		return nil, err
	}
	client := newPlatformClient()
	log := changelog.New(logservice.NewClient(options.PlatformURL, client), changelog.Options{
		Writer:           options.Name,
		AppendsPerSecond: options.AppendsPerSecond,
		SnapshotEvery:    options.SnapshotEvery,
		Clock:            clock,
		Events:           events,
	})
	pool := rpc.NewPool(nil)
	role := entry.New(entry.Options{
		Name:          options.Name,
		FailureDomain: options.FailureDomain,
		Journal:       log,
		Instances:     instances.NewClient(options.PlatformURL, client),
		Pool:          pool,
		Clock:         clock,
		Events:        events,
		Meters:        metering.Provider(),
	})
	handler, err := role.Handler()
	if err != nil {
		return nil, err
	}
	running := &Entry{Daemon: Daemon{kern: kernel.New(), events: events}, role: role}
	return running, registerAll(running.kern,
		metricsService(metering),
		kernel.Service{Name: ServicePool, Provides: pool, Stop: func(context.Context) error { return pool.Close() }},
		runService(ServiceJournal, log.Run, log),
		roleService(role.Run, role, ServicePool, ServiceJournal, ServiceMetrics),
		entryRPCService(role, options.RPCAddress),
		claimEndsService(role),
		httpService(ServiceHTTP, []string{ServiceClaimEnds}, options.HTTPAddress, withMetricsEndpoint(handler, metering)),
		entryDrainService(role, options.LeaveDelay),
	)
}

func roleService(run func(ctx context.Context), role any, needs ...string) kernel.Service {
	return runService(ServiceRole, run, role, needs...)
}

func entryRPCService(role *entry.Entry, address string) kernel.Service {
	return rpcService(address, func(mux *drpcmux.Mux) error { return wire.DRPCRegisterEntry(mux, role) })
}

func rpcService(address string, register func(mux *drpcmux.Mux) error) kernel.Service {
	loop := &backgroundLoop{}
	return kernel.Service{
		Name:  ServiceRPC,
		Needs: []string{ServiceRole},
		Start: func(ctx context.Context) error {
			server, err := rpc.Listen(ctx, address, nil, register)
			if err != nil {
				return err
			}
			loop.start(func(ctx context.Context) { _ = server.Serve(ctx) })
			return nil
		},
		Stop: loop.stop,
	}
}

// claimEndsService stops after the listener for callers has finished the requests
// in flight, and records the ends of their claims.
func claimEndsService(role *entry.Entry) kernel.Service {
	return kernel.Service{
		Name:  ServiceClaimEnds,
		Needs: []string{ServiceRole, ServiceRPC},
		Stop: func(ctx context.Context) error {
			return errors.Wrap(role.WaitClaims(ctx), "record the ends of requests")
		},
	}
}

// entryDrainService is started last and so stopped first: it tells the
// balancer and waits for it. Requests that still come are served; the service
// of the listener finishes them.
func entryDrainService(role *entry.Entry, delay time.Duration) kernel.Service {
	return kernel.Service{
		Name:  ServiceDrain,
		Needs: []string{ServiceHTTP},
		Stop: func(ctx context.Context) error {
			role.BeginShutdown()
			sleep(ctx, delay)
			return nil
		},
	}
}

func withMetricsEndpoint(handler http.Handler, metering *telemetry.Metrics) http.Handler {
	scrape := metering.Handler()
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/metrics" {
			scrape.ServeHTTP(writer, request)
			return
		}
		handler.ServeHTTP(writer, request)
	})
}
