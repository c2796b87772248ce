package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
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
	// selfMember is the member name of the entry in this process. The others are names of entries that answer
	// each request, accept requests without an answer, and refuse connections.
	selfMember        = "edge-1|10.0.1.1:7000"
	completedMember   = "edge-2|10.0.1.2:7000"
	silentMember      = "edge-3|10.0.1.3:7000"
	unreachableMember = "edge-4|10.0.1.4:7000"

	testMemberTimeout = time.Second
)

// completedPeer is an entry that knows the end of every job.
type completedPeer struct {
	wire.DRPCPeerUnimplementedServer
}

func (*completedPeer) JobState(context.Context, *wire.JobStateRequest) (*wire.JobStateReply, error) {
	return &wire.JobStateReply{Known: true, State: job.State_STATE_COMPLETED}, nil
}

// pipeListener accepts connections without a network: a goroutine that waits for a network does not let the
// time of a synctest bubble pass.
type pipeListener struct {
	net.Listener // not set, because a server needs no other methods
	conns        chan net.Conn
	closed       context.Context
}

// Accept implements net.Listener.
func (listener *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-listener.conns:
		return conn, nil
	case <-listener.closed.Done():
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (*pipeListener) Close() error { return nil }

// newTestPool returns a pool of connections to completedMember and silentMember. Other entries can't be reached.
func newTestPool(t *testing.T) *rpc.Pool {
	listener := &pipeListener{conns: make(chan net.Conn), closed: t.Context()}
	server, err := rpc.NewServer(listener, func(mux *drpcmux.Mux) error { return wire.DRPCRegisterPeer(mux, &completedPeer{}) })
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(t.Context()) }()
	pool := rpc.NewPoolWithDialFunc(func(_ context.Context, address string) (net.Conn, error) {
		near, far := net.Pipe()
		switch address {
		case owner.MemberAddress(completedMember):
			listener.conns <- far
		case owner.MemberAddress(silentMember):
			go func() { _, _ = io.Copy(io.Discard, far) }()
		default:
			return nil, errors.New("connection refused")
		}
		return near, nil
	})
	t.Cleanup(func() { _ = pool.Close() })
	return pool
}

// handlerTransport calls a handler without a network.
type handlerTransport struct {
	handler http.HandlerFunc
}

// RoundTrip implements http.RoundTripper.
func (transport handlerTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	recorder := httptest.NewRecorder()
	transport.handler(recorder, request)
	if err := request.Context().Err(); err != nil {
		return nil, err
	}
	return recorder.Result(), nil
}

