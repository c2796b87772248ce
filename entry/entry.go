// Package entry implements the process that serves the API of callers and
// operators.
//
// An entry routes requests of latency-critical services to backend servers
// through the guards on their workers. It appends submitted tasks, published
// documents and drain orders to the log, assigns pending tasks to workers, and
// appends records for the changes that guards report. An entry has no state of
// its own that another entry could not rebuild from the log and from the
// reports of guards. Any entry can therefore serve any caller, and every entry
// may be stopped at any time.
//
// Background work that any entry could do is divided by a hash over the names
// of the live entries. Entries that disagree about which of them are live may
// act for the same task at the same time. The log then accepts the first
// record and rejects the other.
//
// # Usage
//
//	e := entry.New(entry.Options{Name: "entry-1", Journal: journal, ...})
//	handler, err := e.Handler()
//	go e.Run(ctx)
package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/metric"

	"ambertiller.example/ambertiller/budget"
	"ambertiller.example/ambertiller/changelog"
	"ambertiller.example/ambertiller/claim"
	"ambertiller.example/ambertiller/document"
	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/instances"
	"ambertiller.example/ambertiller/membership"
	"ambertiller.example/ambertiller/policy"
	"ambertiller.example/ambertiller/route"
	"ambertiller.example/ambertiller/rpc"
	"ambertiller.example/ambertiller/state"
)

const (
	defaultGuardTimeout = 10 * time.Second
	instancesInterval   = time.Second
	peerSyncInterval    = time.Second
	placeInterval       = 100 * time.Millisecond
	maintenanceInterval = 5 * time.Second
	callTimeout         = 2 * time.Second
	appendTimeout       = 2 * time.Second
	retryBurst          = 20
	defaultRetryRatio   = 0.1
	// maxInFlight is the maximum number of service requests in progress.
	maxInFlight = 4096
	// startupGracePeriod is how long a new entry stays unready while a service
	// has no ready backend server. After this time, every guard that can reach
	// the entry has read the platform's instance list and sent a report.
	startupGracePeriod = 5 * time.Second
	// maxLogAge is the time since the last read to the end of the log after
	// which the log counts as down.
	maxLogAge = 3 * time.Second
)

// Options configures an Entry.
type Options struct {
	// Name is the instance name of the entry.
	Name string
	// FailureDomain is the failure domain of the entry. Requests prefer backend
	// servers in the same domain.
	FailureDomain string
	// Journal is the entry's replica of the shared state, through which it also
	// appends to the log.
	Journal *changelog.Journal
	// Instances reads the platform's instance list.
	Instances instances.Lister
	// Pool holds the connections to guards and to other entries.
	Pool *rpc.Pool
	// Clock defaults to the system clock.
	Clock clockwork.Clock
	// Events writes the log lines. By default they are discarded.
	Events *event.Logger
	// Meters creates the metric instruments. It defaults to the global provider.
	Meters metric.MeterProvider
}

// Entry serves callers and operators and places tasks on workers.
type Entry struct {
	options         Options
	startedAt       time.Time
	journal         *changelog.Journal
	view            *membership.View
	routes          *route.Table
	documents       *document.ActiveSet
	retryBudget     *budget.Budget
	claims          *claim.Manager
	placer          *placer
	metrics         *metrics
	inFlight        atomic.Int64
	shuttingDown    atomic.Bool
	suspicions      suspicionTracker
	shutdownStarted chan struct{}
	shutdownOnce    sync.Once
	// background counts the goroutines that carry out decisions, such as
	// sending an offer to a guard.
	background sync.WaitGroup
}

// New returns an Entry that has no document in force and knows of no guard.
func New(options Options) *Entry {
	if options.Clock == nil {
		options.Clock = clockwork.NewRealClock()
	}
	if options.Events == nil {
		options.Events = event.Discard()
	}
	if options.Meters == nil {
		options.Meters = otel.GetMeterProvider()
	}
	entry := &Entry{
		options:         options,
		startedAt:       options.Clock.Now(),
		journal:         options.Journal,
		view:            membership.NewView(defaultGuardTimeout),
		routes:          route.NewTable(options.FailureDomain),
		documents:       document.NewActiveSet(),
		retryBudget:     budget.New(defaultRetryRatio, retryBurst),
		shutdownStarted: make(chan struct{}),
		suspicions:      suspicionTracker{active: map[string]activeSuspicion{}, missing: map[string]time.Time{}, ended: map[string]endedSuspicion{}},
	}
	entry.claims = claim.New(claim.Options{
		Journal: options.Journal, Instance: options.Name, MaxLogAge: maxLogAge, Clock: options.Clock, Events: options.Events,
	})
	entry.placer = &placer{entry: entry, policyRunner: policy.NewRunner(), refusals: map[string][]refusal{}}
	entry.metrics = newMetrics(entry)
	return entry
}

