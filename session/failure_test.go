package session_test

import (
	"net/http"
	"testing"
	"time"

	"ambertiller.example/ambertiller/api"
	"ambertiller.example/ambertiller/state"
	"ambertiller.example/ambertiller/wire"
)

// newOffer returns the start request that entry-1 sends for a task of submitWithLostOffer, so that a test can
// send it later.
func (h *harness) newOffer(id string) *wire.StartRequest {
	h.t.Helper()
	var offer *wire.StartRequest
	h.entries["entry-1"].journal.View(func(st *state.State) {
		task := st.Task(id)
		offer = &wire.StartRequest{
			Task: task.ID(), Attempt: task.Attempt(), Incarnation: task.Incarnation(),
			OfferDeadlineNanos: task.OfferDeadline().Nanoseconds(), Kind: task.Spec().GetKind(), Team: task.Spec().GetTeam(),
			Resources: &wire.Resources{MilliCpu: 4000}, RunTimeNanos: int64(6 * time.Hour), LeaseNanos: task.Lease().Nanoseconds(),
		}
	})
	return offer
}

// sendOffer delivers a start request to a guard, as if it had been delayed in the network. It returns the
// refusal, or nil if the guard accepted.
func (h *harness) sendOffer(name string, offer *wire.StartRequest) *wire.Refusal {
	h.t.Helper()
	reply, err := h.guards[name].guard.Start(h.ctx, offer)
	if err != nil {
		h.t.Fatal(err)
	}
	return reply.GetRefusal()
}

// submitWithLostOffer submits a task and has it assigned to worker-01 while the guard of worker-01 is
// disconnected: the assignment is in the log, but the offer does not reach the guard, as when the entry stops
// between its append and its message.
func (h *harness) submitWithLostOffer() string {
	h.t.Helper()
	body := `{"team":"councils","kind":"transcription","processors":4,"run_time":"6h","input":"seduta","failure_domain":"milano-a"}`
	id := parseTaskID(h.t, h.doRequest("entry-1", http.MethodPost, "/v1/tasks", body, api.HeaderIdempotencyKey, "t-1").Body.Bytes())
	h.waitBackground()
	h.network.setDisconnected("worker-01:rpc", true)
	h.placePending("entry-1", "entry-2")
	h.network.setDisconnected("worker-01:rpc", false)
	if task := h.task("entry-1", id); task.Phase != "assigned" || task.Worker != "worker-01" {
		h.t.Fatalf("got task %s on %q, want assigned on worker-01", task.Phase, task.Worker)
	}
	return id
}

// countStarts returns how many attempts the workers have started.
func countStarts(h *harness) (count int) {
	for _, observation := range h.observations.all() {
		if !observation.Ended {
			count++
		}
	}
	return count
}

// TestDelayedOffersRefused checks that an offer that arrives late does not start anything: the task has been
// cancelled or reassigned, the offer has expired, or another incarnation of the guard has taken over.
func TestDelayedOffersRefused(t *testing.T) {
	tests := map[string]func(h *harness, id string, offer *wire.StartRequest){
		"task cancelled": func(h *harness, id string, _ *wire.StartRequest) {
			h.doRequest("entry-1", http.MethodDelete, "/v1/tasks/"+id, "")
			h.waitBackground()
			h.report("worker-01")
		},
		"offer expired on the guard's clock": func(h *harness, _ string, _ *wire.StartRequest) {
			h.advance(20 * time.Second)
		},
		"guard replaced at the same address": func(h *harness, _ string, _ *wire.StartRequest) {
			h.kill("worker-01")
			h.startGuard("worker-01", "milano-a")
		},
		"guard replaced, task reassigned": func(h *harness, _ string, _ *wire.StartRequest) {
			h.kill("worker-01")
			h.startGuard("worker-01", "milano-a")
			for range 3 {
				h.advance(5 * time.Second)
				h.report("worker-01")
				h.placePending("entry-1", "entry-2")
				h.report("worker-01")
			}
		},
	}
	for name, disturb := range tests {
		t.Run(name, func(t *testing.T) {
			h := newSession(t)
			id := h.submitWithLostOffer()
			offer := h.newOffer(id)
			disturb(h, id, offer)
			before := countStarts(h)
			if refusal := h.sendOffer("worker-01", offer); refusal == nil {
				t.Error("the guard accepted the offer")
			}
			if after := countStarts(h); after != before {
				t.Errorf("%d attempts started", after-before)
			}
		})
	}
}

