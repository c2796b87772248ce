package session_test

import (
	"net/http"
	"testing"
	"time"

	"ambertiller.example/ambertiller/api"
	"ambertiller.example/ambertiller/state"
	"ambertiller.example/ambertiller/wire"
)

// newOffer places a task and returns the offer that the entry makes, as a
// message that can be sent again later.
func (made *harness) newOffer(id string) *wire.StartRequest {
	made.t.Helper()
	var offer *wire.StartRequest
	made.entries["entry-1"].journal.View(func(folded *state.State) {
		task := folded.Task(id)
		offer = &wire.StartRequest{
			Task: task.ID(), Attempt: task.Attempt(), Incarnation: task.Incarnation(),
			OfferDeadlineNanos: task.OfferDeadline().Nanoseconds(), Kind: task.Spec().GetKind(), Team: task.Spec().GetTeam(),
			Resources: &wire.Resources{MilliCpu: 4000}, RunTimeNanos: int64(6 * time.Hour), LeaseNanos: task.Lease().Nanoseconds(),
		}
	})
	return offer
}

// sendOffer sends an offer to a guard, as a message that was held up would come.
func (made *harness) sendOffer(name string, offer *wire.StartRequest) *wire.Refusal {
	made.t.Helper()
	reply, err := made.guards[name].guard.Start(made.ctx, offer)
	if err != nil {
		made.t.Fatal(err)
	}
	return reply.GetRefusal()
}

// submitWithLostOffer submits a task and has it assigned to worker-01 without the
// offer reaching the guard: the entry pauses between its append and its message.
func (made *harness) submitWithLostOffer() string {
	made.t.Helper()
	body := `{"team":"councils","kind":"transcription","processors":4,"run_time":"6h","input":"seduta","failure_domain":"milano-a"}`
	id := parseTaskID(made.t, made.doRequest("entry-1", http.MethodPost, "/v1/tasks", body, api.HeaderIdempotencyKey, "t-1").Body.Bytes())
	made.waitBackground()
	made.network.setDisconnected("worker-01:rpc", true)
	made.placePending("entry-1", "entry-2")
	made.network.setDisconnected("worker-01:rpc", false)
	if task := made.task("entry-1", id); task.Phase != "assigned" || task.Worker != "worker-01" {
		made.t.Fatalf("the task is %s on %q", task.Phase, task.Worker)
	}
	return id
}

func countStarts(made *harness) (count int) {
	for _, seen := range made.observations.all() {
		if !seen.Ended {
			count++
		}
	}
	return count
}

// TestDelayedOffersRefused: an offer that comes after its attempt was given up starts
// nothing, whatever happened in between.
func TestDelayedOffersRefused(t *testing.T) {
	tests := map[string]func(made *harness, id string, offer *wire.StartRequest){
		"the task was cancelled": func(made *harness, id string, _ *wire.StartRequest) {
			made.doRequest("entry-1", http.MethodDelete, "/v1/tasks/"+id, "")
			made.waitBackground()
			made.report("worker-01")
		},
		"the guard's own clock has passed the offer's end": func(made *harness, _ string, _ *wire.StartRequest) {
			made.advance(20 * time.Second)
		},
		"the guard was replaced at the same address": func(made *harness, _ string, _ *wire.StartRequest) {
			made.kill("worker-01")
			made.startGuard("worker-01", "milano-a")
		},
		"the guard was replaced, and the task assigned again and finished": func(made *harness, _ string, _ *wire.StartRequest) {
			made.kill("worker-01")
			made.startGuard("worker-01", "milano-a")
			for range 3 {
				made.advance(5 * time.Second)
				made.report("worker-01")
				made.placePending("entry-1", "entry-2")
				made.report("worker-01")
			}
		},
	}
	for name, between := range tests {
		t.Run(name, func(t *testing.T) {
			made := newSession(t)
			id := made.submitWithLostOffer()
			offer := made.newOffer(id)
			between(made, id, offer)
			before := countStarts(made)
			if refusal := made.sendOffer("worker-01", offer); refusal == nil {
				t.Error("the offer was taken up")
			}
			if after := countStarts(made); after != before {
				t.Errorf("%d attempts began", after-before)
			}
		})
	}
}

