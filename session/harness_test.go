// Package session_test runs entries and guards together in one process, with a fake clock and an in-memory
// network. Some tests compare the recorded requests, responses and log lines with golden files.
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

// harness runs the entries, guards, workers and backend servers of one session.
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
	// backendOverride replaces the stand-in backend server of every worker, if it is set.
	backendOverride http.Handler
	transcript      transcript
	observations    observationLog
	// advanceDuringReads advances the clock while catchUp waits for the entries to read the log. It is needed
	// after an outage, when the entries back off before they read again.
	advanceDuringReads bool
	// blockedReports has the names of guards whose reports reach no entry, and keys like "worker-01 to
	// entry-1" for reports that don't reach one entry.
	blockedReports map[string]bool
	// ignoreLeases makes the workers keep running tasks whose lease has expired.
	ignoreLeases bool
	// inBubble is set in a synctest bubble. The backend servers are not served there, because a goroutine that
	// waits for a network does not let the time of the bubble pass.
	inBubble bool
}

// entryInstance is a running entry.
type entryInstance struct {
	entry   *entry.Entry
	journal *changelog.Journal
	handler http.Handler
	address string
	stop    context.CancelFunc
	log     *switchableLog
}

// guardInstance is a running guard.
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
func (h *harness) List(_ context.Context, role instances.Role) ([]instances.Instance, error) {
	var listed []instances.Instance
	for _, instance := range h.instances {
		if role == instances.AllRoles || instance.Role == role {
			listed = append(listed, instance)
		}
	}
	return listed, nil
}

// newEventLogger returns a logger that writes to the transcript. It omits the attributes that vary between
// runs.
func (h *harness) newEventLogger(name string) *event.Logger {
	options := &slog.HandlerOptions{ReplaceAttr: func(_ []string, attr slog.Attr) slog.Attr {
		switch attr.Key {
		case slog.TimeKey, "took":
			return slog.Attr{}
		}
		return attr
	}}
	return event.New(slog.New(slog.NewTextHandler(&lineWriter{transcript: &h.transcript, name: name}, options)))
}

// addEntry adds an entry to the instance list and starts it.
func (h *harness) addEntry(name, domain string) {
	h.t.Helper()
	address := name + ":rpc"
	h.instances = append(h.instances, instances.Instance{Name: name, Role: instances.Entry, Address: address, FailureDomain: domain, State: instances.Live})
	h.startEntry(name, domain)
}

// startEntry starts an entry that is on the instance list. The entry has no state from an earlier process.
func (h *harness) startEntry(name, domain string) {
	h.t.Helper()
	ctx, stop := context.WithCancel(h.ctx)
	log := &switchableLog{service: h.log}
	journal := changelog.New(log, changelog.Options{Writer: name, AppendsPerSecond: 1e6, Clock: h.clock, Events: h.newEventLogger(name)})
	go journal.Run(ctx)
	e := entry.New(entry.Options{
		Name: name, FailureDomain: domain, Journal: journal, Instances: h,
		Pool: rpc.NewPoolWithDialFunc(h.network.dial), Clock: h.clock, Events: h.newEventLogger(name),
	})
	handler, err := e.Handler()
	if err != nil {
		h.t.Fatal(err)
	}
	instance := &entryInstance{entry: e, journal: journal, handler: handler, address: name + ":rpc", stop: stop, log: log}
	h.serveRPC(ctx, instance.address, func(mux *drpcmux.Mux) error { return wire.DRPCRegisterEntry(mux, e) })
	h.entries[name] = instance
	h.waitFor("the entry has read the log", func() bool { return journal.Ready() == nil || h.log.IsDown() })
	e.SyncDocuments(ctx)
	e.RefreshInstances(ctx)
}

// serveRPC serves RPCs at an address of the in-memory network.
func (h *harness) serveRPC(ctx context.Context, address string, register func(mux *drpcmux.Mux) error) {
	server, err := rpc.NewServer(h.network.listen(address), register)
	if err != nil {
		h.t.Fatal(err)
	}
	go func() { _ = server.Serve(ctx) }()
}

