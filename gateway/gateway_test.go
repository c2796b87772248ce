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
	shardCount          = 2
	jobID               = "0123456789abcdef"
	submissionBody      = `{"spec":"s","steps":[{"count":1,"cpu":500,"mem_mb":256,"estimate_ms":900}]}`
	routesConfiguration = `{"version":7,"routes":[{"name":"r-1","host":"q.example","path_prefix":"/q/","service":"s","attempts":2,"extension":1.5}]}`
)

type harness struct {
	store   *wirestore.Store
	gateway *gateway.Gateway
}

func newHarness(t *testing.T, published string) *harness {
	behind := wirestore.New(shardCount, time.Now)
	if published != "" {
		behind.Put(platform.OperatorTopic, 0, platform.ConfigurationKey, []byte(published))
	}
	server := httptest.NewServer(behind)
	store := platform.NewStore(strings.TrimPrefix(server.URL, "http://"), platform.NewTransport())
	clock := clockwork.NewRealClock()
	scheduling := owner.New(owner.Options{
		Name: "edge-1", Strong: true, Address: "127.0.0.1:1", Shards: shardCount, GrantDuration: time.Second, MemberTimeout: time.Second, Store: store,
		Clock: clock, Events: event.Discard(),
		Dial: func(context.Context, string) (drpc.Conn, error) { return nil, context.Canceled },
	})
	front := gateway.New(gateway.Options{
		Name: "edge-1", Shards: shardCount, Store: store, Owner: scheduling, MemberName: scheduling.MemberName(),
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
		for !front.IsReady() {
			time.Sleep(time.Millisecond)
		}
	}
	return &harness{store: behind, gateway: front}
}

func (made *harness) send(method, path, text, deadline string) *httptest.ResponseRecorder {
	request := httptest.NewRequestWithContext(context.Background(), method, "http://q.example"+path, strings.NewReader(text))
	if deadline != "" {
		request.Header.Set(platform.DeadlineHeader, deadline)
	}
	answer := httptest.NewRecorder()
	made.gateway.ServeHTTP(answer, request)
	return answer
}

func (made *harness) isStored() bool {
	_, found := made.store.Newest(job.TopicJobs, job.ShardOf(jobID, shardCount), job.SubmissionKey(jobID))
	return found
}

func TestResponseStatus(t *testing.T) {
	made := newHarness(t, routesConfiguration)
	tests := map[string]struct {
		method, path, body string
		status             int
	}{
		"no such queue":  {http.MethodPost, "/other/" + jobID, submissionBody, http.StatusNotFound},
		"no ID":          {http.MethodPost, "/q/short", submissionBody, http.StatusNotFound},
		"not a job":      {http.MethodPost, "/q/" + jobID, "{", http.StatusBadRequest},
		"an unknown job": {http.MethodGet, "/q/ffffffffffffffff", "", http.StatusGone},
		"an empty queue": {http.MethodGet, "/q/", "", http.StatusOK},
		"another method": {http.MethodPatch, "/q/" + jobID, "", http.StatusMethodNotAllowed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := made.send(test.method, test.path, test.body, ""); got.Code != test.status {
				t.Errorf("status %d, body %s", got.Code, got.Body)
			}
		})
	}
}

// TestPendingCountAfterDeadline: a client whose time is over is not told that nothing
// waits.
func TestPendingCountAfterDeadline(t *testing.T) {
	made := newHarness(t, routesConfiguration)
	if got := made.send(http.MethodGet, "/q/", "", "1"); got.Code != http.StatusServiceUnavailable {
		t.Errorf("status %d, body %s", got.Code, got.Body)
	}
}

func TestRefusesWithoutConfiguration(t *testing.T) {
	made := newHarness(t, "")
	got := made.send(http.MethodPost, "/q/"+jobID, submissionBody, "")
	if got.Code != http.StatusServiceUnavailable || got.Header().Get("Retry-After") == "" {
		t.Errorf("status %d, headers %v", got.Code, got.Header())
	}
}

func TestJobLifecycle(t *testing.T) {
	made := newHarness(t, routesConfiguration)
	if got := made.send(http.MethodPost, "/q/"+jobID, submissionBody, ""); got.Code != http.StatusOK || !made.isStored() {
		t.Fatalf("status %d, kept %v", got.Code, made.isStored())
	}
	if got := made.send(http.MethodPost, "/q/"+jobID, submissionBody, ""); got.Code != http.StatusOK {
		t.Fatalf("the same again: status %d", got.Code)
	}
	if got := made.send(http.MethodGet, "/q/"+jobID, "", ""); got.Code != http.StatusOK || !strings.Contains(got.Body.String(), "queued") {
		t.Errorf("status %d, body %s", got.Code, got.Body)
	}
	if got := made.send(http.MethodGet, "/q/", "", ""); !strings.Contains(got.Body.String(), `"pending":1`) {
		t.Errorf("pending: %s", got.Body)
	}
	if got := made.send(http.MethodDelete, "/q/"+jobID, "", ""); got.Code != http.StatusOK {
		t.Errorf("cancel: status %d", got.Code)
	}
	for {
		got := made.send(http.MethodGet, "/q/"+jobID, "", "")
		if strings.Contains(got.Body.String(), "cancelled") {
			return
		}
		if t.Context().Err() != nil {
			t.Fatalf("shown as %s", got.Body)
		}
	}
}

// TestRefusedJobIsNotStored: a job is refused only when the store has proved that
// it is not there; after any doubt the answer is neither yes nor no.
func TestRefusedJobIsNotStored(t *testing.T) {
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
			made := newHarness(t, routesConfiguration)
			count := 0
			made.store.FailTopic(job.TopicJobs, func() wirestore.Fault {
				fault := test.faults[min(count, len(test.faults)-1)]
				count++
				return fault
			})
			got := made.send(http.MethodPost, "/q/"+jobID, submissionBody, "600")
			if got.Code != test.status || made.isStored() != test.kept {
				t.Errorf("status %d, kept %v", got.Code, made.isStored())
			}
		})
	}
}
