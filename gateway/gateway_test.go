package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"storj.io/drpc"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/feature"
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

// harness is a gateway with an owner of shards and a store in this process.
type harness struct {
	store   *wirestore.Store
	gateway *gateway.Gateway
	options gateway.Options
}

// newHarness returns a harness whose store holds a configuration, or none if configuration is empty.
func newHarness(t *testing.T, configuration string, features ...string) *harness {
	enabled, err := feature.Parse(features)
	if err != nil {
		t.Fatal(err)
	}
	storeServer := wirestore.New(shardCount, time.Now)
	if configuration != "" {
		storeServer.Put(platform.OperatorTopic, 0, platform.ConfigurationKey, []byte(configuration))
	}
	server := httptest.NewServer(storeServer)
	store := platform.NewStore(strings.TrimPrefix(server.URL, "http://"), platform.NewTransport())
	clock := clockwork.NewRealClock()
	shardOwner := owner.New(owner.Options{
		Name: "edge-1", Strong: true, Address: "127.0.0.1:1", Shards: shardCount, GrantDuration: time.Second, MemberTimeout: time.Second, Store: store,
		Clock: clock, Events: event.Discard(), Features: enabled,
		Dial: func(context.Context, string) (drpc.Conn, error) { return nil, context.Canceled },
	})
	options := gateway.Options{
		Name: "edge-1", Shards: shardCount, Store: store, Owner: shardOwner, MemberName: shardOwner.MemberName(),
		Pool: rpc.NewPool(nil), Clock: clock, Events: event.Discard(), Features: enabled,
		MaxRecordBytes: 256 << 10,
	}
	handler := gateway.New(options)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		server.CloseClientConnections()
		server.Close()
	})
	go shardOwner.Run(ctx)
	go handler.Run(ctx)
	if configuration != "" {
		for !handler.IsReady() {
			time.Sleep(time.Millisecond)
		}
	}
	return &harness{store: storeServer, gateway: handler, options: options}
}

func (h *harness) send(method, path, body, deadline string) *httptest.ResponseRecorder {
	request := httptest.NewRequestWithContext(context.Background(), method, "http://q.example"+path, strings.NewReader(body))
	if deadline != "" {
		request.Header.Set(platform.DeadlineHeader, deadline)
	}
	recorder := httptest.NewRecorder()
	h.gateway.ServeHTTP(recorder, request)
	return recorder
}

func (h *harness) isStored() bool {
	_, found := h.store.Newest(job.TopicJobs, job.ShardOf(jobID, shardCount), job.SubmissionKey(jobID))
	return found
}

func TestResponseStatus(t *testing.T) {
	h := newHarness(t, routesConfiguration)
	tests := map[string]struct {
		method, path, body string
		status             int
	}{
		"unknown queue":                   {http.MethodPost, "/other/" + jobID, submissionBody, http.StatusNotFound},
		"invalid ID":                      {http.MethodPost, "/q/short", submissionBody, http.StatusNotFound},
		"invalid submission":              {http.MethodPost, "/q/" + jobID, "{", http.StatusBadRequest},
		"unknown job":                     {http.MethodGet, "/q/ffffffffffffffff", "", http.StatusGone},
		"pending count of an empty queue": {http.MethodGet, "/q/", "", http.StatusOK},
		"unsupported method":              {http.MethodPatch, "/q/" + jobID, "", http.StatusMethodNotAllowed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := h.send(test.method, test.path, test.body, ""); got.Code != test.status {
				t.Errorf("status %d, body %s", got.Code, got.Body)
			}
		})
	}
}

// TestPendingCountAfterDeadline checks that a request whose deadline has passed gets an error, not a count of
// zero.
func TestPendingCountAfterDeadline(t *testing.T) {
	h := newHarness(t, routesConfiguration)
	if got := h.send(http.MethodGet, "/q/", "", "1"); got.Code != http.StatusServiceUnavailable {
		t.Errorf("status %d, body %s", got.Code, got.Body)
	}
}

