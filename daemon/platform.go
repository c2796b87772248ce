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
	"ambertiller.example/ambertiller/feature"
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

// Names of the services that only gateways and agents have.
const (
	ServiceOwner      = "owner"
	ServiceReadiness  = "readiness"
	ServiceHeartbeats = "beats"
	serviceRegister   = "register"
)

// Indexes into the internal ports of the settings. They differ because both roles may run on one machine.
const (
	gatewayPort = 0
	agentPort   = 1
)

// metricsPort is the port that serves the metrics. It is the default port of OpenTelemetry's Prometheus
// exporter. deploy/system.toml contains it too.
const metricsPort = 9464

const (
	// gatewayLeaveDelay is how long a stopping gateway accepts clients after it has reported that it isn't
	// ready. The platform checks readiness once a second and acts on the second negative response.
	gatewayLeaveDelay = 2300 * time.Millisecond
	// defaultMemberTimeout is how long after an entry's last join its shards are assigned to other entries,
	// unless the platform requires a longer time. The value is a compromise: with a shorter one, another
	// entry takes over sooner, but fewer joins may fail in a row. Entries join every 350 ms.
	defaultMemberTimeout = 1500 * time.Millisecond
	// maxGrant is the longest time that runs continue without a message from an owner. Work on a lost
	// machine moves only after this time. Another owner takes up to 2.5 s to take over, which must be well
	// below this time.
	maxGrant = 5 * time.Second
)

// Gateway is the process on an entry's machine. It answers clients and may own shards. It is not an entry in
// the sense of package entry, whose process is Entry.
type Gateway struct {
	Daemon
}

// dependencies holds what gateways and agents both require.
type dependencies struct {
	events     *event.Logger
	metrics    *telemetry.Metrics
	clock      clockwork.Clock
	bootClocks *uptime.SystemClocks
	store      *platform.Store
}

// newDependencies creates the dependencies of a role.
func newDependencies(ctx context.Context, role string, settings platform.Settings, events *event.Logger) (dependencies, error) {
	metrics, err := telemetry.New(ctx, telemetry.Options{Role: role, Name: settings.Name()})
	if err != nil {
		return dependencies{}, err
	}
	bootClocks, err := uptime.New()
	if err != nil {
		return dependencies{}, err
	}
	return dependencies{
		events: events.With("role", role, "name", settings.Name()), metrics: metrics,
		clock: clockwork.NewRealClock(), bootClocks: bootClocks, store: platform.NewStore(settings.StoreAddress(), platform.NewTransport()),
	}, nil
}

// NewGateway returns the process of a gateway, which isn't started yet.
func NewGateway(ctx context.Context, settings platform.Settings, features feature.Set, events *event.Logger) (*Gateway, error) {
	deps, err := newDependencies(ctx, "gateway", settings, events)
	if err != nil {
		return nil, err
	}
	address := settings.InternalAddress(gatewayPort)
	pool := rpc.NewPool(nil)
	shardOwner := owner.New(owner.Options{
		Name: settings.Name(), Address: address, FailureDomain: settings.FailureDomain(), Shards: settings.Partitions(),
		Strong:        candidacy.IsStrong(settings.Cores()),
		GrantDuration: min(maxGrant, settings.MaxLease()), MemberTimeout: max(defaultMemberTimeout, settings.MinMemberTimeout()), JobRetention: settings.JobRetention(),
		Store: deps.store, Advisor: newAdvisor(settings), Dial: rpc.DialUnpooled, Clock: deps.clock, Suspended: deps.bootClocks.SuspendedFor,
		Events: deps.events, Meters: deps.metrics.Provider(), Features: features,
	})
	handler := gateway.New(gateway.Options{
		Name: settings.Name(), Shards: settings.Partitions(), Store: deps.store, Owner: shardOwner,
		MemberName: shardOwner.MemberName(), Pool: pool, Clock: deps.clock, Events: deps.events, Meters: deps.metrics.Provider(),
		Features: features, MaxRecordBytes: settings.MaxRecordBytes(),
	})
	daemon := &Gateway{Daemon: Daemon{kern: kernel.New(), events: deps.events}}
	return daemon, registerAll(daemon.kern,
		metricsService(deps.metrics),
		kernel.Service{Name: ServicePool, Provides: pool, Stop: func(context.Context) error { return pool.Close() }},
		runService(ServiceOwner, shardOwner.Run, shardOwner, ServicePool),
		roleService(handler.Run, handler, ServiceOwner, ServiceMetrics),
		rpcService(address, func(mux *drpcmux.Mux) error { return wire.DRPCRegisterPeer(mux, shardOwner) }),
		httpService(ServiceHTTP, []string{ServiceRole}, settings.ClientAddress(), handler),
		httpService(ServiceReadiness, []string{ServiceRole}, settings.ReadinessAddress(), newReadinessHandler(handler.IsReady)),
		httpService("scrape", nil, settings.AddressWithPort(metricsPort), newAdminMux(deps.metrics, handler.IsReady)),
		gatewayDrainService(handler, shardOwner),
	)
}

