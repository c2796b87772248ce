// Package entry is the process that callers and operators reach.
//
// An entry routes the requests of latency-critical services to backend
// servers, through the guards beside them, and accepts tasks, documents and
// drains into the log. It places pending tasks and settles what guards report.
// It keeps nothing that another entry could not rebuild: any entry can serve
// any caller, and all of them may go at any time.
//
// Work that several entries could do is shared out by a hash over those that
// are live. While they disagree about who is live two may act for one task;
// the log then lets the first win.
//
// # Usage
//
//	entering := entry.New(entry.Options{Name: "entry-1", Journal: log, ...})
//	handler, err := entering.Handler()
//	go entering.Run(ctx)
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
	maxInFlight         = 4096
	// startupGracePeriod is how long a new entry waits to hear of a backend server for
	// each service before it takes requests all the same: by then every guard
	// that can reach it has read the platform's list and reported.
	startupGracePeriod = 5 * time.Second
	// maxLogAge is how old the newest whole read of the log may be before the
	// log counts as down.
	maxLogAge = 3 * time.Second
)

// Options sets up an Entry.
type Options struct {
	Name          string
	FailureDomain string
	Journal       *changelog.Journal
	Instances     instances.Lister
	Pool          *rpc.Pool
	// Clock is the entry's clock. Default the real clock.
	Clock clockwork.Clock
	// Events receives log lines. Default none.
	Events *event.Logger
	// Meters counts. Default the global provider.
	Meters metric.MeterProvider
}

// Entry is the process that callers and operators reach.
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
	// background counts the actions that follow a decision.
	background sync.WaitGroup
}

// New returns an entry that knows nothing yet.
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

// ActiveDocuments returns the documents in force.
func (entry *Entry) ActiveDocuments() *document.ActiveSet { return entry.documents }

// Journal returns the entry's copy of the state.
func (entry *Entry) Journal() *changelog.Journal { return entry.journal }

// View returns what the entry knows of other instances.
func (entry *Entry) View() *membership.View { return entry.view }

func (entry *Entry) now() time.Time { return entry.options.Clock.Now() }

// Ready returns nil when the entry may take requests, and otherwise why not.
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

// Run does the entry's own work until ctx ends.
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

func (entry *Entry) runPeriodically(ctx context.Context, interval time.Duration, work func(ctx context.Context)) {
	ticker := entry.options.Clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		work(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

// BeginShutdown makes the entry unready, so that the balancer sends it nothing more,
// and ends open streams with the place from which to go on elsewhere.
func (entry *Entry) BeginShutdown() {
	entry.shutdownOnce.Do(func() {
		entry.shuttingDown.Store(true)
		close(entry.shutdownStarted)
	})
}

// WaitBackground waits until the actions that followed earlier decisions have ended.
func (entry *Entry) WaitBackground() { entry.background.Wait() }

// WaitClaims waits until the ends of all claims are recorded, or ctx ends. The
// listener must have finished its requests before.
func (entry *Entry) WaitClaims(ctx context.Context) error {
	ended := make(chan struct{})
	go func() {
		entry.claims.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// followDocuments puts what the log accepts in force.
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

// SyncDocuments puts the newest documents of the state in force.
func (entry *Entry) SyncDocuments(ctx context.Context) {
	entry.journal.View(func(folded *state.State) {
		for _, accepted := range folded.Documents() {
			entry.applyDocument(ctx, document.Copy{Name: accepted.GetName(), Version: accepted.GetVersion(), Content: accepted.GetContent()})
		}
	})
}

// RefreshInstances reads the platform's list and notes which guards have gone silent.
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

// isResponsibleFor reports whether this entry acts for the subject.
func (entry *Entry) isResponsibleFor(subject string, now time.Time) bool {
	names := append(entry.view.LivePeers(now), entry.options.Name)
	return membership.Owner(subject, names) == entry.options.Name
}

// isLogFresh reports whether the log has been read to its end lately.
func (entry *Entry) isLogFresh(now time.Time) bool {
	return entry.journal.Ready() == nil && now.Sub(entry.journal.SyncedAt()) < maxLogAge
}

// QueueLength returns how many requests of a service wait for a slot.
func (entry *Entry) QueueLength(service string) int { return entry.routes.QueueLength(service) }