// addWorker adds a worker with its backend server and starts its guard.
func (h *harness) addWorker(name, domain string) {
	h.t.Helper()
	address := name + ":rpc"
	h.instances = append(h.instances, instances.Instance{Name: name, Role: instances.Guard, Address: address, FailureDomain: domain, State: instances.Live})
	h.workers[name] = standin.NewWorker(standin.WorkerOptions{
		Name:     name,
		Capacity: worker.Capacity{MilliCPU: 32_000, MemoryBytes: 125 * bytesPerGiB, Accelerators: 1, Rack: "rack-1"},
		Observe:  h.observations.record, IgnoreLeases: h.ignoreLeases,
	})
	h.backends[name] = standin.NewBackend(name, 0)
	if h.backendOverride != nil {
		h.backends[name] = h.backendOverride
	}
	h.startGuard(name, domain)
}

// startGuard starts a guard for an existing worker. Each start is a new incarnation.
func (h *harness) startGuard(name, domain string) {
	h.t.Helper()
	ctx, stop := context.WithCancel(h.ctx)
	g := guard.New(guard.Options{
		Name: name, Address: name + ":rpc", FailureDomain: domain, Service: "verbale", BackendURL: h.serveBackend(name),
		Worker: h.workers[name].Direct(), Instances: h, Pool: rpc.NewPoolWithDialFunc(h.network.dial),
		Clock: h.clock, Events: h.newEventLogger(name),
	})
	h.serveRPC(ctx, name+":rpc", func(mux *drpcmux.Mux) error { return wire.DRPCRegisterGuard(mux, g) })
	instance := &guardInstance{guard: g, address: name + ":rpc", stop: stop}
	h.guards[name] = instance
	if err := g.PollWorker(ctx); err != nil {
		h.t.Fatal(err)
	}
	g.RefreshInstances(ctx)
}

// serveBackend serves a worker's backend server and returns its URL. In a bubble nothing serves it.
func (h *harness) serveBackend(name string) string {
	if h.inBubble {
		return "http://" + name
	}
	server := httptest.NewServer(h.backends[name])
	h.t.Cleanup(server.Close)
	return server.URL
}

// kill stops an entry or guard without a graceful shutdown.
func (h *harness) kill(name string) {
	h.network.mu.Lock()
	listener := h.network.listeners[name+":rpc"]
	delete(h.network.listeners, name+":rpc")
	h.network.mu.Unlock()
	if listener != nil {
		_ = listener.Close()
		listener.closeConns()
	}
	if instance, found := h.entries[name]; found {
		instance.stop()
		delete(h.entries, name)
	}
	if instance, found := h.guards[name]; found {
		instance.stop()
		delete(h.guards, name)
	}
}

// waitFor polls a condition until it holds. It fails the test after 20 seconds, which are real unless the
// test runs in a bubble.
func (h *harness) waitFor(description string, condition func() bool) {
	h.t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			h.t.Fatalf("timed out waiting: %s", description)
		}
		h.yield()
	}
}

// bubblePause is how long yield sleeps in a synctest bubble.
const bubblePause = 10 * time.Microsecond

// yield lets other goroutines run; in a bubble until all of them wait.
func (h *harness) yield() {
	if h.inBubble {
		time.Sleep(bubblePause)
		return
	}
	runtime.Gosched()
}

// advance advances the clock and the workers, and then waits until every entry has read the log.
func (h *harness) advance(d time.Duration) {
	h.t.Helper()
	h.advanceClock(d)
	h.catchUp()
}

// advanceClock advances the fake clock and steps every worker by the same duration.
func (h *harness) advanceClock(d time.Duration) {
	h.clock.Advance(d)
	now := h.clock.Now()
	for _, name := range slices.Sorted(maps.Keys(h.workers)) {
		h.workers[name].Step(now, d)
	}
}