// ActiveDocuments returns the configuration and policies in force on this entry.
func (entry *Entry) ActiveDocuments() *document.ActiveSet { return entry.documents }

// Journal returns the entry's replica of the shared state.
func (entry *Entry) Journal() *changelog.Journal { return entry.journal }

// View returns what the entry knows about guards and other entries.
func (entry *Entry) View() *membership.View { return entry.view }

func (entry *Entry) now() time.Time { return entry.options.Clock.Now() }

// Ready returns nil if the entry accepts requests, and otherwise an error with
// the reason.
func (entry *Entry) Ready() error {
	if entry.shuttingDown.Load() {
		return errShuttingDown
	}
	settings := entry.documents.Config()
	if settings == nil {
		return errNoConfig
	}
	if entry.now().Sub(entry.startedAt) > startupGracePeriod {
		return nil
	}
	for service := range settings.Services() {
		if !entry.routes.HasReadyServer(service) {
			return errors.Errorf("no guard of service %s has been heard since the start", service)
		}
	}
	return nil
}

// Run runs the background loops of the entry until ctx is done, and then waits
// for the background actions they started.
func (entry *Entry) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { entry.followDocuments(ctx) })
	loops.Go(func() { entry.runPeriodically(ctx, instancesInterval, entry.RefreshInstances) })
	loops.Go(func() { entry.runPeriodically(ctx, peerSyncInterval, entry.SyncPeers) })
	loops.Go(func() { entry.runPeriodically(ctx, maintenanceInterval, entry.RunMaintenance) })
	loops.Go(func() { entry.claims.Run(ctx) })
	loops.Go(func() { entry.runPlacement(ctx) })
	loops.Wait()
	entry.background.Wait()
}

// runPeriodically calls fn at once and then at every interval until ctx is done.
func (entry *Entry) runPeriodically(ctx context.Context, interval time.Duration, fn func(ctx context.Context)) {
	ticker := entry.options.Clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		fn(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

// BeginShutdown makes the entry unready, so that the load balancer sends it no
// more requests, and ends open streams with an event that tells the caller where
// to resume at another entry.
func (entry *Entry) BeginShutdown() {
	entry.shutdownOnce.Do(func() {
		entry.shuttingDown.Store(true)
		close(entry.shutdownStarted)
	})
}

// WaitBackground waits until all background actions have ended.
func (entry *Entry) WaitBackground() { entry.background.Wait() }

// WaitClaims waits until the outcomes of all claims have been recorded in the
// log, or until ctx is done. The HTTP server must have finished its requests
// before.
func (entry *Entry) WaitClaims(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		entry.claims.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// followDocuments applies the newest documents whenever the state changes, until
// ctx is done.
func (entry *Entry) followDocuments(ctx context.Context) {
	for {
		changed := entry.journal.Changed()
		entry.SyncDocuments(ctx)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// SyncDocuments applies the newest version of each document in the state.
func (entry *Entry) SyncDocuments(ctx context.Context) {
	entry.journal.View(func(st *state.State) {
		for _, stored := range st.Documents() {
			entry.applyDocument(ctx, document.Copy{Name: stored.GetName(), Version: stored.GetVersion(), Content: stored.GetContent()})
		}
	})
}

// RefreshInstances reads the platform's instance list and updates the routing
// table, in which the servers of guards that have stopped reporting become unready.
func (entry *Entry) RefreshInstances(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if list, err := entry.options.Instances.List(ctx, instances.AllRoles); err == nil {
		entry.view.SetInstances(list)
	}
	now := entry.now()
	for _, guard := range entry.view.Guards() {
		entry.routes.Update(guard, entry.view.HasTimedOut(guard, now))
	}
}

// isResponsibleFor reports whether this entry, among the live ones, does the
// background work for the subject: a task, a worker or a maintenance job.
func (entry *Entry) isResponsibleFor(subject string, now time.Time) bool {
	names := append(entry.view.LivePeers(now), entry.options.Name)
	return membership.Owner(subject, names) == entry.options.Name
}

// isLogFresh reports whether the log was read to its end within maxLogAge.
func (entry *Entry) isLogFresh(now time.Time) bool {
	return entry.journal.Ready() == nil && now.Sub(entry.journal.SyncedAt()) < maxLogAge
}

// QueueLength returns the number of requests of the service that wait for a slot.
func (entry *Entry) QueueLength(service string) int { return entry.routes.QueueLength(service) }
