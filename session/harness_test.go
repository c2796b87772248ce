// Package session_test runs whole sessions of entries and guards in one
// process, with a fake clock and a network in memory, and compares what was
// said and logged with golden files.
package session_test

import (
	"context"
	"log/slog"
	"maps"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"storj.io/drpc/drpcmux"

	"ambertiller.example/ambertiller/api"
	"ambertiller.example/ambertiller/changelog"
	"ambertiller.example/ambertiller/entry"
	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/guard"
	"ambertiller.example/ambertiller/instances"
	"ambertiller.example/ambertiller/rpc"
	"ambertiller.example/ambertiller/standin"
	"ambertiller.example/ambertiller/state"
	"ambertiller.example/ambertiller/wire"
	"ambertiller.example/ambertiller/worker"
)

var sessionStart = time.Date(2026, 3, 4, 9, 0, 0, 0, time.UTC)

const bytesPerGiB = 1 << 30

// harness holds one session.
type harness struct {
	t         *testing.T
	ctx       context.Context
	clock     *clockwork.FakeClock
	log       *standin.Log
	network   *network
	instances []instances.Instance
	entries   map[string]*entryInstance
	guards    map[string]*guardInstance
	workers   map[string]*standin.Worker
	backends  map[string]http.Handler
	// backendOverride takes the place of every stand-in backend server, if it is set.
	backendOverride http.Handler
	transcript      transcript
	observations    observationLog
	// advanceDuringReads lets time pass while the entries read the log: after an outage
	// they wait before they read again.
	advanceDuringReads bool
	// blockedReports names the guards that can't reach any entry.
	blockedReports map[string]bool
	// ignoreLeases breaks the workers on purpose.
	ignoreLeases bool
}

type entryInstance struct {
	entry   *entry.Entry
	journal *changelog.Journal
	handler http.Handler
	address string
	stop    context.CancelFunc
	log     *switchableLog
}

type guardInstance struct {
	guard   *guard.Guard
	address string
	stop    context.CancelFunc
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	return &harness{
		t:              t,
		ctx:            ctx,
		clock:          clockwork.NewFakeClockAt(sessionStart),
		log:            standin.NewLog(0),
		network:        newNetwork(),
		entries:        map[string]*entryInstance{},
		guards:         map[string]*guardInstance{},
		workers:        map[string]*standin.Worker{},
		backends:       map[string]http.Handler{},
		blockedReports: map[string]bool{},
		transcript:     transcript{placeholders: map[string]string{}},
	}
}

// List implements instances.Lister.
func (made *harness) List(_ context.Context, role instances.Role) ([]instances.Instance, error) {
	var listed []instances.Instance
	for _, each := range made.instances {
		if role == instances.AllRoles || each.Role == role {
			listed = append(listed, each)
		}
	}
	return listed, nil
}

// newEventLogger returns a logger whose lines go into the transcript.
func (made *harness) newEventLogger(name string) *event.Logger {
	options := &slog.HandlerOptions{ReplaceAttr: func(_ []string, attribute slog.Attr) slog.Attr {
		switch attribute.Key {
		case slog.TimeKey, "took":
			return slog.Attr{}
		}
		return attribute
	}}
	return event.New(slog.New(slog.NewTextHandler(&lineWriter{transcript: &made.transcript, name: name}, options)))
}

func (made *harness) addEntry(name, domain string) {
	made.t.Helper()
	address := name + ":rpc"
	made.instances = append(made.instances, instances.Instance{Name: name, Role: instances.Entry, Address: address, FailureDomain: domain, State: instances.Live})
	made.startEntry(name, domain)
}

// startEntry starts an entry that is on the list, with empty memory.
func (made *harness) startEntry(name, domain string) {
	made.t.Helper()
	ctx, stop := context.WithCancel(made.ctx)
	log := &switchableLog{service: made.log}
	kept := changelog.New(log, changelog.Options{Writer: name, AppendsPerSecond: 1e6, Clock: made.clock, Events: made.newEventLogger(name)})
	go kept.Run(ctx)
	role := entry.New(entry.Options{
		Name: name, FailureDomain: domain, Journal: kept, Instances: made,
		Pool: rpc.NewPoolWithDialFunc(made.network.dial), Clock: made.clock, Events: made.newEventLogger(name),
	})
	handler, err := role.Handler()
	if err != nil {
		made.t.Fatal(err)
	}
	seated := &entryInstance{entry: role, journal: kept, handler: handler, address: name + ":rpc", stop: stop, log: log}
	made.serveRPC(ctx, seated.address, func(mux *drpcmux.Mux) error { return wire.DRPCRegisterEntry(mux, role) })
	made.entries[name] = seated
	made.waitFor("the entry reads the log", func() bool { return kept.Ready() == nil || made.log.IsDown() })
	role.SyncDocuments(ctx)
	role.RefreshInstances(ctx)
}

func (made *harness) serveRPC(ctx context.Context, address string, register func(mux *drpcmux.Mux) error) {
	server, err := rpc.NewServer(made.network.listen(address), register)
	if err != nil {
		made.t.Fatal(err)
	}
	go func() { _ = server.Serve(ctx) }()
}

func (made *harness) addWorker(name, domain string) {
	made.t.Helper()
	address := name + ":rpc"
	made.instances = append(made.instances, instances.Instance{Name: name, Role: instances.Guard, Address: address, FailureDomain: domain, State: instances.Live})
	made.workers[name] = standin.NewWorker(standin.WorkerOptions{
		Name:     name,
		Capacity: worker.Capacity{MilliCPU: 32_000, MemoryBytes: 125 * bytesPerGiB, Accelerators: 1, Rack: "rack-1"},
		Observe:  made.observations.record, IgnoreLeases: made.ignoreLeases,
	})
	made.backends[name] = standin.NewBackend(name, 0)
	if made.backendOverride != nil {
		made.backends[name] = made.backendOverride
	}
	made.startGuard(name, domain)
}