// newAdvisor returns a client of the advice service, or nil if the settings name none.
func newAdvisor(settings platform.Settings) *platform.Advisor {
	if settings.AdvisorAddress() == "" {
		return nil
	}
	return platform.NewAdvisor(settings.AdvisorAddress(), platform.NewTransport())
}

func newReadinessHandler(isReady func() bool) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		if !isReady() {
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		writer.WriteHeader(http.StatusOK)
	})
}

// gatewayDrainService releases the shards when it stops, so that other entries take them at once. It then
// gives the platform time to route clients elsewhere before the listener closes.
func gatewayDrainService(handler *gateway.Gateway, shardOwner *owner.Owner) kernel.Service {
	return kernel.Service{
		Name:  ServiceDrain,
		Needs: []string{ServiceRPC, ServiceHTTP, ServiceReadiness},
		Stop: func(ctx context.Context) error {
			deadline, _ := ctx.Deadline()
			handler.BeginShutdown(deadline)
			err := shardOwner.Leave(ctx)
			handler.RecordLeave(time.Now().Add(gatewayLeaveDelay))
			sleep(ctx, gatewayLeaveDelay)
			return err
		},
	}
}

// Agent is the process that manages the worker on its machine.
type Agent struct {
	Daemon
}

// NewAgent returns the process of an agent, which isn't started yet.
func NewAgent(ctx context.Context, settings platform.Settings, features feature.Set, events *event.Logger) (*Agent, error) {
	deps, err := newDependencies(ctx, "agent", settings, events)
	if err != nil {
		return nil, err
	}
	transport := platform.NewTransport()
	address := settings.InternalAddress(agentPort)
	role := agent.New(agent.Options{
		Name: settings.Name(), FailureDomain: settings.FailureDomain(), Shards: settings.Partitions(), FirstToken: deps.clock.Now().UnixMilli(), MaxTargetMiss: settings.MaxTargetMiss(),
		EvacuationDeadline: settings.EvacuationDeadline(), RestoreTime: settings.RestoreTime(), CheckpointInterval: settings.CheckpointInterval(),
		MaxLease: settings.MaxLease(), StopTime: settings.StopTime(),
		Connect: func(address string, id incarnation.ID) *platform.Worker {
			return platform.NewWorker(address, id, transport)
		},
		Clock: deps.clock, Suspended: deps.bootClocks.SuspendedFor, Events: deps.events, Meters: deps.metrics.Provider(),
		Features: features,
	})
	daemon := &Agent{Daemon: Daemon{kern: kernel.New(), events: deps.events}}
	return daemon, registerAll(daemon.kern,
		metricsService(deps.metrics),
		roleService(role.Run, role, ServiceMetrics),
		rpcService(address, func(mux *drpcmux.Mux) error { return wire.DRPCRegisterAgent(mux, role) }),
		runService(serviceRegister, func(ctx context.Context) { role.Register(ctx, deps.store, address) }, nil, ServiceRPC),
		runService("operator", func(ctx context.Context) { role.FollowOperator(ctx, deps.store) }, nil, ServiceRole),
		httpService(ServiceHeartbeats, []string{ServiceRole}, settings.HeartbeatAddress(), platform.HeartbeatHandler(role)),
		httpService("scrape", nil, settings.AddressWithPort(metricsPort), newAdminMux(deps.metrics, func() bool { return true })),
		agentDrainService(role),
	)
}

// heartbeatStopTime is the part of an agent's stop that is reserved for completing the heartbeats in flight.
const heartbeatStopTime = 500 * time.Millisecond

// agentDrainService lets the agent report what only it knows before anything else stops.
func agentDrainService(role *agent.Agent) kernel.Service {
	return kernel.Service{
		Name:  ServiceDrain,
		Needs: []string{ServiceRPC, ServiceHeartbeats, serviceRegister},
		Stop: func(ctx context.Context) error {
			if deadline, limited := ctx.Deadline(); limited {
				var cancel context.CancelFunc
				ctx, cancel = context.WithDeadline(ctx, deadline.Add(-heartbeatStopTime))
				defer cancel()
			}
			role.AwaitEndsStored(ctx)
			return nil
		},
	}
}

// ReloadSettings reads the settings file again and returns an error if it isn't valid. The process continues
// with the settings that it was started with.
func (daemon *Daemon) ReloadSettings(ctx context.Context, path string) error {
	_, err := platform.LoadSettings(path)
	if err != nil {
		daemon.events.Log(ctx, event.SettingsRefused, slog.Any("error", err))
		return errors.Wrap(err, "reload the settings")
	}
	daemon.events.Log(ctx, event.SettingsReloaded, slog.String("path", path))
	return nil
}
