// Package membership keeps what one entry knows of the guards and of the other
// entries, from what it hears itself and from the platform's lagging list.
//
// Hearing from a guard says that it is there and what it carries. Silence says
// nothing about what its worker runs. The list says who is leaving; that it
// leaves an instance out proves nothing either.
//
// Two starts of a guard under one name are told apart by their incarnation. A
// later incarnation replaces an earlier one; reports of the earlier one that
// were held up are passed over, unless the later one has been silent for long.
//
// # Usage
//
//	view := membership.NewView(10 * time.Second)
//	current := view.Heard(report, now)
//	view.ListRead(list)
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

// Guard is what was last heard of one guard. It does not change.
type Guard struct {
	report           *wire.ReportRequest
	lastReportAt     time.Time
	previousReportAt time.Time
	listedLeaving    bool
}

// Name returns the name of the guard's worker.
func (guard *Guard) Name() string { return guard.report.GetWorker() }

// Incarnation returns which start of the guard spoke.
func (guard *Guard) Incarnation() string { return guard.report.GetIncarnation() }

// Address returns where the guard is reached.
func (guard *Guard) Address() string { return guard.report.GetAddress() }

// FailureDomain returns where the worker is.
func (guard *Guard) FailureDomain() string { return guard.report.GetFailureDomain() }

// Rack returns the worker's rack.
func (guard *Guard) Rack() string { return guard.report.GetRack() }

// Service returns the service that the backend server runs.
func (guard *Guard) Service() string { return guard.report.GetService() }

// Uptime returns the guard's own clock when it spoke.
func (guard *Guard) Uptime() time.Duration { return time.Duration(guard.report.GetUptimeNanos()) }

// LastReportAt returns when the guard was heard.
func (guard *Guard) LastReportAt() time.Time { return guard.lastReportAt }

// PreviousReportAt returns when the same incarnation was heard the time before.
func (guard *Guard) PreviousReportAt() time.Time { return guard.previousReportAt }

// Capacity returns what the worker has for tasks.
func (guard *Guard) Capacity() *wire.Resources { return guard.report.GetCapacity() }

// Used returns what the worker's tasks were measured to use, a while ago.
func (guard *Guard) Used() *wire.Resources { return guard.report.GetUsed() }

// Load returns the load of the backend server.
func (guard *Guard) Load() *wire.Load { return guard.report.GetLoad() }

// Tasks returns the attempts that the guard answers for.
func (guard *Guard) Tasks() []*wire.TaskReport { return guard.report.GetTasks() }

// Documents returns the document versions in force on the guard.
func (guard *Guard) Documents() []*wire.DocumentVersion { return guard.report.GetDocuments() }

// IsReady reports whether the guard takes new work, as far as is known.
func (guard *Guard) IsReady() bool {
	return guard.report.GetReady() && !guard.report.GetLeaving() && !guard.listedLeaving
}

// IsLeaving reports whether the guard or the platform's list says that it leaves.
func (guard *Guard) IsLeaving() bool { return guard.report.GetLeaving() || guard.listedLeaving }

// IsListedLeaving reports whether the platform's list says that the worker leaves
// for good. A guard that leaves by itself may only be about to restart.
func (guard *Guard) IsListedLeaving() bool { return guard.listedLeaving }

// Peer is what was last heard of another entry.
type Peer struct {
	Name         string
	LastAnswerAt time.Time
	Documents    []document.Version
}

// View is what one entry knows. It may be used by many goroutines.
type View struct {
	mu      sync.RWMutex
	timeout time.Duration
	guards  map[string]*Guard
	leaving map[string]bool
	entries []instances.Instance
	peers   map[string]Peer
}

// NewView returns an empty view. A guard or entry that is not heard for the
// time silent no longer counts as there.
func NewView(silent time.Duration) *View {
	return &View{
		timeout: silent,
		guards:  map[string]*Guard{},
		leaving: map[string]bool{},
		peers:   map[string]Peer{},
	}
}

// SetTimeout changes how long silence may be.
func (view *View) SetTimeout(silent time.Duration) {
	view.mu.Lock()
	defer view.mu.Unlock()
	view.timeout = silent
}

// AddReport takes a report in. It returns nil when the report comes from an
// incarnation that has been replaced.
func (view *View) AddReport(report *wire.ReportRequest, now time.Time) *Guard {
	view.mu.Lock()
	defer view.mu.Unlock()
	before := view.guards[report.GetWorker()]
	heard := &Guard{report: report, lastReportAt: now, listedLeaving: view.leaving[report.GetWorker()]}
	if before != nil {
		replaced := report.GetIncarnation() < before.Incarnation()
		if replaced && now.Sub(before.lastReportAt) < view.timeout {
			return nil
		}
		if report.GetIncarnation() == before.Incarnation() {
			heard.previousReportAt = before.lastReportAt
		}
	}
	view.guards[report.GetWorker()] = heard
	return heard
}

// SetInstances takes the platform's list in.
func (view *View) SetInstances(list []instances.Instance) {
	view.mu.Lock()
	defer view.mu.Unlock()
	view.entries = view.entries[:0:0]
	clear(view.leaving)
	for _, each := range list {
		switch each.Role {
		case instances.Entry:
			view.entries = append(view.entries, each)
		case instances.Guard:
			view.leaving[each.Name] = each.State == instances.Leaving
		}
	}
	for name, guard := range view.guards {
		if guard.listedLeaving != view.leaving[name] {
			changed := *guard
			changed.listedLeaving = view.leaving[name]
			view.guards[name] = &changed
		}
	}
}

// UpdatePeer notes that another entry answered.
func (view *View) UpdatePeer(peer Peer) {
	view.mu.Lock()
	defer view.mu.Unlock()
	view.peers[peer.Name] = peer
}

// Peers returns the entries that were ever heard, by name.
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

// LivePeers returns the names of the other entries that were heard lately.
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

// Guard returns what was last heard of a guard, nil when nothing was.
func (view *View) Guard(name string) *Guard {
	view.mu.RLock()
	defer view.mu.RUnlock()
	return view.guards[name]
}

// Guards returns every guard that was ever heard, by name.
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

// HasTimedOut reports whether the guard has not been heard for too long.
func (view *View) HasTimedOut(guard *Guard, now time.Time) bool {
	view.mu.RLock()
	defer view.mu.RUnlock()
	return now.Sub(guard.lastReportAt) >= view.timeout
}
