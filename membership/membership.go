// Package membership maintains one entry's view of the guards and of the other
// entries. The view is built from the reports and answers that the entry receives
// and from the platform's instance list, which lags behind.
//
// A report proves that the guard is alive and says which tasks it runs. A missing
// report says nothing about what the worker runs. The list says which instances
// are leaving; an instance that is missing from the list has not necessarily ended.
//
// Successive processes of a guard with the same name are distinguished by their
// incarnation. A later incarnation replaces an earlier one. Delayed reports of the
// earlier one are ignored, unless the later one has timed out.
//
// # Usage
//
//	view := membership.NewView(10 * time.Second)
//	guard := view.AddReport(report, now)
//	view.SetInstances(list)
//	for _, guard := range view.Guards() { ... }
package membership

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"ambertiller.example/ambertiller/document"
	"ambertiller.example/ambertiller/instances"
	"ambertiller.example/ambertiller/wire"
)

// Guard holds the last report of one guard. It is immutable.
type Guard struct {
	report           *wire.ReportRequest
	lastReportAt     time.Time
	previousReportAt time.Time
	listedLeaving    bool
}

// Name returns the name of the guard's worker.
func (guard *Guard) Name() string { return guard.report.GetWorker() }

// Incarnation returns the incarnation of the guard that sent the report.
func (guard *Guard) Incarnation() string { return guard.report.GetIncarnation() }

// Address returns the guard's RPC address.
func (guard *Guard) Address() string { return guard.report.GetAddress() }

// FailureDomain returns the worker's failure domain.
func (guard *Guard) FailureDomain() string { return guard.report.GetFailureDomain() }

// Rack returns the worker's rack.
func (guard *Guard) Rack() string { return guard.report.GetRack() }

// Service returns the service that the worker's backend server runs.
func (guard *Guard) Service() string { return guard.report.GetService() }

// Uptime returns the guard's own clock when it sent the report.
func (guard *Guard) Uptime() time.Duration { return time.Duration(guard.report.GetUptimeNanos()) }

// LastReportAt returns when the report was received.
func (guard *Guard) LastReportAt() time.Time { return guard.lastReportAt }

// PreviousReportAt returns when the report before this one of the same incarnation
// was received, the zero time if there was none.
func (guard *Guard) PreviousReportAt() time.Time { return guard.previousReportAt }

// Capacity returns the resources that the worker has for tasks.
func (guard *Guard) Capacity() *wire.Resources { return guard.report.GetCapacity() }

// Used returns the measured usage of the worker's tasks. The measurement lags.
func (guard *Guard) Used() *wire.Resources { return guard.report.GetUsed() }

// Load returns the load of the backend server.
func (guard *Guard) Load() *wire.Load { return guard.report.GetLoad() }

// Tasks returns the attempts that the guard is responsible for.
func (guard *Guard) Tasks() []*wire.TaskReport { return guard.report.GetTasks() }

// Documents returns the document versions that are active on the guard.
func (guard *Guard) Documents() []*wire.DocumentVersion { return guard.report.GetDocuments() }

// IsReady reports whether the guard accepts new work, as far as the entry knows.
func (guard *Guard) IsReady() bool {
	return guard.report.GetReady() && !guard.report.GetLeaving() && !guard.listedLeaving
}

// IsLeaving reports whether the guard or the platform's list says that the guard is leaving.
func (guard *Guard) IsLeaving() bool { return guard.report.GetLeaving() || guard.listedLeaving }

// IsListedLeaving reports whether the platform's list says that the worker is being
// removed. A guard that only reports itself as leaving may be about to restart.
func (guard *Guard) IsListedLeaving() bool { return guard.listedLeaving }

// Peer holds the last answer of another entry.
type Peer struct {
	Name         string
	LastAnswerAt time.Time
	Documents    []document.Version
}

// View is one entry's view of the guards and of the other entries. It is safe for
// concurrent use.
type View struct {
	mu      sync.RWMutex
	timeout time.Duration
	guards  map[string]*Guard
	leaving map[string]bool
	entries []instances.Instance
	peers   map[string]Peer
}

