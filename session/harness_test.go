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

const gibibyte = 1 << 30

// bench holds one session.
type bench struct {
	t        *testing.T
	ctx      context.Context
	clock    *clockwork.FakeClock
	log      *standin.Log
	links    *network
	list     []instances.Instance
	entries  map[string]*seatedEntry
	guards   map[string]*seatedGuard
	workers  map[string]*standin.Worker
	backends map[string]http.Handler
	// backend takes the place of every stand-in backend server, if it is set.
	backend http.Handler
	said    transcript
	owned   ownership
	// restless lets time pass while the entries read the log: after an outage
	// they wait before they read again.
	restless bool
	// unreachable names the guards that can't reach any entry.
	unreachable map[string]bool
	// ignoreLeases breaks the workers on purpose.
	ignoreLeases bool
}

type seatedEntry struct {
	role    *entry.Entry
	journal *changelog.Journal
	handler http.Handler
	address string
	stop    context.CancelFunc
	log     *switchedLog
}

type seatedGuard struct {
	role    *guard.Guard
	address string
	stop    context.CancelFunc
}

func newBench(t *testing.T) *bench {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	return &bench{
		t:           t,
		ctx:         ctx,
		clock:       clockwork.NewFakeClockAt(sessionStart),
		log:         standin.NewLog(0),
		links:       newNetwork(),
		entries:     map[string]*seatedEntry{},
		guards:      map[string]*seatedGuard{},
		workers:     map[string]*standin.Worker{},
		backends:    map[string]http.Handler{},
		unreachable: map[string]bool{},
		said:        transcript{names: map[string]string{}},
	}
}

// List implements instances.Lister.
func (made *bench) List(_ context.Context, role instances.Role) ([]instances.Instance, error) {
	var listed []instances.Instance
	for _, each := range made.list {
		if role == instances.AllRoles || each.Role == role {
			listed = append(listed, each)
		}
	}
	return listed, nil
}

// events returns a logger whose lines go into the transcript.
func (made *bench) events(name string) *event.Logger {
	options := &slog.HandlerOptions{ReplaceAttr: func(_ []string, attribute slog.Attr) slog.Attr {
		switch attribute.Key {
		case slog.TimeKey, "took":
			return slog.Attr{}
		}
		return attribute
	}}
	return event.New(slog.New(slog.NewTextHandler(&lineWriter{said: &made.said, name: name}, options)))
}

func (made *bench) addEntry(name, domain string) {
	made.t.Helper()
	address := name + ":rpc"
	made.list = append(made.list, instances.Instance{Name: name, Role: instances.Entry, Address: address, FailureDomain: domain, State: instances.Live})
	made.startEntry(name, domain)
}

// startEntry starts an entry that is on the list, with empty memory.
func (made *bench) startEntry(name, domain string) {
	made.t.Helper()
	ctx, stop := context.WithCancel(made.ctx)
	log := &switchedLog{way: made.log}
	kept := changelog.New(log, changelog.Options{Writer: name, AppendsPerSecond: 1e6, Clock: made.clock, Events: made.events(name)})
	go kept.Run(ctx)
	role := entry.New(entry.Options{
		Name: name, FailureDomain: domain, Journal: kept, Instances: made,
		Pool: rpc.NewPoolWithDialFunc(made.links.dial), Clock: made.clock, Events: made.events(name),
	})
	handler, err := role.Handler()
	if err != nil {
		made.t.Fatal(err)
	}
	seated := &seatedEntry{role: role, journal: kept, handler: handler, address: name + ":rpc", stop: stop, log: log}
	made.serve(ctx, seated.address, func(mux *drpcmux.Mux) error { return wire.DRPCRegisterEntry(mux, role) })
	made.entries[name] = seated
	made.await("the entry reads the log", func() bool { return kept.Ready() == nil || made.log.IsDown() })
	role.SyncDocuments(ctx)
	role.RefreshInstances(ctx)
}

func (made *bench) serve(ctx context.Context, address string, register func(mux *drpcmux.Mux) error) {
	server, err := rpc.NewServer(made.links.listen(address), register)
	if err != nil {
		made.t.Fatal(err)
	}
	go func() { _ = server.Serve(ctx) }()
}

func (made *bench) addWorker(name, domain string) {
	made.t.Helper()
	address := name + ":rpc"
	made.list = append(made.list, instances.Instance{Name: name, Role: instances.Guard, Address: address, FailureDomain: domain, State: instances.Live})
	made.workers[name] = standin.NewWorker(standin.WorkerOptions{
		Name:     name,
		Capacity: worker.Capacity{MilliCPU: 32_000, MemoryBytes: 125 * gibibyte, Accelerators: 1, Rack: "rack-1"},
		Observe:  made.owned.note, IgnoreLeases: made.ignoreLeases,
	})
	made.backends[name] = standin.NewBackend(name, 0)
	if made.backend != nil {
		made.backends[name] = made.backend
	}
	made.startGuard(name, domain)
}