// newSilentDirectory returns a directory whose store does not answer, so that the owner in this process owns no
// shards.
func newSilentDirectory(t *testing.T, member string) *ownerDirectory {
	return newTestDirectory(t, member, feature.Set{}, func(writer http.ResponseWriter, request *http.Request) {
		select {
		case <-request.Context().Done():
		case <-t.Context().Done(): // All goroutines of a bubble must end with its test.
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// newTestDirectory returns a directory with an owner in this process, over a store. The member is the owner of
// shard 0 as last read from the store. The directory must live in a synctest bubble.
func newTestDirectory(t *testing.T, member string, features feature.Set, store http.HandlerFunc) *ownerDirectory {
	client := platform.NewStore("store", handlerTransport{store})
	clock := clockwork.NewRealClock() // It reads the time of the bubble.
	localOwner := owner.New(owner.Options{
		Name: "edge-1", Strong: true, Address: owner.MemberAddress(selfMember), Shards: 1, Store: client, Clock: clock, Events: event.Discard(),
		Features: features, GrantDuration: time.Second, MemberTimeout: testMemberTimeout,
		Dial: func(context.Context, string) (drpc.Conn, error) { return nil, context.Canceled },
	})
	go localOwner.Run(t.Context())
	directory := newOwnerDirectory(Options{
		Shards: 1, Store: client, Owner: localOwner, MemberName: selfMember, Pool: newTestPool(t), Clock: clock, Events: event.Discard(),
	})
	if member != "" {
		directory.owners[0] = member
	}
	return directory
}

// TestReferral checks which state a client gets if the owner in this process may have been replaced, and that it
// does not wait for the store or for an entry that is silent.
func TestReferral(t *testing.T) {
	// longestWait is how long a state that is known already may be held back.
	const longestWait = 500 * time.Millisecond
	tests := map[string]struct {
		member    string
		refreshed bool // whether the owners were just read from the store, which does not answer any more
		want      job.State
	}{
		"the successor knows more":                       {completedMember, true, job.State_STATE_COMPLETED},
		"the successor answers but the store doesn't":    {completedMember, false, job.State_STATE_COMPLETED},
		"the successor is silent":                        {silentMember, true, job.State_STATE_RUNNING},
		"the successor can't be reached":                 {unreachableMember, true, job.State_STATE_RUNNING},
		"neither the store nor the successor answers":    {silentMember, false, job.State_STATE_RUNNING},
		"the owner according to the store is this entry": {selfMember, true, job.State_STATE_RUNNING},
		"no owner is known":                              {"", true, job.State_STATE_RUNNING},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				directory := newSilentDirectory(t, test.member)
				if test.refreshed {
					directory.refreshedAt = directory.options.Clock.Now()
				}
				local := &wire.JobStateReply{Known: true, State: job.State_STATE_RUNNING, Unconfirmed: true}
				beganAt := time.Now()
				got := directory.referral(t.Context(), 0, &wire.JobStateRequest{}, local)
				if got.GetState() != test.want {
					t.Errorf("got %v", got)
				}
				if took := time.Since(beganAt); took > longestWait {
					t.Errorf("took %v", took)
				}
			})
		})
	}
}

// TestUnconfirmedStateIsReferred plays an owner in this process that the store stops to answer.
func TestUnconfirmedStateIsReferred(t *testing.T) {
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
			synctest.Test(t, func(t *testing.T) { checkStateWithoutStore(t, features, test.want) })
		})
	}
}

// checkStateWithoutStore checks the state of a queued job that a client gets once the store has not confirmed
// the job's owner for a while.
func checkStateWithoutStore(t *testing.T, features feature.Set, want job.State) {
	const id = "0123456789abcdef"
	var away atomic.Bool
	backend := wirestore.New(1, time.Now)
	submission, err := proto.Marshal(&job.Submission{Id: id, Queue: "r-1", Steps: []*job.StepSpec{{Count: 1, MilliCpu: 1000}}})
	if err != nil {
		t.Fatal(err)
	}
	backend.Put(job.TopicJobs, 0, job.SubmissionKey(id), submission)
	directory := newTestDirectory(t, completedMember, features, func(writer http.ResponseWriter, request *http.Request) {
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
	for beganAt := time.Now(); query().GetState() != job.State_STATE_QUEUED; time.Sleep(10 * time.Millisecond) {
		if time.Since(beganAt) > 10*testMemberTimeout {
			t.Fatal("the owner in this process has not loaded the job")
		}
	}
	away.Store(true)
	time.Sleep(2 * testMemberTimeout)
	if got := query(); got.GetState() != want {
		t.Errorf("got %v", got)
	}
}

// TestQueryOwnerOfShardElsewhere checks the answer for a shard that the owner in this process does not own.
func TestQueryOwnerOfShardElsewhere(t *testing.T) {
	tests := map[string]struct {
		member    string
		wantError bool
	}{
		"its owner answers":           {completedMember, false},
		"its owner can't be reached":  {unreachableMember, true},
		"its owner is not known":      {"", true},
		"its owner is this entry yet": {selfMember, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				directory := newSilentDirectory(t, test.member)
				directory.refreshedAt = directory.options.Clock.Now()
				got, err := directory.queryOwner(t.Context(), 0, &wire.JobStateRequest{Id: "0123456789abcdef"})
				if (err != nil) != test.wantError || err == nil && got.GetState() != job.State_STATE_COMPLETED {
					t.Errorf("got %v, error %v", got, err)
				}
			})
		})
	}
}