// TestSurvivingEntryResendsOffer: an entry dies between its append and its message;
// another one makes the offer when the guard reports without the task.
func TestSurvivingEntryResendsOffer(t *testing.T) {
	made := newSession(t)
	id := made.submitWithLostOffer()
	made.kill("entry-1")
	made.advance(time.Second)
	for range 20 {
		// The survivor acts for everything once the dead one is silent.
		made.advance(time.Second)
		made.report("worker-01")
	}
	made.placePending("entry-2")
	made.report("worker-01")
	if task := made.task("entry-2", id); task.Phase != "running" || countStarts(made) != 1 {
		t.Errorf("the task is %s on %q after %d begins", task.Phase, task.Worker, countStarts(made))
	}
}

// TestRetryAtOtherEntryRunsOnce: the claim's answer is lost and the entry that made
// it dies; the caller's retry at another entry is not run a second time.
func TestRetryAtOtherEntryRunsOnce(t *testing.T) {
	made := newHarness(t)
	backend := &countingBackend{runs: map[string]int{}}
	made.backendOverride = backend
	made.startAll()
	made.log.LoseResponses(1)
	first := made.doRequest("entry-1", http.MethodPost, "/v1/services/verbale/bill", "x", api.HeaderRepeatable, "false", api.HeaderIdempotencyKey, "bill-77")
	made.kill("entry-1")
	made.catchUp()
	second := made.doRequest("entry-2", http.MethodPost, "/v1/services/verbale/bill", "x", api.HeaderRepeatable, "false", api.HeaderIdempotencyKey, "bill-77")
	if runs := backend.runCount("bill-77"); runs != 1 || first.Code != http.StatusOK || second.Code != http.StatusConflict {
		t.Errorf("%d runs, answers %d and %d", runs, first.Code, second.Code)
	}
}

// TestColdStartWithLogDown: every entry is replaced while the log is down.
// The new ones learn the configuration from the guards and serve.
func TestColdStartWithLogDown(t *testing.T) {
	made := newSession(t)
	made.advance(time.Second)
	made.log.SetDown(true)
	for _, name := range entryNames {
		made.kill(name)
	}
	for _, name := range entryNames {
		made.startEntry(name, "milano-a")
	}
	made.report("worker-01", "worker-02")
	made.report("worker-01", "worker-02")
	for _, name := range entryNames {
		if versions := made.entries[name].entry.ActiveDocuments().Versions(); len(versions) != 1 || versions[0].Version != 1 {
			t.Fatalf("%s decides by %v", name, versions)
		}
		if answer := made.doRequest(name, http.MethodPost, "/v1/services/verbale/snippets", "x"); answer.Code != http.StatusOK {
			t.Errorf("%s answers %d: %s", name, answer.Code, answer.Body)
		}
		refused := made.doRequest(name, http.MethodPost, "/v1/services/verbale/bill", "x", api.HeaderRepeatable, "false", api.HeaderIdempotencyKey, "bill-7")
		if refused.Code != http.StatusServiceUnavailable {
			t.Errorf("%s answers %d to a request that must not be repeated", name, refused.Code)
		}
	}
}

// TestDocumentVersionsNeverDecrease: an entry restarts with the log down; of its two
// peers one holds an older version.
func TestDocumentVersionsNeverDecrease(t *testing.T) {
	made := newSession(t)
	// worker-02 does not hear of the second version.
	made.blockedReports["worker-02"] = true
	made.doRequest("entry-1", http.MethodPut, "/v1/documents/policy-placement", `{"based_on":0,"content":"1"}`)
	made.catchUp()
	made.report("worker-01", "worker-02")
	made.doRequest("entry-1", http.MethodPut, "/v1/documents/policy-placement", `{"based_on":1,"content":"2"}`)
	made.catchUp()
	made.report("worker-01")
	made.log.SetDown(true)
	made.kill("entry-1")
	made.kill("entry-2")
	made.startEntry("entry-1", "milano-a")
	made.blockedReports["worker-02"] = false
	made.report("worker-01", "worker-01", "worker-02", "worker-02")
	for _, each := range made.entries["entry-1"].entry.ActiveDocuments().Versions() {
		if each.Name == "policy-placement" && each.Version != 2 {
			t.Errorf("version %d of %s is in force", each.Version, each.Name)
		}
	}
	for _, each := range made.guards["worker-02"].guard.ActiveDocuments().Versions() {
		if each.Name == "policy-placement" && each.Version != 2 {
			t.Errorf("the guard that was cut off decides by version %d", each.Version)
		}
	}
}

