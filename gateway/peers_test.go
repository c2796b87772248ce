package gateway

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/feature"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/owner"
	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/rpc"
	"ambertiller.example/ambertiller/standin/wirestore"
	"ambertiller.example/ambertiller/wire"
)

const (
	selfMember        = "edge-1|127.0.0.1:1"
	testMemberTimeout = time.Second
)

// completedPeer is an entry that knows the end of every job.
type completedPeer struct {
	wire.DRPCPeerUnimplementedServer
}

func (*completedPeer) JobState(context.Context, *wire.JobStateRequest) (*wire.JobStateReply, error) {
	return &wire.JobStateReply{Known: true, State: job.State_STATE_COMPLETED}, nil
}

// listen returns a listener on a free port.
func listen(t *testing.T) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// startCompletedPeer returns the member name of an entry that answers.
func startCompletedPeer(t *testing.T) string {
	listener := listen(t)
	server, err := rpc.NewServer(listener, func(mux *drpcmux.Mux) error { return wire.DRPCRegisterPeer(mux, &completedPeer{}) })
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(t.Context()) }()
	return "edge-2|" + listener.Addr().String()
}

// newSilentDirectory returns a directory whose store does not answer, so that the owner in this process owns no
// shards.
func newSilentDirectory(t *testing.T, member string) *ownerDirectory {
	stopped := make(chan struct{})
	directory := newTestDirectory(t, member, feature.Set{}, func(http.ResponseWriter, *http.Request) { <-stopped })
	t.Cleanup(func() { close(stopped) })
	return directory
}

// newTestDirectory returns a directory with an owner in this process, over a store. The member is the owner of
// shard 0 as last read from the store.
func newTestDirectory(t *testing.T, member string, features feature.Set, store http.HandlerFunc) *ownerDirectory {
	server := httptest.NewServer(store)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	client := platform.NewStore(strings.TrimPrefix(server.URL, "http://"), platform.NewTransport())
	clock := clockwork.NewRealClock()
	localOwner := owner.New(owner.Options{
		Name: "edge-1", Strong: true, Address: "127.0.0.1:1", Shards: 1, Store: client, Clock: clock, Events: event.Discard(), Features: features,
		GrantDuration: time.Second, MemberTimeout: testMemberTimeout,
		Dial: func(context.Context, string) (drpc.Conn, error) { return nil, context.Canceled },
	})
	go localOwner.Run(t.Context())
	directory := newOwnerDirectory(Options{
		Shards: 1, Store: client, Owner: localOwner, MemberName: selfMember, Pool: rpc.NewPool(nil), Clock: clock, Events: event.Discard(),
	})
	if member != "" {
		directory.owners[0] = member
	}
	return directory
}

// TestReferral checks which state a client gets if the owner in this process may have been replaced, and that it
// does not wait for the store or for an entry that is silent.
func TestReferral(t *testing.T) {
	tests := map[string]struct {
		member    func(t *testing.T) string
		refreshed bool // whether the owners were just read from the store, which does not answer any more
		want      job.State
	}{
		"the successor knows more":                       {startCompletedPeer, true, job.State_STATE_COMPLETED},
		"the successor answers but the store doesn't":    {startCompletedPeer, false, job.State_STATE_COMPLETED},
		"the successor is silent":                        {func(t *testing.T) string { return "edge-2|" + listen(t).Addr().String() }, true, job.State_STATE_RUNNING},
		"the successor can't be reached":                 {func(*testing.T) string { return "edge-2|127.0.0.1:1" }, true, job.State_STATE_RUNNING},
		"neither the store nor the successor answers":    {func(t *testing.T) string { return "edge-2|" + listen(t).Addr().String() }, false, job.State_STATE_RUNNING},
		"the owner according to the store is this entry": {func(*testing.T) string { return selfMember }, true, job.State_STATE_RUNNING},
		"no owner is known":                              {func(*testing.T) string { return "" }, true, job.State_STATE_RUNNING},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			directory := newSilentDirectory(t, test.member(t))
			if test.refreshed {
				directory.refreshedAt = directory.options.Clock.Now()
			}
			local := &wire.JobStateReply{Known: true, State: job.State_STATE_RUNNING, Unconfirmed: true}
			beganAt := time.Now()
			got := directory.referral(t.Context(), 0, &wire.JobStateRequest{}, local)
			if got.GetState() != test.want {
				t.Errorf("got %v", got)
			}
			if took := time.Since(beganAt); took >= peerTimeout {
				t.Errorf("took %v", took)
			}
		})
	}
}

// TestUnconfirmedStateIsReferred plays an owner in this process that the store stops to answer.
func TestUnconfirmedStateIsReferred(t *testing.T) {
	const id = "0123456789abcdef"
	tests := map[string]struct {
		features []string
		want     job.State
	}{
		"enabled":     {[]string{string(feature.Confirmation)}, job.State_STATE_COMPLETED},
		"not enabled": {nil, job.State_STATE_QUEUED},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			features, err := feature.Parse(test.features)
			if err != nil {
				t.Fatal(err)
			}
			var away atomic.Bool
			backend := wirestore.New(1, time.Now)
			submission, err := proto.Marshal(&job.Submission{Id: id, Queue: "r-1", Steps: []*job.StepSpec{{Count: 1, MilliCpu: 1000}}})
			if err != nil {
				t.Fatal(err)
			}
			backend.Put(job.TopicJobs, 0, job.SubmissionKey(id), submission)
			directory := newTestDirectory(t, startCompletedPeer(t), features, func(writer http.ResponseWriter, request *http.Request) {
				if away.Load() {
					writer.WriteHeader(http.StatusServiceUnavailable)
					return
				}
				backend.ServeHTTP(writer, request)
			})
			query := func() *wire.JobStateReply {
				directory.refreshedAt = directory.options.Clock.Now()
				reply, err := directory.queryOwner(t.Context(), 0, &wire.JobStateRequest{Id: id})
				if err != nil {
					t.Fatal(err)
				}
				return reply
			}
			for query().GetState() != job.State_STATE_QUEUED {
				time.Sleep(10 * time.Millisecond)
			}
			away.Store(true)
			time.Sleep(2 * testMemberTimeout)
			if got := query(); got.GetState() != test.want {
				t.Errorf("got %v", got)
			}
		})
	}
}

// TestQueryOwnerOfShardElsewhere checks the answer for a shard that the owner in this process does not own.
func TestQueryOwnerOfShardElsewhere(t *testing.T) {
	tests := map[string]struct {
		member    func(t *testing.T) string
		wantError bool
	}{
		"its owner answers":           {startCompletedPeer, false},
		"its owner can't be reached":  {func(*testing.T) string { return "edge-2|127.0.0.1:1" }, true},
		"its owner is not known":      {func(*testing.T) string { return "" }, true},
		"its owner is this entry yet": {func(*testing.T) string { return selfMember }, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			directory := newSilentDirectory(t, test.member(t))
			directory.refreshedAt = directory.options.Clock.Now()
			got, err := directory.queryOwner(t.Context(), 0, &wire.JobStateRequest{Id: "0123456789abcdef"})
			if (err != nil) != test.wantError || err == nil && got.GetState() != job.State_STATE_COMPLETED {
				t.Errorf("got %v, error %v", got, err)
			}
		})
	}
}
