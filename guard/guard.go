// Package guard is the small process beside each backend server. It is the
// authority on what its worker carries.
//
// A guard admits requests for its backend server and attempts of tasks for its
// worker, against the worker's real bounds and whatever entries believe. What
// it refuses, it proves not to have run. It renews the leases of the attempts
// that the entries still stand behind, and tells the entries once a second
// what it carries. It decides nothing about where work goes.
//
// # Incarnations
//
// Each start of a guard is a new incarnation. A start of a task is taken up
// only by the incarnation it was offered to, and only before the offer's end
// on that incarnation's own clock, so that a message that was held up can't
// start anything later. A new incarnation adopts what its worker still runs.
//
// # Usage
//
//	guarding := guard.New(guard.Options{Name: "worker-01", ...})
//	if err := guarding.Adopt(ctx, now); err != nil { ... }
//	go guarding.Run(ctx)
package guard

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/metric"

	"ambertiller.example/ambertiller/admission"
	"ambertiller.example/ambertiller/document"
	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/instances"
	"ambertiller.example/ambertiller/lease"
	"ambertiller.example/ambertiller/rpc"
	"ambertiller.example/ambertiller/wire"
	"ambertiller.example/ambertiller/worker"
)

const (
	defaultSlots       = 8
	defaultConnections = 64
	reportInterval     = time.Second
	workerPollInterval = 250 * time.Millisecond
	instancesInterval  = 2 * time.Second
	callTimeout        = 2 * time.Second
)

// Options sets up a Guard.
type Options struct {
	// Name is the worker's name.
	Name string
	// Address is where entries reach this guard.
	Address string
	// FailureDomain is where the worker is.
	FailureDomain string
	// Service is the service that the backend server runs.
	Service string
	// BackendURL is the base URL of the backend server.
	BackendURL string
	// Worker is the platform's interface to the worker.
	Worker worker.Worker
	// Instances is the platform's instance list.
	Instances instances.Lister
	// Pool connects to the entries.
	Pool *rpc.Pool
	// Clock is the guard's clock. Default the real clock.
	Clock clockwork.Clock
	// Events receives log lines. Default none.
	Events *event.Logger
	// Meters counts. Default the global provider.
	Meters metric.MeterProvider
}

// Guard is the process beside one backend server.
type Guard struct {
	options       Options
	incarnation   string
	startedAt     time.Time
	gate          *admission.Gate
	documents     *document.ActiveSet
	backend       *http.Transport
	latency       latencyAverage
	reportTrigger chan struct{}

	mu             sync.Mutex
	attempts       map[string]*attempt
	leaseHolder    *lease.Holder
	workerCapacity worker.Capacity
	workerUsage    worker.Usage
	// workerUptime is the worker's clock when it was last read. Leases are
	// counted from it, so that they end early rather than late.
	workerUptime  time.Duration
	ready         bool
	entries       []instances.Instance
	metrics       *metrics
	streamsCtx    context.Context
	cancelStreams context.CancelFunc
}

// New returns a guard that carries nothing yet.
func New(options Options) *Guard {
	if options.Clock == nil {
		options.Clock = clockwork.NewRealClock()
	}
	if options.Events == nil {
		options.Events = event.Discard()
	}
	if options.Meters == nil {
		options.Meters = otel.GetMeterProvider()
	}
	incarnation := newIncarnation()
	left, leave := context.WithCancel(context.Background())
	return &Guard{
		streamsCtx:    left,
		cancelStreams: leave,
		options:       options,
		incarnation:   incarnation,
		startedAt:     options.Clock.Now(),
		gate:          admission.NewGate(admission.Capacity{Slots: defaultSlots, Connections: defaultConnections}),
		documents:     document.NewActiveSet(),
		backend:       newTransport(),
		reportTrigger: make(chan struct{}, 1),
		attempts:      map[string]*attempt{},
		leaseHolder:   lease.NewHolder(incarnation),
		metrics:       newMetrics(options.Meters),
	}
}

// newIncarnation returns a name that sorts after those of earlier starts on
// the same machine.
func newIncarnation() string {
	id, err := uuid.NewV7()
	if err != nil {
		return uuid.NewString()
	}
	return id.String()
}

// Incarnation returns the name of this start of the guard.
func (guard *Guard) Incarnation() string { return guard.incarnation }

// Gate returns what counts the work on the worker.
func (guard *Guard) Gate() *admission.Gate { return guard.gate }

// ActiveDocuments returns the documents in force.
func (guard *Guard) ActiveDocuments() *document.ActiveSet { return guard.documents }

// Ready reports whether the guard knows its worker and may take work.
func (guard *Guard) Ready() bool {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	return guard.ready && !guard.gate.Leaving()
}

func (guard *Guard) uptime(now time.Time) time.Duration { return now.Sub(guard.startedAt) }

// Run reports to the entries and keeps the worker's leases until ctx ends.
func (guard *Guard) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { guard.pollLoop(ctx) })
	loops.Go(func() { guard.reportLoop(ctx) })
	loops.Go(func() { guard.refreshLoop(ctx) })
	loops.Wait()
}

// BeginShutdown refuses new work from now on and tells the entries at once.
func (guard *Guard) BeginShutdown(ctx context.Context) {
	guard.gate.Leave()
	guard.options.Events.Log(ctx, event.GuardLeaving)
	guard.ReportAll(ctx)
	guard.cancelStreams()
}

// WaitIdle waits until no request is in flight, or ctx ends.
func (guard *Guard) WaitIdle(ctx context.Context) error {
	select {
	case <-guard.gate.Idle():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (guard *Guard) triggerReport() {
	select {
	case guard.reportTrigger <- struct{}{}:
	default:
	}
}

func (guard *Guard) currentLoad() *wire.Load {
	usage := guard.gate.Usage()
	capacity := guard.gate.Capacity()
	return &wire.Load{
		SlotsUsed:       int32(usage.Slots),
		Slots:           int32(capacity.Slots),
		ConnectionsUsed: int32(usage.Connections),
		Connections:     int32(capacity.Connections),
		LatencyNanos:    guard.latency.average().Nanoseconds(),
	}
}

// applyDocuments puts newer documents in force and follows their bounds.
func (guard *Guard) applyDocuments(ctx context.Context, copies []*wire.DocumentCopy) {
	for _, copied := range copies {
		changed, err := guard.documents.Activate(wire.DecodeCopy(copied))
		if err != nil {
			guard.options.Events.Log(ctx, event.DocumentRejected, attrDocument(copied), attrError(err))
			continue
		}
		if changed {
			guard.options.Events.Log(ctx, event.DocumentInForce, attrDocument(copied), attrVersion(copied))
		}
	}
	guard.updateCapacity()
}

func (guard *Guard) updateCapacity() {
	bounds := admission.Capacity{Slots: defaultSlots, Connections: defaultConnections}
	if settings := guard.documents.Config(); settings != nil {
		if service, found := settings.Service(guard.options.Service); found {
			bounds.Slots, bounds.Connections = service.Slots(), service.Connections()
		}
	}
	guard.mu.Lock()
	defer guard.mu.Unlock()
	bounds.MilliCPU = guard.workerCapacity.MilliCPU
	bounds.MemoryBytes = guard.workerCapacity.MemoryBytes
	bounds.Accelerators = guard.workerCapacity.Accelerators
	if settings := guard.documents.Config(); settings != nil {
		bounds.MilliCPU = max(0, bounds.MilliCPU-settings.Limits().ReservedMilliCPU())
	}
	guard.gate.SetCapacity(bounds)
}
