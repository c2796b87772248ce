package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/gateway"
	"ambertiller.example/ambertiller/owner"
	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/rpc"
	"ambertiller.example/ambertiller/standin/slowlink"
	"ambertiller.example/ambertiller/standin/wirestore"
)

const (
	// slowLinkBytesPerSecond is the payload that a link of 10 Mbit/s carries.
	slowLinkBytesPerSecond = 1_040_000
	slowLinkLatency        = 5 * time.Millisecond
	// largeConfigurationBytes takes 0.78 s over the slow link.
	largeConfigurationBytes = 815_000
	// inForceBound is the time within which a configuration has to be in force everywhere.
	inForceBound = 3 * time.Second
)

// largeConfiguration returns a configuration of about the given size. Its queues include one that is named after
// the version.
func largeConfiguration(version, size int) []byte {
	name := fmt.Sprintf("v%d", version)
	return wirestore.Configuration(version, []wirestore.Route{wirestore.NewRoute(name, "q.example", "/"+name+"/", "s")}, size)
}

// TestLargeConfigurationNeverInForceOverSlowLink guards against reads of the store that end before a large
// configuration has arrived, and begin again from its start. It runs in a bubble.
func TestLargeConfigurationNeverInForceOverSlowLink(t *testing.T) {
	tests := map[string]struct {
		// phase is when the first version is written. The gateway waits for records and repeats each read after
		// less than a second, so that the phase decides how far into a read the version is written.
		phase time.Duration
		// versions are written one after another, with a pause in between.
		versions int
		pause    time.Duration
		size     int
	}{
		"written at once":                       {phase: 0, versions: 1, size: largeConfigurationBytes},
		"written 200 ms later":                  {phase: 200 * time.Millisecond, versions: 1, size: largeConfigurationBytes},
		"written 400 ms later":                  {phase: 400 * time.Millisecond, versions: 1, size: largeConfigurationBytes},
		"written 600 ms later":                  {phase: 600 * time.Millisecond, versions: 1, size: largeConfigurationBytes},
		"takes longer than a wait":              {phase: 100 * time.Millisecond, versions: 1, size: 2 * largeConfigurationBytes},
		"several at once":                       {phase: 100 * time.Millisecond, versions: 6, size: largeConfigurationBytes},
		"one after another faster than they go": {phase: 100 * time.Millisecond, versions: 12, pause: 300 * time.Millisecond, size: largeConfigurationBytes},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := wirestore.New(shardCount, time.Now)
				store.Put(platform.OperatorTopic, 0, platform.ConfigurationKey, largeConfiguration(1, 1000))
				handler := newSlowLinkGateway(t, store, event.Discard())
				time.Sleep(10 * time.Second)
				synctest.Wait()
				if !isInForce(handler, 1) {
					t.Fatal("the first version is not in force")
				}
				time.Sleep(test.phase)
				version := 1
				for range test.versions {
					time.Sleep(test.pause)
					version++
					store.Put(platform.OperatorTopic, 0, platform.ConfigurationKey, largeConfiguration(version, test.size))
				}
				time.Sleep(inForceBound)
				synctest.Wait()
				if !isInForce(handler, version) {
					t.Errorf("version %d is not in force %v after it was written", version, inForceBound)
				}
			})
		})
	}
}

// newSlowLinkGateway starts a gateway in a bubble that reaches the store over a slow link.
func newSlowLinkGateway(t *testing.T, store *wirestore.Store, events *event.Logger) *gateway.Gateway {
	t.Helper()
	clock := clockwork.NewRealClock() // It reads the time of the bubble.
	client := platform.NewStore("store", slowlink.New(slowLinkBytesPerSecond).Transport(store, slowLinkLatency))
	shardOwner := owner.New(owner.Options{
		Name: "edge-1", Address: "127.0.0.1:1", Shards: shardCount, GrantDuration: time.Second, MemberTimeout: time.Second, Store: client,
		Clock: clock, Events: event.Discard(),
	})
	handler := gateway.New(gateway.Options{
		Name: "edge-1", Shards: shardCount, Store: client, Owner: shardOwner, MemberName: shardOwner.MemberName(),
		Pool: rpc.NewPool(nil), Clock: clock, Events: events,
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go handler.Run(ctx)
	return handler
}

// isInForce reports whether the gateway finds the queue that is named after a version.
func isInForce(handler *gateway.Gateway, version int) bool {
	return sendTo(handler, http.MethodPatch, fmt.Sprintf("/v%d/%s", version, jobID), "") == http.StatusMethodNotAllowed
}