// TestGuardValidatesOffers is the guard's own judgement of offers.
func TestGuardValidatesOffers(t *testing.T) {
	tests := map[string]struct {
		change func(offer *wire.StartRequest)
		want   wire.RefusalReason
	}{
		"taken up":            {func(*wire.StartRequest) {}, wire.RefusalReason_REFUSAL_UNSPECIFIED},
		"too much memory":     {func(offer *wire.StartRequest) { offer.Resources.MemoryBytes = 1 << 50 }, wire.RefusalReason_REFUSAL_NO_MEMORY},
		"too many processors": {func(offer *wire.StartRequest) { offer.Resources.MilliCpu = 33_000 }, wire.RefusalReason_REFUSAL_NO_PROCESSOR},
		"no accelerator":      {func(offer *wire.StartRequest) { offer.Resources.Accelerators = 2 }, wire.RefusalReason_REFUSAL_NO_ACCELERATOR},
		"negative size":       {func(offer *wire.StartRequest) { offer.Resources.MilliCpu = -1 }, wire.RefusalReason_REFUSAL_BAD_REQUEST},
		"other incarnation":   {func(offer *wire.StartRequest) { offer.Incarnation = "i-0" }, wire.RefusalReason_REFUSAL_WRONG_INCARNATION},
		"ended":               {func(offer *wire.StartRequest) { offer.OfferDeadlineNanos = 0 }, wire.RefusalReason_REFUSAL_OFFER_EXPIRED},
		"far ahead":           {func(offer *wire.StartRequest) { offer.OfferDeadlineNanos = int64(time.Hour) }, wire.RefusalReason_REFUSAL_OFFER_EXPIRED},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			made := newHarness(t)
			made.addWorker("worker-01", "milano-a")
			offer := &wire.StartRequest{
				Task: "t-1", Attempt: 1, Incarnation: made.guards["worker-01"].guard.Incarnation(), OfferDeadlineNanos: int64(5 * time.Second),
				Kind: "transcription", Resources: &wire.Resources{MilliCpu: 1000, MemoryBytes: 1}, RunTimeNanos: int64(time.Hour), LeaseNanos: int64(time.Hour),
			}
			test.change(offer)
			refusal := made.sendOffer("worker-01", offer)
			if refusal.GetReason() != test.want || (refusal != nil && !refusal.GetNotRun()) {
				t.Errorf("got %v", refusal)
			}
			if refusal == nil {
				if again := made.sendOffer("worker-01", offer); again.GetReason() != wire.RefusalReason_REFUSAL_ALREADY_RUNNING {
					t.Errorf("a second copy got %v", again)
				}
			}
			if used := made.guards["worker-01"].guard.Gate().Usage().Tasks; (used == 1) != (refusal == nil) {
				t.Errorf("%d tasks are counted", used)
			}
		})
	}
}

// TestLostOfferIsResent: the offer is lost on its way; the guard's next
// report shows that it lacks the task, and the same attempt is offered again.
func TestLostOfferIsResent(t *testing.T) {
	made := newSession(t)
	id := made.submitWithLostOffer()
	made.report("worker-01")
	made.report("worker-01")
	if task := made.task("entry-1", id); task.Phase != "running" || task.Attempt != 1 {
		t.Errorf("the task is %s in attempt %d", task.Phase, task.Attempt)
	}
}