// startGuard starts a guard of a worker that is there, as a new incarnation.
func (made *bench) startGuard(name, domain string) {
	made.t.Helper()
	ctx, stop := context.WithCancel(made.ctx)
	backend := httptest.NewServer(made.backends[name])
	made.t.Cleanup(backend.Close)
	role := guard.New(guard.Options{
		Name: name, Address: name + ":rpc", FailureDomain: domain, Service: "verbale", BackendURL: backend.URL,
		Worker: made.workers[name].Direct(), Instances: made, Pool: rpc.NewPoolWithDialFunc(made.links.dial),
		Clock: made.clock, Events: made.events(name),
	})
	made.serve(ctx, name+":rpc", func(mux *drpcmux.Mux) error { return wire.DRPCRegisterGuard(mux, role) })
	seated := &seatedGuard{role: role, address: name + ":rpc", stop: stop}
	made.guards[name] = seated
	if err := role.PollWorker(ctx); err != nil {
		made.t.Fatal(err)
	}
	role.RefreshInstances(ctx)
}

// kill ends an instance without any goodbye.
func (made *bench) kill(name string) {
	made.links.mu.Lock()
	listener := made.links.listeners[name+":rpc"]
	delete(made.links.listeners, name+":rpc")
	made.links.mu.Unlock()
	if listener != nil {
		_ = listener.Close()
		listener.breakOff()
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

// await spins until the condition holds.
func (made *bench) await(what string, holds func() bool) {
	made.t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for !holds() {
		if time.Now().After(deadline) {
			made.t.Fatalf("waited in vain: %s", what)
		}
		runtime.Gosched()
	}
}

// pass lets time pass for everything, and then lets every entry read the log.
func (made *bench) pass(span time.Duration) {
	made.t.Helper()
	made.tick(span)
	made.catchUp()
}

// tick moves the clock and every worker's time on.
func (made *bench) tick(span time.Duration) {
	made.clock.Advance(span)
	now := made.clock.Now()
	for _, name := range slices.Sorted(maps.Keys(made.workers)) {
		made.workers[name].Step(now, span)
	}
}

// catchUp lets every entry read the log to its end.
func (made *bench) catchUp() {
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
		made.await(name+" reads the log", func() bool {
			made.log.ExpireReads()
			if made.restless {
				made.tick(time.Millisecond)
			}
			var next int64
			seated.journal.View(func(folded *state.State) { next = folded.NextOffset() })
			return !seated.journal.SyncedAt().Before(now) && next == made.log.EndOffset(changelog.RecordStream)
		})
		seated.role.SyncDocuments(made.ctx)
	}
}

// report lets the guards poll their workers and report, by name, and the
// entries act on what they heard.
func (made *bench) report(names ...string) {
	made.t.Helper()
	for _, name := range names {
		seated, found := made.guards[name]
		if !found {
			continue
		}
		if err := seated.role.PollWorker(made.ctx); err != nil {
			made.t.Fatal(err)
		}
		for _, each := range made.list {
			if each.Role != instances.Entry || made.unreachable[name] || made.unreachable[name+" to "+each.Name] {
				continue
			}
			seated.role.ReportTo(made.ctx, each)
			made.finish()
		}
	}
}

func (made *bench) finish() {
	for _, name := range slices.Sorted(maps.Keys(made.entries)) {
		seated := made.entries[name]
		seated.role.WaitBackground()
		seated.role.RecordClaims(made.ctx)
	}
	made.catchUp()
}

// hearPeers lets the entries ask each other, by name.
func (made *bench) hearPeers() {
	for _, name := range slices.Sorted(maps.Keys(made.entries)) {
		made.entries[name].role.RefreshInstances(made.ctx)
		made.entries[name].role.SyncPeers(made.ctx)
	}
}

// clean lets the entries look for silent workers.
func (made *bench) clean() {
	for _, name := range slices.Sorted(maps.Keys(made.entries)) {
		made.entries[name].role.RunMaintenance(made.ctx)
		made.finish()
	}
	made.hearPeers()
}

// placeTask submits a long transcription and has it run on worker-01.
func (made *bench) placeTask(key string) string {
	made.t.Helper()
	body := `{"team":"councils","kind":"transcription","processors":4,"run_time":"6h","input":"seduta"}`
	id := idOf(made.t, made.doQuiet("entry-1", http.MethodPost, "/v1/tasks", body, api.HeaderIdempotencyKey, key).Body.Bytes())
	made.finish()
	made.place("entry-1", "entry-2")
	made.report("worker-01", "worker-02")
	if worker := made.task("entry-1", id).Worker; worker != "worker-01" {
		made.t.Fatalf("the task is on %q", worker)
	}
	return id
}

// place lets the entries place what waits, by name.
func (made *bench) place(names ...string) {
	for _, name := range names {
		if seated, found := made.entries[name]; found {
			seated.role.PlacePending(made.ctx, made.clock.Now())
			made.finish()
		}
	}
}