// maxReadTime is the real time after which an entry that has not read the log is taken to wait for the clock: if the clock
// is advanced between a read that failed and the pause that follows, nothing else would end that pause.
const maxReadTime = 3 * time.Second

// catchUp waits until every entry that is connected to the log has read it to its end, and puts the newest
// documents in force. It does nothing while the log is down.
func (h *harness) catchUp() {
	h.t.Helper()
	now := h.clock.Now()
	if h.log.IsDown() {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(h.entries)) {
		instance := h.entries[name]
		if instance.log.get() == nil {
			continue
		}
		begunAt := time.Now()
		h.waitFor(name+" has read the log", func() bool {
			h.log.ExpireReads()
			if h.advanceDuringReads {
				h.advanceClock(time.Millisecond)
			}
			if !h.inBubble && time.Since(begunAt) > maxReadTime {
				h.clock.Advance(time.Millisecond)
				time.Sleep(time.Millisecond)
			}
			var nextOffset int64
			instance.journal.View(func(st *state.State) { nextOffset = st.NextOffset() })
			return !instance.journal.SyncedAt().Before(now) && nextOffset == h.log.EndOffset(changelog.RecordStream)
		})
		instance.entry.SyncDocuments(h.ctx)
	}
}

// report makes the named guards poll their workers and report to every listed entry, except for the reports
// in blockedReports. After each report it waits until the entries have acted on it.
func (h *harness) report(names ...string) {
	h.t.Helper()
	for _, name := range names {
		reporter, found := h.guards[name]
		if !found {
			continue
		}
		if err := reporter.guard.PollWorker(h.ctx); err != nil {
			h.t.Fatal(err)
		}
		for _, instance := range h.instances {
			if instance.Role != instances.Entry || h.blockedReports[name] || h.blockedReports[name+" to "+instance.Name] {
				continue
			}
			reporter.guard.ReportTo(h.ctx, instance)
			h.waitBackground()
		}
	}
}

// waitBackground waits for the background actions of every entry and records the ends of its claims. Then it
// waits until the entries have read the log.
func (h *harness) waitBackground() {
	for _, name := range slices.Sorted(maps.Keys(h.entries)) {
		instance := h.entries[name]
		instance.entry.WaitBackground()
		instance.entry.RecordClaims(h.ctx)
	}
	h.catchUp()
}

// syncPeers makes every entry, in the order of the names, refresh its instance list and synchronise with its
// peers.
func (h *harness) syncPeers() {
	for _, name := range slices.Sorted(maps.Keys(h.entries)) {
		h.entries[name].entry.RefreshInstances(h.ctx)
		h.entries[name].entry.SyncPeers(h.ctx)
	}
}

// runMaintenance runs a maintenance round on every entry, which suspects workers that have timed out, and
// then synchronises the peers.
func (h *harness) runMaintenance() {
	for _, name := range slices.Sorted(maps.Keys(h.entries)) {
		h.entries[name].entry.RunMaintenance(h.ctx)
		h.waitBackground()
	}
	h.syncPeers()
}

// startTask submits a transcription of six hours, checks that it is placed on worker-01, and returns its ID.
func (h *harness) startTask(key string) string {
	h.t.Helper()
	body := `{"team":"councils","kind":"transcription","processors":4,"run_time":"6h","input":"seduta"}`
	id := parseTaskID(h.t, h.doRequest("entry-1", http.MethodPost, "/v1/tasks", body, api.HeaderIdempotencyKey, key).Body.Bytes())
	h.waitBackground()
	h.placePending("entry-1", "entry-2")
	h.report("worker-01", "worker-02")
	if worker := h.task("entry-1", id).Worker; worker != "worker-01" {
		h.t.Fatalf("got the task on %q, want worker-01", worker)
	}
	return id
}

// placePending runs a placement round on each of the named entries that is running.
func (h *harness) placePending(names ...string) {
	for _, name := range names {
		if instance, found := h.entries[name]; found {
			instance.entry.PlacePending(h.ctx, h.clock.Now())
			h.waitBackground()
		}
	}
}