// startGuard starts a guard of a worker that is there, as a new incarnation.
func (made *harness) startGuard(name, domain string) {
	made.t.Helper()
	ctx, stop := context.WithCancel(made.ctx)
	backend := httptest.NewServer(made.backends[name])
	made.t.Cleanup(backend.Close)
	role := guard.New(guard.Options{
		Name: name, Address: name + ":rpc", FailureDomain: domain, Service: "verbale", BackendURL: backend.URL,
		Worker: made.workers[name].Direct(), Instances: made, Pool: rpc.NewPoolWithDialFunc(made.network.dial),
		Clock: made.clock, Events: made.newEventLogger(name),
	})
	made.serveRPC(ctx, name+":rpc", func(mux *drpcmux.Mux) error { return wire.DRPCRegisterGuard(mux, role) })
	seated := &guardInstance{guard: role, address: name + ":rpc", stop: stop}
	made.guards[name] = seated
	if err := role.PollWorker(ctx); err != nil {
		made.t.Fatal(err)
	}
	role.RefreshInstances(ctx)
}

// kill ends an instance without any goodbye.
func (made *harness) kill(name string) {
	made.network.mu.Lock()
	listener := made.network.listeners[name+":rpc"]
	delete(made.network.listeners, name+":rpc")
	made.network.mu.Unlock()
	if listener != nil {
		_ = listener.Close()
		listener.closeConns()
	}
	if seated, found := made.entries[name]; found {
		seated.stop()
		delete(made.entries, name)
	}
	if seated, found := made.guards[name]; found {
		seated.stop()
		delete(made.guards, name)
	}
}

// waitFor spins until the condition holds.
func (made *harness) waitFor(what string, holds func() bool) {
	made.t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for !holds() {
		if time.Now().After(deadline) {
			made.t.Fatalf("waited in vain: %s", what)
		}
		runtime.Gosched()
	}
}

// advance lets time pass for everything, and then lets every entry read the log.
func (made *harness) advance(span time.Duration) {
	made.t.Helper()
	made.advanceClock(span)
	made.catchUp()
}

// advanceClock moves the clock and every worker's time on.
func (made *harness) advanceClock(span time.Duration) {
	made.clock.Advance(span)
	now := made.clock.Now()
	for _, name := range slices.Sorted(maps.Keys(made.workers)) {
		made.workers[name].Step(now, span)
	}
}

// catchUp lets every entry read the log to its end.
func (made *harness) catchUp() {
	made.t.Helper()
	now := made.clock.Now()
	if made.log.IsDown() {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(made.entries)) {
		seated := made.entries[name]
		if seated.log.get() == nil {
			continue
		}
		made.waitFor(name+" reads the log", func() bool {
			made.log.ExpireReads()
			if made.advanceDuringReads {
				made.advanceClock(time.Millisecond)
			}
			var next int64
			seated.journal.View(func(folded *state.State) { next = folded.NextOffset() })
			return !seated.journal.SyncedAt().Before(now) && next == made.log.EndOffset(changelog.RecordStream)
		})
		seated.entry.SyncDocuments(made.ctx)
	}
}

// report lets the guards poll their workers and report, by name, and the
// entries act on what they heard.
func (made *harness) report(names ...string) {
	made.t.Helper()
	for _, name := range names {
		seated, found := made.guards[name]
		if !found {
			continue
		}
		if err := seated.guard.PollWorker(made.ctx); err != nil {
			made.t.Fatal(err)
		}
		for _, each := range made.instances {
			if each.Role != instances.Entry || made.blockedReports[name] || made.blockedReports[name+" to "+each.Name] {
				continue
			}
			seated.guard.ReportTo(made.ctx, each)
			made.waitBackground()
		}
	}
}

func (made *harness) waitBackground() {
	for _, name := range slices.Sorted(maps.Keys(made.entries)) {
		seated := made.entries[name]
		seated.entry.WaitBackground()
		seated.entry.RecordClaims(made.ctx)
	}
	made.catchUp()
}

// syncPeers lets the entries ask each other, by name.
func (made *harness) syncPeers() {
	for _, name := range slices.Sorted(maps.Keys(made.entries)) {
		made.entries[name].entry.RefreshInstances(made.ctx)
		made.entries[name].entry.SyncPeers(made.ctx)
	}
}

// runMaintenance lets the entries look for silent workers.
func (made *harness) runMaintenance() {
	for _, name := range slices.Sorted(maps.Keys(made.entries)) {
		made.entries[name].entry.RunMaintenance(made.ctx)
		made.waitBackground()
	}
	made.syncPeers()
}

// startTask submits a long transcription and has it run on worker-01.
func (made *harness) startTask(key string) string {
	made.t.Helper()
	body := `{"team":"councils","kind":"transcription","processors":4,"run_time":"6h","input":"seduta"}`
	id := parseTaskID(made.t, made.doRequest("entry-1", http.MethodPost, "/v1/tasks", body, api.HeaderIdempotencyKey, key).Body.Bytes())
	made.waitBackground()
	made.placePending("entry-1", "entry-2")
	made.report("worker-01", "worker-02")
	if worker := made.task("entry-1", id).Worker; worker != "worker-01" {
		made.t.Fatalf("the task is on %q", worker)
	}
	return id
}

// placePending lets the entries place what waits, by name.
func (made *harness) placePending(names ...string) {
	for _, name := range names {
		if seated, found := made.entries[name]; found {
			seated.entry.PlacePending(made.ctx, made.clock.Now())
			made.waitBackground()
		}
	}
}
