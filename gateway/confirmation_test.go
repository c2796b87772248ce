package gateway_test

import (
	"bytes"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/standin/wirestore"
)

const (
	knownQueue   = "/v1/" + jobID
	unknownQueue = "/v2/" + jobID
	readCall     = "/v1/log-read"
)

// TestOutdatedConfigurationDecides guards against requests that are decided by a configuration that the gateway has not
// been able to confirm within the time in which a newer one has to be in force. It runs in a bubble.
func TestOutdatedConfigurationDecides(t *testing.T) {
	tests := map[string]struct {
		// fault is that of a call to the store during the outage, which lasts for outage.
		fault  func(call string) wirestore.Fault
		outage time.Duration
		// submissions is how many jobs are submitted before the one whose status is checked.
		submissions                int
		wantUnknown, wantSubmitted int
	}{
		"no outage": {
			fault:  func(string) wirestore.Fault { return wirestore.FaultNone },
			outage: 10 * time.Second, submissions: 1, wantUnknown: http.StatusNotFound, wantSubmitted: http.StatusOK,
		},
		"reads fail for a short time": {
			fault: failReads, outage: 2 * time.Second, submissions: 1, wantUnknown: http.StatusNotFound, wantSubmitted: http.StatusOK,
		},
		"reads fail for long": {
			fault: failReads, outage: 5 * time.Second, submissions: 1, wantUnknown: http.StatusServiceUnavailable, wantSubmitted: http.StatusServiceUnavailable,
		},
		"all calls fail for long": {
			fault:  func(string) wirestore.Fault { return wirestore.FaultUnavailable },
			outage: 5 * time.Second, wantUnknown: http.StatusServiceUnavailable, wantSubmitted: http.StatusServiceUnavailable,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := wirestore.New(shardCount, time.Now)
				store.Put(platform.OperatorTopic, 0, platform.ConfigurationKey, largeConfiguration(1, 1000))
				log := &bytes.Buffer{}
				handler := newSlowLinkGateway(t, store, event.New(slog.New(slog.NewTextHandler(log, nil))))
				time.Sleep(10 * time.Second)
				store.InjectFaults(test.fault)
				time.Sleep(test.outage)
				for range test.submissions {
					sendTo(handler, http.MethodPost, knownQueue, submissionBody)
				}
				if got := sendTo(handler, http.MethodPatch, unknownQueue, ""); got != test.wantUnknown {
					t.Errorf("status %d for an unknown queue, want %d", got, test.wantUnknown)
				}
				if got := sendTo(handler, http.MethodPost, knownQueue, submissionBody); got != test.wantSubmitted {
					t.Errorf("status %d for a submission, want %d", got, test.wantSubmitted)
				}
				// Only a gateway that the store has served meanwhile is not ready: while the store can't be reached, no
				// other gateway is better.
				if want := test.submissions == 0 || test.wantSubmitted == http.StatusOK; handler.IsReady() != want {
					t.Errorf("ready: %v, want %v", handler.IsReady(), want)
				}
				store.InjectFaults(nil)
				time.Sleep(3 * time.Second)
				if got := sendTo(handler, http.MethodPatch, unknownQueue, ""); got != http.StatusNotFound {
					t.Errorf("status %d for an unknown queue after the outage", got)
				}
				if got := sendTo(handler, http.MethodPost, knownQueue, submissionBody); got != http.StatusOK {
					t.Errorf("status %d for a submission after the outage", got)
				}
				time.Sleep(time.Second) // Calls that the submissions have begun end.
				checkReadLines(t, log.String(), test.fault(readCall) != wirestore.FaultNone)
			})
		})
	}
}

