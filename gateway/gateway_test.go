package gateway_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"storj.io/drpc"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/gateway"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/owner"
	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/rpc"
	"ambertiller.example/ambertiller/standin/wirestore"
)

const (
	shards = 2
	jobID  = "0123456789abcdef"
	body   = `{"spec":"s","steps":[{"count":1,"cpu":500,"mem_mb":256,"estimate_ms":900}]}`
	config = `{"version":7,"routes":[{"name":"r-1","host":"q.example","path_prefix":"/q/","service":"s","attempts":2,"extension":1.5}]}`
)

type bench struct {
	store *wirestore.Store
	front *gateway.Gateway
}

func newBench(t *testing.T, published string) *bench {
	behind := wirestore.New(shards, time.Now)
	if published != "" {
		behind.Put(platform.OperatorTopic, 0, platform.ConfigurationKey, []byte(published))
	}
	server := httptest.NewServer(behind)
	store := platform.NewStore(strings.TrimPrefix(server.URL, "http://"), platform.NewTransport())
	clock := clockwork.NewRealClock()
	scheduling := owner.New(owner.Options{
		Name: "edge-1", Strong: true, Address: "127.0.0.1:1", Shards: shards, GrantDuration: time.Second, MemberTimeout: time.Second, Store: store,
		Clock: clock, Events: event.Discard(),
		Dial: func(context.Context, string) (drpc.Conn, error) { return nil, context.Canceled },
	})
	front := gateway.New(gateway.Options{
		Name: "edge-1", Shards: shards, Store: store, Owner: scheduling, Self: scheduling.MemberName(),
		Pool: rpc.NewPool(nil), Clock: clock, Events: event.Discard(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		server.CloseClientConnections()
		server.Close()
	})
	go scheduling.Run(ctx)
	go front.Run(ctx)
	if published != "" {
		for !front.Ready() {
			time.Sleep(time.Millisecond)
		}
	}
	return &bench{store: behind, front: front}
}

func (made *bench) ask(method, path, text, deadline string) *httptest.ResponseRecorder {
	request := httptest.NewRequestWithContext(context.Background(), method, "http://q.example"+path, strings.NewReader(text))
	if deadline != "" {
		request.Header.Set(platform.DeadlineHeader, deadline)
	}
	answer := httptest.NewRecorder()
	made.front.ServeHTTP(answer, request)
	return answer
}

func (made *bench) kept() bool {
	_, found := made.store.Newest(job.TopicJobs, job.ShardOf(jobID, shards), job.SubmissionKey(jobID))
	return found
}

func TestAnswers(t *testing.T) {
	made := newBench(t, config)
	tests := map[string]struct {
		method, path, body string
		status             int
	}{
		"no such queue":  {http.MethodPost, "/other/" + jobID, body, http.StatusNotFound},
		"no ID":          {http.MethodPost, "/q/short", body, http.StatusNotFound},
		"not a job":      {http.MethodPost, "/q/" + jobID, "{", http.StatusBadRequest},
		"an unknown job": {http.MethodGet, "/q/ffffffffffffffff", "", http.StatusGone},
		"an empty queue": {http.MethodGet, "/q/", "", http.StatusOK},
		"another method": {http.MethodPatch, "/q/" + jobID, "", http.StatusMethodNotAllowed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := made.ask(test.method, test.path, test.body, ""); got.Code != test.status {
				t.Errorf("status %d, body %s", got.Code, got.Body)
			}
		})
	}
}

// TestNoTimeLeftIsNoCount: a client whose time is over is not told that nothing
// waits.
func TestNoTimeLeftIsNoCount(t *testing.T) {
	made := newBench(t, config)
	if got := made.ask(http.MethodGet, "/q/", "", "1"); got.Code != http.StatusServiceUnavailable {
		t.Errorf("status %d, body %s", got.Code, got.Body)
	}
}

func TestNoConfigurationRefuses(t *testing.T) {
	made := newBench(t, "")
	got := made.ask(http.MethodPost, "/q/"+jobID, body, "")
	if got.Code != http.StatusServiceUnavailable || got.Header().Get("Retry-After") == "" {
		t.Errorf("status %d, headers %v", got.Code, got.Header())
	}
}

func TestJobFromHandingInToCancelling(t *testing.T) {
	made := newBench(t, config)
	if got := made.ask(http.MethodPost, "/q/"+jobID, body, ""); got.Code != http.StatusOK || !made.kept() {
		t.Fatalf("status %d, kept %v", got.Code, made.kept())
	}
	if got := made.ask(http.MethodPost, "/q/"+jobID, body, ""); got.Code != http.StatusOK {
		t.Fatalf("the same again: status %d", got.Code)
	}
	if got := made.ask(http.MethodGet, "/q/"+jobID, "", ""); got.Code != http.StatusOK || !strings.Contains(got.Body.String(), "queued") {
		t.Errorf("status %d, body %s", got.Code, got.Body)
	}
	if got := made.ask(http.MethodGet, "/q/", "", ""); !strings.Contains(got.Body.String(), `"pending":1`) {
		t.Errorf("pending: %s", got.Body)
	}
	if got := made.ask(http.MethodDelete, "/q/"+jobID, "", ""); got.Code != http.StatusOK {
		t.Errorf("cancel: status %d", got.Code)
	}
	for {
		got := made.ask(http.MethodGet, "/q/"+jobID, "", "")
		if strings.Contains(got.Body.String(), "cancelled") {
			return
		}
		if t.Context().Err() != nil {
			t.Fatalf("shown as %s", got.Body)
		}
	}
}

// TestRefusedMeansNotTaken: a job is refused only when the store has proved that
// it is not there; after any doubt the answer is neither yes nor no.
func TestRefusedMeansNotTaken(t *testing.T) {
	tests := map[string]struct {
		faults []wirestore.Fault // of the appends of jobs, the last one from there on
		status int
		kept   bool
	}{
		"turned away":                       {[]wirestore.Fault{wirestore.FaultBusy}, http.StatusServiceUnavailable, false},
		"done without an answer, then fine": {[]wirestore.Fault{wirestore.FaultLost, wirestore.FaultNone}, http.StatusOK, true},
		"done without an answer, then away": {[]wirestore.Fault{wirestore.FaultLost, wirestore.FaultBusy}, http.StatusGatewayTimeout, true},
		"broken off for good":               {[]wirestore.Fault{wirestore.FaultReset}, http.StatusGatewayTimeout, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			made := newBench(t, config)
			count := 0
			made.store.FailTopic(job.TopicJobs, func() wirestore.Fault {
				fault := test.faults[min(count, len(test.faults)-1)]
				count++
				return fault
			})
			got := made.ask(http.MethodPost, "/q/"+jobID, body, "600")
			if got.Code != test.status || made.kept() != test.kept {
				t.Errorf("status %d, kept %v", got.Code, made.kept())
			}
		})
	}
}