// TestSurvivingEntryResendsOffer checks that when an entry crashes after appending an assignment and before
// sending the offer, another entry sends it once the guard reports that it does not run the task.
func TestSurvivingEntryResendsOffer(t *testing.T) {
	h := newSession(t)
	id := h.submitWithLostOffer()
	h.kill("entry-1")
	h.advance(time.Second)
	for range 20 {
		// The surviving entry becomes responsible for all workers once the crashed one has timed out.
		h.advance(time.Second)
		h.report("worker-01")
	}
	h.placePending("entry-2")
	h.report("worker-01")
	if task := h.task("entry-2", id); task.Phase != "running" || countStarts(h) != 1 {
		t.Errorf("got task %s on %q after %d starts, want running after one", task.Phase, task.Worker, countStarts(h))
	}
}

// TestRetryAtOtherEntryRunsOnce checks that a request is not run a second time when the response to the
// append of its claim is lost, the entry that made the claim crashes and the caller retries at another entry.
func TestRetryAtOtherEntryRunsOnce(t *testing.T) {
	h := newHarness(t)
	backend := &countingBackend{runs: map[string]int{}}
	h.backendOverride = backend
	h.startAll()
	h.log.LoseResponses(1)
	first := h.doRequest("entry-1", http.MethodPost, "/v1/services/verbale/bill", "x", api.HeaderRepeatable, "false", api.HeaderIdempotencyKey, "bill-77")
	h.kill("entry-1")
	h.catchUp()
	second := h.doRequest("entry-2", http.MethodPost, "/v1/services/verbale/bill", "x", api.HeaderRepeatable, "false", api.HeaderIdempotencyKey, "bill-77")
	if runs := backend.runCount("bill-77"); runs != 1 || first.Code != http.StatusOK || second.Code != http.StatusConflict {
		t.Errorf("got %d runs, statuses %d and %d", runs, first.Code, second.Code)
	}
}

// TestColdStartWithLogDown checks that entries that start while the log is down get the configuration from
// the guards and serve repeatable requests. They must refuse requests that are not repeatable.
func TestColdStartWithLogDown(t *testing.T) {
	h := newSession(t)
	h.advance(time.Second)
	h.log.SetDown(true)
	for _, name := range entryNames {
		h.kill(name)
	}
	for _, name := range entryNames {
		h.startEntry(name, "milano-a")
	}
	h.report("worker-01", "worker-02")
	h.report("worker-01", "worker-02")
	for _, name := range entryNames {
		if versions := h.entries[name].entry.ActiveDocuments().Versions(); len(versions) != 1 || versions[0].Version != 1 {
			t.Fatalf("%s has documents %v in force", name, versions)
		}
		if response := h.doRequest(name, http.MethodPost, "/v1/services/verbale/snippets", "x"); response.Code != http.StatusOK {
			t.Errorf("%s: status %d: %s", name, response.Code, response.Body)
		}
		refused := h.doRequest(name, http.MethodPost, "/v1/services/verbale/bill", "x", api.HeaderRepeatable, "false", api.HeaderIdempotencyKey, "bill-7")
		if refused.Code != http.StatusServiceUnavailable {
			t.Errorf("%s: status %d for a request that is not repeatable", name, refused.Code)
		}
	}
}

// TestDocumentVersionsNeverDecrease restarts an entry while the log is down and one of the two guards holds
// an older version of a document. Afterwards neither the entry nor that guard may have the older version in
// force.
func TestDocumentVersionsNeverDecrease(t *testing.T) {
	h := newSession(t)
	// The guard of worker-02 must not receive the second version.
	h.blockedReports["worker-02"] = true
	h.doRequest("entry-1", http.MethodPut, "/v1/documents/policy-placement", `{"based_on":0,"content":"1"}`)
	h.catchUp()
	h.report("worker-01", "worker-02")
	h.doRequest("entry-1", http.MethodPut, "/v1/documents/policy-placement", `{"based_on":1,"content":"2"}`)
	h.catchUp()
	h.report("worker-01")
	h.log.SetDown(true)
	h.kill("entry-1")
	h.kill("entry-2")
	h.startEntry("entry-1", "milano-a")
	h.blockedReports["worker-02"] = false
	h.report("worker-01", "worker-01", "worker-02", "worker-02")
	for _, active := range h.entries["entry-1"].entry.ActiveDocuments().Versions() {
		if active.Name == "policy-placement" && active.Version != 2 {
			t.Errorf("entry-1 has version %d of %s in force, want version 2", active.Version, active.Name)
		}
	}
	for _, active := range h.guards["worker-02"].guard.ActiveDocuments().Versions() {
		if active.Name == "policy-placement" && active.Version != 2 {
			t.Errorf("the guard of worker-02 has version %d in force, want version 2", active.Version)
		}
	}
}

