package gateway_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"storj.io/drpc"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/gateway"
	"ambertiller.example/ambertiller/owner"
	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/rpc"
	"ambertiller.example/ambertiller/standin/slowlink"
	"ambertiller.example/ambertiller/standin/wirestore"
)

// silentCalls passes calls on to the store, but those whose path is in silent get no answer.
type silentCalls struct {
	store  http.RoundTripper
	silent sync.Map // paths
}

// RoundTrip implements http.RoundTripper.
func (calls *silentCalls) RoundTrip(request *http.Request) (*http.Response, error) {
	if _, found := calls.silent.Load(request.URL.Path); found {
		<-request.Context().Done()
		return nil, request.Context().Err()
	}
	return calls.store.RoundTrip(request)
}

// stoppableGateway is a lone gateway in a bubble, with the owner in its process.
type stoppableGateway struct {
	*gateway.Gateway
	owner *owner.Owner
	calls *silentCalls
}

// newStoppableGateway starts a lone gateway in a bubble, and returns it once it is ready.
func newStoppableGateway(t *testing.T) *stoppableGateway {
	t.Helper()
	clock := clockwork.NewRealClock() // It reads the time of the bubble.
	storeServer := wirestore.New(shardCount, clock.Now)
	storeServer.Put(platform.OperatorTopic, 0, platform.ConfigurationKey, []byte(routesConfiguration))
	calls := &silentCalls{store: slowlink.New(10<<20).Transport(storeServer, time.Millisecond)}
	store := platform.NewStore("store", calls)
	shardOwner := owner.New(owner.Options{
		Name: "edge-1", Strong: true, Address: "127.0.0.1:1", Shards: shardCount, GrantDuration: time.Second, MemberTimeout: 1500 * time.Millisecond, Store: store,
		Clock: clock, Events: event.Discard(),
		Dial: func(context.Context, string) (drpc.Conn, error) { return nil, context.Canceled },
	})
	handler := gateway.New(gateway.Options{
		Name: "edge-1", Shards: shardCount, Store: store, Owner: shardOwner, MemberName: shardOwner.MemberName(),
		Pool: rpc.NewPool(nil), Clock: clock, Events: event.Discard(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go shardOwner.Run(ctx)
	go handler.Run(ctx)
	tested := &stoppableGateway{Gateway: handler, owner: shardOwner, calls: calls}
	for !handler.IsReady() || tested.send(http.MethodGet, "/q/"+jobID, "").Code != http.StatusGone {
		time.Sleep(10 * time.Millisecond)
	}
	return tested
}

// send sends a request whose client waits longer than any planned stop takes.
func (tested *stoppableGateway) send(method, path, body string) *httptest.ResponseRecorder {
	request := httptest.NewRequestWithContext(context.Background(), method, "http://q.example"+path, strings.NewReader(body))
	request.Header.Set(platform.DeadlineHeader, "60000")
	recorder := httptest.NewRecorder()
	tested.ServeHTTP(recorder, request)
	return recorder
}

// TestRequestsEndBeforeStop checks that requests that wait are answered before a planned stop is broken off, whenever they
// have come. It guards against connections that are cut without an answer, since a wait outlasts the process.
func TestRequestsEndBeforeStop(t *testing.T) {
	const stopTime = 5100 * time.Millisecond
	tests := map[string]struct {
		method, path, body string
		silent             []string
		sentAfter          time.Duration
		status             int
	}{
		"state, sent before the stop":      {http.MethodGet, "/q/" + jobID, "", []string{"/v1/log-owners"}, -time.Second, http.StatusServiceUnavailable},
		"state, sent late":                 {http.MethodGet, "/q/" + jobID, "", []string{"/v1/log-owners"}, 2290 * time.Millisecond, http.StatusServiceUnavailable},
		"pending count, sent late":         {http.MethodGet, "/q/", "", []string{"/v1/log-owners"}, 2290 * time.Millisecond, http.StatusServiceUnavailable},
		"submission, store doesn't answer": {http.MethodPost, "/q/" + jobID, submissionBody, []string{"/v1/log-append"}, 2290 * time.Millisecond, http.StatusGatewayTimeout},
		"cancel, store doesn't answer":     {http.MethodDelete, "/q/" + jobID, "", []string{"/v1/log-append"}, 2290 * time.Millisecond, http.StatusGatewayTimeout},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tested := newStoppableGateway(t)
				if err := tested.owner.Leave(t.Context()); err != nil {
					t.Fatal(err)
				}
				for _, path := range test.silent {
					tested.calls.silent.Store(path, true)
				}
				stopsAt := time.Now().Add(max(-test.sentAfter, 0))
				go func() {
					time.Sleep(time.Until(stopsAt))
					tested.BeginShutdown(stopsAt.Add(stopTime))
				}()
				time.Sleep(max(test.sentAfter, 0))
				got := tested.send(test.method, test.path, test.body)
				if took := time.Since(stopsAt); took >= stopTime || got.Code != test.status {
					t.Errorf("answered %d, %v after the stop began; it is broken off after %v", got.Code, took, stopTime)
				}
			})
		})
	}
}

// TestLoneGatewayRefusesAfterLeaving checks that a gateway that has released its shards answers at once that no owner is
// there if the store knows no other, with the time after which the next process can answer.
func TestLoneGatewayRefusesAfterLeaving(t *testing.T) {
	for _, path := range []string{"/q/" + jobID, "/q/"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tested := newStoppableGateway(t)
				tested.BeginShutdown(time.Now().Add(5100 * time.Millisecond))
				if err := tested.owner.Leave(t.Context()); err != nil {
					t.Fatal(err)
				}
				tested.RecordLeave(time.Now().Add(2300 * time.Millisecond))
				beganAt := time.Now()
				got := tested.send(http.MethodGet, path, "")
				if took := time.Since(beganAt); got.Code != http.StatusServiceUnavailable || took > 500*time.Millisecond {
					t.Errorf("answered %d after %v", got.Code, took)
				}
				if retryAfter, err := strconv.Atoi(got.Header().Get("Retry-After")); err != nil || retryAfter < 3 || retryAfter > 4 {
					t.Errorf("Retry-After %q", got.Header().Get("Retry-After"))
				}
			})
		})
	}
}
