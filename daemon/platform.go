package daemon

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"storj.io/drpc/drpcmux"

	"ambertiller.example/ambertiller/agent"
	"ambertiller.example/ambertiller/candidacy"
	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/gateway"
	"ambertiller.example/ambertiller/incarnation"
	"ambertiller.example/ambertiller/kernel"
	"ambertiller.example/ambertiller/owner"
	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/rpc"
	"ambertiller.example/ambertiller/telemetry"
	"ambertiller.example/ambertiller/uptime"
	"ambertiller.example/ambertiller/wire"
)

// Names of the services that only the platform's roles have.
const (
	ServiceOwner      = "owner"
	ServiceReadiness  = "readiness"
	ServiceHeartbeats = "beats"
)

// Which of the free ports is used for what; both roles may run on one machine.
const (
	gatewayPort = 0
	agentPort   = 1
)

// metricsPort is where figures are served: the port that OpenTelemetry's
// exporter for Prometheus uses by default. deploy/system.toml names it too.
const metricsPort = 9464

const (
	// gatewayLeaveDelay is how long a gateway that stops takes clients after it has
	// said that it is not ready: the platform asks once a second and acts on
	// the second answer.
	gatewayLeaveDelay = 2300 * time.Millisecond
	// defaultMemberTimeout is the least time without a join after which shards pass on.
	// It is a compromise: the shorter, the sooner another entry takes over,
	// and the fewer joins may fail in a row; joins go out every 350 ms.
	defaultMemberTimeout = 1500 * time.Millisecond
	// maxGrant is the longest time that runs go on without word from an
	// owner. Work on a machine that is lost moves after it, and another owner
	// has to take over well within it, which takes up to 2.5 s.
	maxGrant = 5 * time.Second
)

// Gateway is the process on an entry's machine: it answers clients and owns
// shards.
type Gateway struct {
	Daemon
}

// dependencies is what every role on the users' platform is built on.
type dependencies struct {
	events     *event.Logger
	metrics    *telemetry.Metrics
	clock      clockwork.Clock
	bootClocks *uptime.SystemClocks
	store      *platform.Store
}

// newDependencies prepares it for a role.
func newDependencies(ctx context.Context, role string, settings platform.Settings, events *event.Logger) (dependencies, error) {
	metering, err := telemetry.New(ctx, telemetry.Options{Role: role, Name: settings.Name()})
	if err != nil {
		return dependencies{}, err
	}
	clocks, err := uptime.New()
	if err != nil {
		return dependencies{}, err
	}
	return dependencies{
		events: events.With("role", role, "name", settings.Name()), metrics: metering,
		clock: clockwork.NewRealClock(), bootClocks: clocks, store: platform.NewStore(settings.StoreAddress(), platform.NewTransport()),
	}, nil
}

// NewGateway puts the services of a gateway together.
func NewGateway(ctx context.Context, settings platform.Settings, events *event.Logger) (*Gateway, error) {
	made, err := newDependencies(ctx, "gateway", settings, events)
	if err != nil {
		return nil, err
	}
	address := settings.InternalAddress(gatewayPort)
	pool := rpc.NewPool(nil)
	owning := owner.New(owner.Options{
		Name: settings.Name(), Address: address, FailureDomain: settings.FailureDomain(), Shards: settings.Partitions(),
		Strong:        candidacy.IsStrong(settings.Cores()),
		GrantDuration: min(maxGrant, settings.MaxLease()), MemberTimeout: max(defaultMemberTimeout, settings.MinMemberTimeout()), JobRetention: settings.JobRetention(),
		Store: made.store, Advisor: newAdvisor(settings), Dial: rpc.DialUnpooled, Clock: made.clock, Suspended: made.bootClocks.SuspendedFor,
		Events: made.events, Meters: made.metrics.Provider(),
	})
	front := gateway.New(gateway.Options{
		Name: settings.Name(), Shards: settings.Partitions(), Store: made.store, Owner: owning,
		MemberName: owning.MemberName(), Pool: pool, Clock: made.clock, Events: made.events, Meters: made.metrics.Provider(),
	})
	running := &Gateway{Daemon: Daemon{kern: kernel.New(), events: made.events}}
	return running, registerAll(running.kern,
		metricsService(made.metrics),
		kernel.Service{Name: ServicePool, Provides: pool, Stop: func(context.Context) error { return pool.Close() }},
		runService(ServiceOwner, owning.Run, owning, ServicePool),
		roleService(front.Run, front, ServiceOwner, ServiceMetrics),
		rpcService(address, func(mux *drpcmux.Mux) error { return wire.DRPCRegisterPeer(mux, owning) }),
		httpService(ServiceHTTP, []string{ServiceRole}, settings.ClientAddress(), front),
		httpService(ServiceReadiness, []string{ServiceRole}, settings.ReadinessAddress(), newReadinessHandler(front.IsReady)),
		httpService("scrape", nil, settings.AddressWithPort(metricsPort), newAdminMux(made.metrics, front.IsReady)),
		gatewayDrainService(front, owning),
	)
}