// TestGuardValidatesOffers checks which offers a guard accepts, and the reason that it gives for a refusal.
// Every refusal must say that the task was not run, and an accepted offer that is sent again must be refused.
func TestGuardValidatesOffers(t *testing.T) {
	tests := map[string]struct {
		change func(offer *wire.StartRequest)
		want   wire.RefusalReason
	}{
		"accepted":                {func(*wire.StartRequest) {}, wire.RefusalReason_REFUSAL_UNSPECIFIED},
		"not enough memory":       {func(offer *wire.StartRequest) { offer.Resources.MemoryBytes = 1 << 50 }, wire.RefusalReason_REFUSAL_NO_MEMORY},
		"not enough CPU":          {func(offer *wire.StartRequest) { offer.Resources.MilliCpu = 33_000 }, wire.RefusalReason_REFUSAL_NO_PROCESSOR},
		"not enough accelerators": {func(offer *wire.StartRequest) { offer.Resources.Accelerators = 2 }, wire.RefusalReason_REFUSAL_NO_ACCELERATOR},
		"negative CPU":            {func(offer *wire.StartRequest) { offer.Resources.MilliCpu = -1 }, wire.RefusalReason_REFUSAL_BAD_REQUEST},
		"other incarnation":       {func(offer *wire.StartRequest) { offer.Incarnation = "i-0" }, wire.RefusalReason_REFUSAL_WRONG_INCARNATION},
		"expired":                 {func(offer *wire.StartRequest) { offer.OfferDeadlineNanos = 0 }, wire.RefusalReason_REFUSAL_OFFER_EXPIRED},
		"deadline too late":       {func(offer *wire.StartRequest) { offer.OfferDeadlineNanos = int64(time.Hour) }, wire.RefusalReason_REFUSAL_OFFER_EXPIRED},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.addWorker("worker-01", "milano-a")
			offer := &wire.StartRequest{
				Task: "t-1", Attempt: 1, Incarnation: h.guards["worker-01"].guard.Incarnation(), OfferDeadlineNanos: int64(5 * time.Second),
				Kind: "transcription", Resources: &wire.Resources{MilliCpu: 1000, MemoryBytes: 1}, RunTimeNanos: int64(time.Hour), LeaseNanos: int64(time.Hour),
			}
			test.change(offer)
			refusal := h.sendOffer("worker-01", offer)
			if refusal.GetReason() != test.want || (refusal != nil && !refusal.GetNotRun()) {
				t.Errorf("got refusal: %v", refusal)
			}
			if refusal == nil {
				if again := h.sendOffer("worker-01", offer); again.GetReason() != wire.RefusalReason_REFUSAL_ALREADY_RUNNING {
					t.Errorf("duplicate offer: got refusal %v", again)
				}
			}
			if used := h.guards["worker-01"].guard.Gate().Usage().Tasks; (used == 1) != (refusal == nil) {
				t.Errorf("the guard counts %d tasks", used)
			}
		})
	}
}

// TestLostOfferIsResent checks that when an offer is lost and the next report of the guard does not list the
// task, the entry offers the same attempt again.
func TestLostOfferIsResent(t *testing.T) {
	h := newSession(t)
	id := h.submitWithLostOffer()
	h.report("worker-01")
	h.report("worker-01")
	if task := h.task("entry-1", id); task.Phase != "running" || task.Attempt != 1 {
		t.Errorf("got task %s in attempt %d, want running in attempt 1", task.Phase, task.Attempt)
	}
}
