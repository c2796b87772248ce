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

// GuardOptions sets up a guard's process.
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
	// LeaveDelay is how long a planned stop waits for entries to notice.
	LeaveDelay time.Duration
	Events     *event.Logger
}

// Guard is a running guard.
type Guard struct {
	Daemon
	role *guard.Guard
}

// Role returns the guard itself.
func (running *Guard) Role() *guard.Guard { return running.role }

// NewGuard puts a guard's services together.
func NewGuard(ctx context.Context, options GuardOptions) (*Guard, error) {
	events := options.Events.With("role", "guard", "name", options.Name)
	metering, err := telemetry.New(ctx, telemetry.Options{Role: "guard", Name: options.Name, OTLPEndpoint: options.OTLPEndpoint})
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
		Meters:        metering.Provider(),
	})
	running := &Guard{Daemon: Daemon{kern: kernel.New(), events: events}, role: role}
	return running, registerAll(running.kern,
		metricsService(metering),
		kernel.Service{Name: ServicePool, Provides: pool, Stop: func(context.Context) error { return pool.Close() }},
		roleService(role.Run, role, ServicePool, ServiceMetrics),
		rpcService(options.RPCAddress, func(mux *drpcmux.Mux) error { return wire.DRPCRegisterGuard(mux, role) }),
		httpService(ServiceHTTP, []string{ServiceRole}, options.AdminAddress, newAdminMux(metering, role.Ready)),
		guardDrainService(role, options.LeaveDelay),
	)
}

func newWorkerClient() *http.Client {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost, IdleConnTimeout: idleTimeout}
	return &http.Client{Transport: transport}
}

// guardDrainService refuses new work, gives the entries time to hear of it,
// and finishes the requests in flight. Tasks run on under their leases: the
// next start of the guard adopts them.
func guardDrainService(role *guard.Guard, delay time.Duration) kernel.Service {
	return kernel.Service{
		Name:  ServiceDrain,
		Needs: []string{ServiceRPC, ServiceHTTP},
		Stop: func(ctx context.Context) error {
			role.BeginShutdown(ctx)
			sleep(ctx, delay)
			return errors.Wrap(role.WaitIdle(ctx), "finish requests")
		},
	}
}
