package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcmux"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/guard"
	"ambertiller.example/ambertiller/instances"
	"ambertiller.example/ambertiller/kernel"
	"ambertiller.example/ambertiller/rpc"
	"ambertiller.example/ambertiller/telemetry"
	"ambertiller.example/ambertiller/wire"
	"ambertiller.example/ambertiller/worker"
)

// GuardOptions configures the process of a guard.
type GuardOptions struct {
	Name          string
	FailureDomain string
	Service       string
	RPCAddress    string
	AdminAddress  string
	PlatformURL   string
	WorkerURL     string
	BackendURL    string
	OTLPEndpoint  string
	// LeaveDelay is how long a planned stop waits for entries to notice that the guard accepts no new work.
	LeaveDelay time.Duration
	Events     *event.Logger
}

// Guard is the process of a guard.
type Guard struct {
	Daemon
	role *guard.Guard
}

// Role returns the guard that the process runs.
func (daemon *Guard) Role() *guard.Guard { return daemon.role }

// NewGuard returns the process of a guard, which isn't started yet.
func NewGuard(ctx context.Context, options GuardOptions) (*Guard, error) {
	events := options.Events.With("role", "guard", "name", options.Name)
	metrics, err := telemetry.New(ctx, telemetry.Options{Role: "guard", Name: options.Name, OTLPEndpoint: options.OTLPEndpoint})
	if err != nil {
		return nil, err
	}
	clock, err := newLeaseClock()
	if err != nil {
		return nil, err
	}
	pool := rpc.NewPool(nil)
	role := guard.New(guard.Options{
		Name:          options.Name,
		Address:       options.RPCAddress,
		FailureDomain: options.FailureDomain,
		Service:       options.Service,
		BackendURL:    options.BackendURL,
		Worker:        worker.NewClient(options.WorkerURL, newWorkerClient()),
		Instances:     instances.NewClient(options.PlatformURL, newPlatformClient()),
		Pool:          pool,
		Clock:         clock,
		Events:        events,
		Meters:        metrics.Provider(),
	})
	daemon := &Guard{Daemon: Daemon{kern: kernel.New(), events: events}, role: role}
	return daemon, registerAll(daemon.kern,
		metricsService(metrics),
		kernel.Service{Name: ServicePool, Provides: pool, Stop: func(context.Context) error { return pool.Close() }},
		roleService(role.Run, role, ServicePool, ServiceMetrics),
		rpcService(options.RPCAddress, func(mux *drpcmux.Mux) error { return wire.DRPCRegisterGuard(mux, role) }),
		httpService(ServiceHTTP, []string{ServiceRole}, options.AdminAddress, newAdminMux(metrics, role.Ready)),
		guardDrainService(role, options.LeaveDelay),
	)
}

// newWorkerClient returns an HTTP client for the worker's interface. It has no timeout, because it also
// follows streams.
func newWorkerClient() *http.Client {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost, IdleConnTimeout: idleTimeout}
	return &http.Client{Transport: transport}
}

// guardDrainService refuses new work when it stops, waits for the delay so that the entries notice, and
// completes the requests in flight. Tasks continue to run under their leases; the guard adopts them when it
// starts again.
func guardDrainService(role *guard.Guard, delay time.Duration) kernel.Service {
	return kernel.Service{
		Name:  ServiceDrain,
		Needs: []string{ServiceRPC, ServiceHTTP},
		Stop: func(ctx context.Context) error {
			role.BeginShutdown(ctx)
			sleep(ctx, delay)
			return errors.Wrap(role.WaitIdle(ctx), "complete requests in flight")
		},
	}
}
