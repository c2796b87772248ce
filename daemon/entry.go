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

// EntryOptions configures the process of an entry.
type EntryOptions struct {
	Name          string
	FailureDomain string
	HTTPAddress   string
	RPCAddress    string
	PlatformURL   string
	OTLPEndpoint  string
	// AppendsPerSecond limits how often this entry appends to the platform's log. Zero means the default of
	// package changelog.
	AppendsPerSecond float64
	// SnapshotEvery is the number of log entries between snapshots. Zero means the default of package
	// changelog.
	SnapshotEvery int64
	// LeaveDelay is how long a planned stop waits for the load balancer to notice that the entry isn't ready.
	LeaveDelay time.Duration
	Events     *event.Logger
}

// Entry is the process of an entry.
type Entry struct {
	Daemon
	role *entry.Entry
}

// Role returns the entry that the process runs.
func (daemon *Entry) Role() *entry.Entry { return daemon.role }

// NewEntry returns the process of an entry, which isn't started yet.
func NewEntry(ctx context.Context, options EntryOptions) (*Entry, error) {
	events := options.Events.With("role", "entry", "name", options.Name)
	metrics, err := telemetry.New(ctx, telemetry.Options{Role: "entry", Name: options.Name, OTLPEndpoint: options.OTLPEndpoint})
	if err != nil {
		return nil, err
	}
	clock, err := newLeaseClock()
	if err != nil {
		return nil, err
	}
	client := newPlatformClient()
	journal := changelog.New(logservice.NewClient(options.PlatformURL, client), changelog.Options{
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
		Journal:       journal,
		Instances:     instances.NewClient(options.PlatformURL, client),
		Pool:          pool,
		Clock:         clock,
		Events:        events,
		Meters:        metrics.Provider(),
	})
	handler, err := role.Handler()
	if err != nil {
		return nil, err
	}
	daemon := &Entry{Daemon: Daemon{kern: kernel.New(), events: events}, role: role}
	return daemon, registerAll(daemon.kern,
		metricsService(metrics),
		kernel.Service{Name: ServicePool, Provides: pool, Stop: func(context.Context) error { return pool.Close() }},
		runService(ServiceJournal, journal.Run, journal),
		roleService(role.Run, role, ServicePool, ServiceJournal, ServiceMetrics),
		entryRPCService(role, options.RPCAddress),
		claimEndsService(role),
		httpService(ServiceHTTP, []string{ServiceClaimEnds}, options.HTTPAddress, withMetricsEndpoint(handler, metrics)),
		entryDrainService(role, options.LeaveDelay),
	)
}

// roleService runs the main loop of a role and provides the role to other services.
func roleService(run func(ctx context.Context), role any, needs ...string) kernel.Service {
	return runService(ServiceRole, run, role, needs...)
}

func entryRPCService(role *entry.Entry, address string) kernel.Service {
	return rpcService(address, func(mux *drpcmux.Mux) error { return wire.DRPCRegisterEntry(mux, role) })
}

// rpcService serves the RPC interface that register adds to the mux.
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

// claimEndsService waits, when it stops, until the ends of all claims are recorded. The HTTP service needs it,
// so the HTTP server has completed its requests by then.
func claimEndsService(role *entry.Entry) kernel.Service {
	return kernel.Service{
		Name:  ServiceClaimEnds,
		Needs: []string{ServiceRole, ServiceRPC},
		Stop: func(ctx context.Context) error {
			return errors.Wrap(role.WaitClaims(ctx), "record the ends of claims")
		},
	}
}

// entryDrainService makes the entry report that it isn't ready, and waits for the delay so that the load
// balancer notices. It starts last and therefore stops first. Requests that still arrive are served; the HTTP
// service completes them when it stops.
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

// withMetricsEndpoint serves the metrics at /metrics and passes all other requests to the handler.
func withMetricsEndpoint(handler http.Handler, metrics *telemetry.Metrics) http.Handler {
	metricsHandler := metrics.Handler()
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/metrics" {
			metricsHandler.ServeHTTP(writer, request)
			return
		}
		handler.ServeHTTP(writer, request)
	})
}
