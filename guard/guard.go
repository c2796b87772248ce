// Package guard implements the process that runs beside each backend server and
// controls which requests and tasks its worker runs.
//
// A guard performs admission control: it admits requests for its backend server and
// attempts of tasks for its worker up to the worker's actual capacity, even if an
// entry has an outdated view of what is free. A refusal that is marked as not run
// guarantees that the refused work has not run. At least once a second the guard reports
// its load and its attempts to every entry. The replies grant lease renewals, which
// the guard passes on to the worker. Where work is placed is decided by the entries.
//
// # Incarnations
//
// Each start of a guard is a new incarnation. An offer to start an attempt is valid
// only for the incarnation that it names, and only until its deadline on that
// incarnation's own clock, so a delayed message can't start anything later. A new
// incarnation adopts the attempts that its worker still runs.
//
// # Usage
//
//	g := guard.New(guard.Options{Name: "worker-01", ...})
//	if err := g.AdoptTasks(ctx); err != nil { ... }
//	go g.Run(ctx)
//
// Run adopts the worker's attempts itself if AdoptTasks was not called or failed.
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
	// The limits of a service that is not in the configuration.
	defaultSlots       = 8
	defaultConnections = 64

	reportInterval     = time.Second
	workerPollInterval = 250 * time.Millisecond
	instancesInterval  = 2 * time.Second
	// callTimeout limits each poll of the worker, each read of the instance list and
	// each report to an entry.
	callTimeout = 2 * time.Second
)

// Options configures a Guard.
type Options struct {
	// Name is the worker's name.
	Name string
	// Address is the address at which entries call this guard.
	Address string
	// FailureDomain is the worker's failure domain.
	FailureDomain string
	// Service is the name of the service that the backend server runs.
	Service string
	// BackendURL is the base URL of the backend server.
	BackendURL string
	// Worker is the platform's interface to the worker.
	Worker worker.Worker
	// Instances reads the platform's instance list.
	Instances instances.Lister
	// Pool holds the connections to the entries.
	Pool *rpc.Pool
	// Clock is the guard's clock. The default is the real clock.
	Clock clockwork.Clock
	// Events receives log lines. By default they are discarded.
	Events *event.Logger
	// Meters provides the metric instruments. The default is the global provider.
	Meters metric.MeterProvider
}

// Guard controls the work of one worker and its backend server. It is safe for
// concurrent use.
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
	attempts       map[string]*attempt // by task ID
	leaseHolder    *lease.Holder
	workerCapacity worker.Capacity
	workerUsage    worker.Usage
	// workerUptime is the worker's uptime when it was last read. Leases are counted
	// from it. It is never ahead of the worker's clock, so leases may end too early,
	// but not too late.
	workerUptime  time.Duration
	ready         bool                 // the attempts on the worker have been adopted
	entries       []instances.Instance // as last read from the instance list
	metrics       *metrics
	streamsCtx    context.Context // done on shutdown, which ends all Follow streams
	cancelStreams context.CancelFunc
}

// New returns a guard with no attempts. It refuses tasks until those on its worker have
// been adopted.
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
	streamsCtx, cancelStreams := context.WithCancel(context.Background())
	return &Guard{
		streamsCtx:    streamsCtx,
		cancelStreams: cancelStreams,
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

// newIncarnation returns a unique name, a version 7 UUID. Because it begins with the
// time, it sorts after the names of earlier starts on the same machine.
func newIncarnation() string {
	id, err := uuid.NewV7()
	if err != nil {
		return uuid.NewString()
	}
	return id.String()
}

// Incarnation returns the unique name of this start of the guard.
func (guard *Guard) Incarnation() string { return guard.incarnation }

// Gate returns the admission control of the worker and its backend server.
func (guard *Guard) Gate() *admission.Gate { return guard.gate }

// ActiveDocuments returns the documents that this guard uses.
func (guard *Guard) ActiveDocuments() *document.ActiveSet { return guard.documents }

// Ready reports whether the guard accepts work: it has adopted the attempts on its worker
// and is not shutting down.
func (guard *Guard) Ready() bool {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	return guard.ready && !guard.gate.Leaving()
}

// uptime returns how long this incarnation has been running at the time now.
func (guard *Guard) uptime(now time.Time) time.Duration { return now.Sub(guard.startedAt) }

// Run polls the worker, reports to the entries and renews leases until ctx is done.
func (guard *Guard) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { guard.pollLoop(ctx) })
	wg.Go(func() { guard.reportLoop(ctx) })
	wg.Go(func() { guard.refreshLoop(ctx) })
	wg.Wait()
}

// BeginShutdown refuses new work from now on, reports this to the entries immediately and
// then ends the streams of Follow.
func (guard *Guard) BeginShutdown(ctx context.Context) {
	guard.gate.Leave()
	guard.options.Events.Log(ctx, event.GuardLeaving)
	guard.ReportAll(ctx)
	guard.cancelStreams()
}

// WaitIdle waits until no request or stream is in progress, or until ctx is done.
func (guard *Guard) WaitIdle(ctx context.Context) error {
	select {
	case <-guard.gate.Idle():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// triggerReport makes reportLoop report without waiting for its next tick, so that entries
// learn at once that an attempt has started or ended. It never blocks.
func (guard *Guard) triggerReport() {
	select {
	case guard.reportTrigger <- struct{}{}:
	default:
	}
}

// currentLoad returns the load of the backend server, which entries use to choose a server.
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

// applyDocuments activates the documents that are newer than the active ones, and applies
// the limits that they configure.
func (guard *Guard) applyDocuments(ctx context.Context, copies []*wire.DocumentCopy) {
	for _, documentCopy := range copies {
		changed, err := guard.documents.Activate(wire.DecodeCopy(documentCopy))
		if err != nil {
			guard.options.Events.Log(ctx, event.DocumentRejected, attrDocument(documentCopy), attrError(err))
			continue
		}
		if changed {
			guard.options.Events.Log(ctx, event.DocumentInForce, attrDocument(documentCopy), attrVersion(documentCopy))
		}
	}
	guard.updateCapacity()
}

// updateCapacity sets the gate's capacity. Slots and connections come from the
// configuration of the service, the rest from the worker, less the processors that the
// configuration reserves for the backend server.
func (guard *Guard) updateCapacity() {
	capacity := admission.Capacity{Slots: defaultSlots, Connections: defaultConnections}
	if config := guard.documents.Config(); config != nil {
		if service, found := config.Service(guard.options.Service); found {
			capacity.Slots, capacity.Connections = service.Slots(), service.Connections()
		}
	}
	guard.mu.Lock()
	defer guard.mu.Unlock()
	capacity.MilliCPU = guard.workerCapacity.MilliCPU
	capacity.MemoryBytes = guard.workerCapacity.MemoryBytes
	capacity.Accelerators = guard.workerCapacity.Accelerators
	if config := guard.documents.Config(); config != nil {
		capacity.MilliCPU = max(0, capacity.MilliCPU-config.Limits().ReservedMilliCPU())
	}
	guard.gate.SetCapacity(capacity)
}
