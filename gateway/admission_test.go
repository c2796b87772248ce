package gateway_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"ambertiller.example/ambertiller/gateway"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/standin/wirestore"
	"ambertiller.example/ambertiller/wire"
)

const (
	twoQueues = `{"version":7,"routes":[
		{"name":"quick","host":"q.example","path_prefix":"/quick/","service":"s","attempts":2,"extension":1.5},
		{"name":"batch","host":"q.example","path_prefix":"/q/","service":"s","attempts":2,"extension":1.5,"priority":1}]}`
	unknownBody = `{"spec":"s","steps":[{"count":1,"cpu":500,"mem_mb":256}]}`
	lastingBody = `{"spec":"s","steps":[{"count":1,"cpu":500,"mem_mb":256,"estimate_ms":900,"long_running":true}]}`
)

var (
	tooLate = gateway.FakeForecaster{End: time.Minute, Drained: 1000}
	inTime  = gateway.FakeForecaster{End: time.Second, Drained: 1000}
	unknown = gateway.FakeForecaster{End: time.Minute, Drained: 1000, Unknown: true}
)

// newAdmissionHarness returns a harness whose owner has loaded the shard of the job jobID.
func newAdmissionHarness(t *testing.T, features ...string) *harness {
	h := newHarness(t, twoQueues, features...)
	for h.send(http.MethodGet, "/q/"+jobID, "", "").Code != http.StatusGone {
		if t.Context().Err() != nil {
			t.Fatal("the shard is not loaded")
		}
	}
	return h
}

// TestOverload checks that a job which would end too late is refused and not stored, and that every other job,
// and every job if something is not known, is accepted.
func TestOverload(t *testing.T) {
	on := []string{"backlog", "admission"}
	tests := map[string]struct {
		features   []string
		forecaster gateway.FakeForecaster
		path, body string
		status     int
	}{
		"too late":             {on, tooLate, "/q/", submissionBody, http.StatusServiceUnavailable},
		"in time":              {on, inTime, "/q/", submissionBody, http.StatusOK},
		"most urgent queue":    {on, tooLate, "/quick/", submissionBody, http.StatusOK},
		"long-running":         {on, tooLate, "/q/", lastingBody, http.StatusOK},
		"no estimate":          {on, tooLate, "/q/", unknownBody, http.StatusOK},
		"forecast not known":   {on, unknown, "/q/", submissionBody, http.StatusOK},
		"drain rate not known": {on, gateway.FakeForecaster{End: time.Minute}, "/q/", submissionBody, http.StatusOK},
		"feature off":          {nil, tooLate, "/q/", submissionBody, http.StatusOK},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newAdmissionHarness(t, test.features...)
			h.gateway.SetForecaster(test.forecaster)
			got := h.send(http.MethodPost, test.path+jobID, test.body, "")
			if got.Code != test.status || h.isStored() != (test.status == http.StatusOK) {
				t.Errorf("status %d, stored %v", got.Code, h.isStored())
			}
			retryAfter, err := strconv.Atoi(got.Header().Get("Retry-After"))
			if got.Code == http.StatusServiceUnavailable && (err != nil || retryAfter < 1) {
				t.Errorf("Retry-After %q", got.Header().Get("Retry-After"))
			}
		})
	}
}

// TestUnsettledJobIsNotRefused checks that a job whose append is not settled is not refused for load, neither by
// the gateway that sent the append nor by another one.
func TestUnsettledJobIsNotRefused(t *testing.T) {
	for _, name := range []string{"same gateway", "another gateway"} {
		t.Run(name, func(t *testing.T) {
			h := newAdmissionHarness(t, "backlog", "admission")
			h.store.InjectAppendFaults(job.TopicJobs, func() wirestore.Fault { return wirestore.FaultReset })
			if got := h.send(http.MethodPost, "/q/"+jobID, submissionBody, "600"); got.Code != http.StatusGatewayTimeout {
				t.Fatalf("status %d", got.Code)
			}
			h.store.InjectAppendFaults(job.TopicJobs, func() wirestore.Fault { return wirestore.FaultNone })
			if name == "another gateway" {
				h.awaitReport(t)
				h.gateway = gateway.New(h.options)
				go h.gateway.Run(t.Context())
				for !h.gateway.IsReady() {
					time.Sleep(time.Millisecond)
				}
			}
			h.gateway.SetForecaster(tooLate)
			if got := h.send(http.MethodPost, "/q/"+jobID, submissionBody, ""); got.Code != http.StatusOK {
				t.Errorf("status %d", got.Code)
			}
		})
	}
}

// awaitReport waits until the owner knows that the job may be in the store.
func (h *harness) awaitReport(t *testing.T) {
	shard := int32(job.ShardOf(jobID, shardCount))
	request := &wire.AdmitRequest{Id: jobID, Shard: shard, CoreMs: 1, EndMs: 2, UsefulMs: 1, DrainedCoreMsPerS: 1}
	for range 1000 {
		reply, err := h.options.Owner.Admit(t.Context(), request)
		if err == nil && reply.GetAdmitted() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("the owner was not told that the job may be in the store")
}

// TestUnsettledJobIsNotReportedAsRefused checks that a caller is not told that its job did not run when the store
// refuses the append of its second call, but may still carry out that of the first.
func TestUnsettledJobIsNotReportedAsRefused(t *testing.T) {
	tests := map[string]struct {
		features []string
		want     int
	}{
		"on":  {[]string{"backlog", "admission"}, http.StatusGatewayTimeout},
		"off": {nil, http.StatusServiceUnavailable},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newAdmissionHarness(t, test.features...)
			h.store.InjectAppendFaults(job.TopicJobs, func() wirestore.Fault { return wirestore.FaultReset })
			if got := h.send(http.MethodPost, "/q/"+jobID, submissionBody, "600"); got.Code != http.StatusGatewayTimeout {
				t.Fatalf("status %d", got.Code)
			}
			h.store.InjectAppendFaults(job.TopicJobs, func() wirestore.Fault { return wirestore.FaultUnavailable })
			if got := h.send(http.MethodPost, "/q/"+jobID, submissionBody, "600"); got.Code != test.want {
				t.Errorf("status %d, want %d", got.Code, test.want)
			}
		})
	}
}

// TestUnsettledJobIsReportedEarly checks that the owner is told that a job may be in the store while its append is
// still being tried, since its caller may call another gateway meanwhile.
func TestUnsettledJobIsReportedEarly(t *testing.T) {
	h := newAdmissionHarness(t, "backlog", "admission")
	h.store.InjectAppendFaults(job.TopicJobs, func() wirestore.Fault { return wirestore.FaultReset })
	answered := make(chan int, 1)
	go func() { answered <- h.send(http.MethodPost, "/q/"+jobID, submissionBody, "20000").Code }()
	h.awaitReport(t)
	select {
	case status := <-answered:
		t.Errorf("answered with %d before the report", status)
	default:
	}
	h.store.InjectAppendFaults(job.TopicJobs, func() wirestore.Fault { return wirestore.FaultNone })
	if status := <-answered; status != http.StatusOK {
		t.Errorf("status %d", status)
	}
}