// NewView returns an empty view. A guard or entry from which nothing was received
// for the timeout counts as unresponsive.
func NewView(timeout time.Duration) *View {
	return &View{
		timeout: timeout,
		guards:  map[string]*Guard{},
		leaving: map[string]bool{},
		peers:   map[string]Peer{},
	}
}

// SetTimeout changes the time after which a guard or entry counts as unresponsive.
func (view *View) SetTimeout(timeout time.Duration) {
	view.mu.Lock()
	defer view.mu.Unlock()
	view.timeout = timeout
}

// AddReport records a guard's report. It returns nil if the report comes from an
// incarnation that has been replaced, unless the later one has timed out.
func (view *View) AddReport(report *wire.ReportRequest, now time.Time) *Guard {
	view.mu.Lock()
	defer view.mu.Unlock()
	previous := view.guards[report.GetWorker()]
	guard := &Guard{report: report, lastReportAt: now, listedLeaving: view.leaving[report.GetWorker()]}
	if previous != nil {
		replaced := report.GetIncarnation() < previous.Incarnation()
		if replaced && now.Sub(previous.lastReportAt) < view.timeout {
			return nil
		}
		if report.GetIncarnation() == previous.Incarnation() {
			guard.previousReportAt = previous.lastReportAt
		}
	}
	view.guards[report.GetWorker()] = guard
	return guard
}

// SetInstances updates the view from the platform's instance list.
func (view *View) SetInstances(list []instances.Instance) {
	view.mu.Lock()
	defer view.mu.Unlock()
	view.entries = view.entries[:0:0]
	clear(view.leaving)
	for _, instance := range list {
		switch instance.Role {
		case instances.Entry:
			view.entries = append(view.entries, instance)
		case instances.Guard:
			view.leaving[instance.Name] = instance.State == instances.Leaving
		}
	}
	for name, guard := range view.guards {
		if guard.listedLeaving != view.leaving[name] {
			updated := *guard
			updated.listedLeaving = view.leaving[name]
			view.guards[name] = &updated
		}
	}
}

// UpdatePeer records an answer of another entry.
func (view *View) UpdatePeer(peer Peer) {
	view.mu.Lock()
	defer view.mu.Unlock()
	view.peers[peer.Name] = peer
}

// Peers returns every entry that has ever answered, ordered by name.
func (view *View) Peers() []Peer {
	view.mu.RLock()
	defer view.mu.RUnlock()
	return slices.SortedFunc(maps.Values(view.peers), func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
}

// Entries returns the entries on the platform's list.
func (view *View) Entries() []instances.Instance {
	view.mu.RLock()
	defer view.mu.RUnlock()
	return slices.Clone(view.entries)
}

// LivePeers returns the sorted names of the other entries that answered within the timeout.
func (view *View) LivePeers(now time.Time) []string {
	view.mu.RLock()
	defer view.mu.RUnlock()
	var live []string
	for name, peer := range view.peers {
		if now.Sub(peer.LastAnswerAt) < view.timeout {
			live = append(live, name)
		}
	}
	slices.Sort(live)
	return live
}

// Guard returns the last report of a guard, or nil if it has never reported.
func (view *View) Guard(name string) *Guard {
	view.mu.RLock()
	defer view.mu.RUnlock()
	return view.guards[name]
}

// Guards returns every guard that has ever reported, ordered by name.
func (view *View) Guards() []*Guard {
	view.mu.RLock()
	defer view.mu.RUnlock()
	guards := make([]*Guard, 0, len(view.guards))
	for _, guard := range view.guards {
		guards = append(guards, guard)
	}
	slices.SortFunc(guards, func(a, b *Guard) int { return cmp.Compare(a.Name(), b.Name()) })
	return guards
}

// HasTimedOut reports whether no report of the guard was received within the timeout.
func (view *View) HasTimedOut(guard *Guard, now time.Time) bool {
	view.mu.RLock()
	defer view.mu.RUnlock()
	return now.Sub(guard.lastReportAt) >= view.timeout
}