func TestRefusesWithoutConfiguration(t *testing.T) {
	h := newHarness(t, "")
	got := h.send(http.MethodPost, "/q/"+jobID, submissionBody, "")
	if got.Code != http.StatusServiceUnavailable || got.Header().Get("Retry-After") == "" {
		t.Errorf("status %d, headers %v", got.Code, got.Header())
	}
}

func TestJobLifecycle(t *testing.T) {
	h := newHarness(t, routesConfiguration)
	if got := h.send(http.MethodPost, "/q/"+jobID, submissionBody, ""); got.Code != http.StatusOK || !h.isStored() {
		t.Fatalf("status %d, stored %v", got.Code, h.isStored())
	}
	if got := h.send(http.MethodPost, "/q/"+jobID, submissionBody, ""); got.Code != http.StatusOK {
		t.Fatalf("second submission of the same job: status %d", got.Code)
	}
	if got := h.send(http.MethodGet, "/q/"+jobID, "", ""); got.Code != http.StatusOK || !strings.Contains(got.Body.String(), "queued") {
		t.Errorf("status %d, body %s", got.Code, got.Body)
	}
	if got := h.send(http.MethodGet, "/q/", "", ""); !strings.Contains(got.Body.String(), `"pending":1`) {
		t.Errorf("pending count: %s", got.Body)
	}
	if got := h.send(http.MethodDelete, "/q/"+jobID, "", ""); got.Code != http.StatusOK {
		t.Errorf("cancel: status %d", got.Code)
	}
	for {
		got := h.send(http.MethodGet, "/q/"+jobID, "", "")
		if strings.Contains(got.Body.String(), "cancelled") {
			return
		}
		if t.Context().Err() != nil {
			t.Fatalf("the job is not cancelled: %s", got.Body)
		}
	}
}

// TestRefusedJobIsNotStored checks that a job is refused only if it is certainly not in the store. If an
// append may have taken effect and none succeeds, the response is 504 Gateway Timeout.
func TestRefusedJobIsNotStored(t *testing.T) {
	tests := map[string]struct {
		faults []wirestore.Fault // one per append to the topic of jobs; the last one repeats
		status int
		stored bool
	}{
		"refused":                   {[]wirestore.Fault{wirestore.FaultUnavailable}, http.StatusServiceUnavailable, false},
		"answer lost, then success": {[]wirestore.Fault{wirestore.FaultLostResponse, wirestore.FaultNone}, http.StatusOK, true},
		"answer lost, then refused": {[]wirestore.Fault{wirestore.FaultLostResponse, wirestore.FaultUnavailable}, http.StatusGatewayTimeout, true},
		"always reset":              {[]wirestore.Fault{wirestore.FaultReset}, http.StatusGatewayTimeout, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, routesConfiguration)
			count := 0
			h.store.InjectAppendFaults(job.TopicJobs, func() wirestore.Fault {
				fault := test.faults[min(count, len(test.faults)-1)]
				count++
				return fault
			})
			got := h.send(http.MethodPost, "/q/"+jobID, submissionBody, "600")
			if got.Code != test.status || h.isStored() != test.stored {
				t.Errorf("status %d, stored %v", got.Code, h.isStored())
			}
		})
	}
}

// TestJobLargerThanARecordIsRefused guards against a job that is accepted although the store can never hold its progress.
func TestJobLargerThanARecordIsRefused(t *testing.T) {
	tests := map[string]struct {
		tasks    int
		features []string
		status   int
	}{
		"fits":                    {tasks: 20_000, status: http.StatusOK},
		"never fits":              {tasks: 30_000, status: http.StatusBadRequest},
		"progress can be divided": {tasks: 30_000, features: []string{"divided-progress"}, status: http.StatusOK},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, routesConfiguration, test.features...)
			body := strings.Replace(submissionBody, `"count":1`, fmt.Sprintf(`"count":%d`, test.tasks), 1)
			if got := h.send(http.MethodPost, "/q/"+jobID, body, ""); got.Code != test.status {
				t.Errorf("status %d, body %s", got.Code, got.Body)
			}
			if accepted := test.status == http.StatusOK; h.isStored() != accepted {
				t.Errorf("the job is stored: %v, want %v", h.isStored(), accepted)
			}
		})
	}
}