// newAdvisor returns a client of the advice service where there is one.
func newAdvisor(settings platform.Settings) *platform.Advisor {
	if settings.AdvisorAddress() == "" {
		return nil
	}
	return platform.NewAdvisor(settings.AdvisorAddress(), platform.NewTransport())
}

func newReadinessHandler(ready func() bool) http.Handler {
	return http.HandlerFunc(func(answer http.ResponseWriter, _ *http.Request) {
		if !ready() {
			answer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		answer.WriteHeader(http.StatusOK)
	})
}

// gatewayDrainService hands the shards to other entries at once, and lets the
// platform send clients elsewhere before the listener closes.
func gatewayDrainService(front *gateway.Gateway, owning *owner.Owner) kernel.Service {
	return kernel.Service{
		Name:  ServiceDrain,
		Needs: []string{ServiceRPC, ServiceHTTP, ServiceReadiness},
		Stop: func(ctx context.Context) error {
			front.BeginShutdown()
			err := owning.Leave(ctx)
			sleep(ctx, gatewayLeaveDelay)
			return err
		},
	}
}

// Agent is the process beside a worker.
type Agent struct {
	Daemon
}

// NewAgent puts the services of an agent together.
func NewAgent(ctx context.Context, settings platform.Settings, events *event.Logger) (*Agent, error) {
	made, err := newDependencies(ctx, "agent", settings, events)
	if err != nil {
		return nil, err
	}
	transport := platform.NewTransport()
	address := settings.InternalAddress(agentPort)
	beside := agent.New(agent.Options{
		Name: settings.Name(), FailureDomain: settings.FailureDomain(), Shards: settings.Partitions(), FirstToken: made.clock.Now().UnixMilli(), MaxTargetMiss: settings.MaxTargetMiss(),
		EvacuationDeadline: settings.EvacuationDeadline(), RestoreTime: settings.RestoreTime(), CheckpointInterval: settings.CheckpointInterval(),
		MaxLease: settings.MaxLease(),
		Connect: func(address string, of incarnation.ID) *platform.Worker {
			return platform.NewWorker(address, of, transport)
		},
		Clock: made.clock, Suspended: made.bootClocks.SuspendedFor, Events: made.events, Meters: made.metrics.Provider(),
	})
	running := &Agent{Daemon: Daemon{kern: kernel.New(), events: made.events}}
	return running, registerAll(running.kern,
		metricsService(made.metrics),
		roleService(beside.Run, beside, ServiceMetrics),
		rpcService(address, func(mux *drpcmux.Mux) error { return wire.DRPCRegisterAgent(mux, beside) }),
		runService("register", func(ctx context.Context) { beside.Register(ctx, made.store, address) }, nil, ServiceRPC),
		runService("operator", func(ctx context.Context) { beside.FollowOperator(ctx, made.store) }, nil, ServiceRole),
		httpService(ServiceHeartbeats, []string{ServiceRole}, settings.HeartbeatAddress(), platform.HeartbeatHandler(beside)),
		httpService("scrape", nil, settings.AddressWithPort(metricsPort), newAdminMux(made.metrics, func() bool { return true })),
	)
}

// ReloadSettings reads the settings file again and says whether it is sound.
func (running *Daemon) ReloadSettings(ctx context.Context, path string) error {
	_, err := platform.LoadSettings(path)
	if err != nil {
		running.events.Log(ctx, event.SettingsRefused, slog.Any("error", err))
		return errors.Wrap(err, "reload the settings")
	}
	running.events.Log(ctx, event.SettingsReloaded, slog.String("path", path))
	return nil
}