// TestDroppedQueueServedWhileNewerConfigurationArrives guards against requests that are decided by a configuration of
// which the gateway knows that a newer one has been arriving for longer than it may take to be in force.
func TestDroppedQueueServedWhileNewerConfigurationArrives(t *testing.T) {
	const arrivesWithin = 6 * time.Second
	tests := map[string]struct {
		method, path, body string
		wantArrived        int // status once the new configuration is in force
	}{
		"submission":          {http.MethodPost, knownQueue, submissionBody, http.StatusNotFound},
		"cancellation":        {http.MethodDelete, knownQueue, "", http.StatusNotFound},
		"state":               {http.MethodGet, knownQueue, "", http.StatusNotFound},
		"count":               {http.MethodGet, "/v1/", "", http.StatusNotFound},
		"unknown method":      {http.MethodPatch, knownQueue, "", http.StatusNotFound},
		"queue that is added": {http.MethodPatch, unknownQueue, "", http.StatusMethodNotAllowed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := wirestore.New(shardCount, time.Now)
				store.Put(platform.OperatorTopic, 0, platform.ConfigurationKey, largeConfiguration(1, 1000))
				handler := newSlowLinkGateway(t, store, event.Discard())
				time.Sleep(10 * time.Second)
				store.Put(platform.OperatorTopic, 0, platform.ConfigurationKey, largeConfiguration(2, 5*slowLinkBytesPerSecond))
				time.Sleep(inForceBound / 2)
				if !handler.IsReady() {
					t.Error("not ready before the new configuration must be in force")
				}
				// The gateway learns of the version after the latency of its link.
				time.Sleep(inForceBound/2 + 2*slowLinkLatency)
				if got := sendTo(handler, test.method, test.path, test.body); got != http.StatusServiceUnavailable {
					t.Errorf("status %d while the new configuration is overdue, want %d", got, http.StatusServiceUnavailable)
				}
				if handler.IsReady() {
					t.Error("ready although the new configuration is overdue")
				}
				time.Sleep(arrivesWithin - inForceBound)
				if got := sendTo(handler, test.method, test.path, test.body); got != test.wantArrived {
					t.Errorf("status %d after the new configuration has arrived, want %d", got, test.wantArrived)
				}
				if !handler.IsReady() {
					t.Error("not ready after the new configuration has arrived")
				}
			})
		})
	}
}

// failReads is the fault of a store that answers all calls but reads.
func failReads(call string) wirestore.Fault {
	if call == readCall {
		return wirestore.FaultUnavailable
	}
	return wirestore.FaultNone
}

// checkReadLines checks that the begin and the end of a series of failed reads are each logged once.
func checkReadLines(t *testing.T, log string, failed bool) {
	t.Helper()
	want := 0
	if failed {
		want = 1
	}
	for _, code := range []event.Code{event.ConfigurationUnconfirmed, event.ConfigurationConfirmed} {
		if got := strings.Count(log, fmt.Sprintf("event=%d ", code)); got != want {
			t.Errorf("event %d was logged %d times, want %d", code, got, want)
		}
	}
}

func sendTo(handler http.Handler, method, path, body string) int {
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(method, "http://q.example"+path, strings.NewReader(body)))
	return recorder.Code
}

// TestSeriesOfConfigurationsRefused guards against a gateway that refuses requests although the version that has to be in
// force is, because it is still receiving a later one.
func TestSeriesOfConfigurationsRefused(t *testing.T) {
	const versions, pause, step = 6, 700 * time.Millisecond, 20 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		store := wirestore.New(shardCount, time.Now)
		store.Put(platform.OperatorTopic, 0, platform.ConfigurationKey, largeConfiguration(1, 1000))
		handler := newSlowLinkGateway(t, store, event.Discard())
		time.Sleep(10 * time.Second)
		go func() {
			for version := range versions {
				store.Put(platform.OperatorTopic, 0, platform.ConfigurationKey, largeConfiguration(2+version, slowLinkBytesPerSecond))
				time.Sleep(pause)
			}
		}()
		for range 8 * time.Second / step {
			time.Sleep(step)
			if !handler.IsReady() {
				t.Fatal("not ready although each version is in force in time")
			}
		}
	})
}
