// Package wirestore is a small stand-in for the users' store that speaks its
// protocol over HTTP: keyed topics, fenced appends, reads that wait, and groups
// that deal partitions. It is for tests; it keeps everything in memory.
//
// # Usage
//
//	store := wirestore.New(8, time.Now)
//	server := httptest.NewServer(store)
//	store.Fail(func(call string) wirestore.Fault { return wirestore.FaultNone })
package wirestore

import (
	"io"
	"net/http"
	"sync"
	"time"
)

// Fault is what befalls one call.
type Fault int

// The faults of a call.
const (
	FaultNone         Fault = iota
	FaultUnavailable        // answered 503, nothing done
	FaultLostResponse       // done, and the connection broken off without an answer
	FaultReset              // not done, and the connection broken off
	FaultNoResponse         // not done and never answered, until the caller gives up
)

type topicCall struct{ call, topic string }

// Store is the stand-in. It is an http.Handler.
type Store struct {
	partitionsPerTopic int
	now                func() time.Time
	mu                 sync.Mutex
	partitions         map[partitionKey]*partition
	appended           chan struct{} // closed and replaced at each append
	groups             map[string]*group
	fault              func(call string) Fault
	calls              map[string]int
	// topicCalls counts calls by their path and topic.
	topicCalls  map[topicCall]int
	appendQueue appendQueue
	// topicFaults decide what befalls appends, by topic.
	topicFaults map[string]func() Fault
	// rewrites change the values that are appended, by topic.
	rewrites map[string]func(value []byte) []byte
}

// New returns an empty store whose topics have so many partitions.
func New(parts int, now func() time.Time) *Store {
	return &Store{
		partitionsPerTopic: parts, now: now, partitions: map[partitionKey]*partition{}, appended: make(chan struct{}),
		groups: map[string]*group{}, calls: map[string]int{}, topicCalls: map[topicCall]int{}, topicFaults: map[string]func() Fault{},
		rewrites: map[string]func(value []byte) []byte{},
	}
}

// InjectFaults has fault decide what befalls each call from here on.
func (store *Store) InjectFaults(fault func(call string) Fault) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.fault = fault
}

// InjectAppendFaults has fault decide what befalls each append to a topic from here on.
func (store *Store) InjectAppendFaults(topic string, fault func() Fault) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.topicFaults[topic] = fault
}

// RewriteAppends has change applied to each value that is appended to a topic from here on.
func (store *Store) RewriteAppends(topic string, change func(value []byte) []byte) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.rewrites[topic] = change
}

// Calls returns how often a call was made.
func (store *Store) Calls(call string) int {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.calls[call]
}

// TopicCalls returns how often a call was made for a topic.
func (store *Store) TopicCalls(call, topic string) int {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.topicCalls[topicCall{call, topic}]
}

// Compact removes all records but the newest of each key, as far as reads
// by offset go.
func (store *Store) Compact() {
	store.mu.Lock()
	defer store.mu.Unlock()
	for _, kept := range store.partitions {
		kept.firstOffset = kept.endOffset
	}
}

// Newest returns the newest value of a key.
func (store *Store) Newest(topic string, part int, key string) ([]byte, bool) {
	store.mu.Lock()
	defer store.mu.Unlock()
	kept := store.getPartition(topic, part)
	for index := len(kept.entries) - 1; index >= 0; index-- {
		if kept.entries[index].key == key {
			return kept.entries[index].value, len(kept.entries[index].value) > 0
		}
	}
	return nil, false
}

// Put writes a record as the operator does.
func (store *Store) Put(topic string, part int, key string, value []byte) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.appendEntries(store.getPartition(topic, part), []entry{{key: key, value: value}})
}

// ServeHTTP implements http.Handler.
func (store *Store) ServeHTTP(answer http.ResponseWriter, request *http.Request) {
	fault := store.recordCall(request.URL.Path, request.URL.Query().Get("topic"))
	switch fault {
	case FaultUnavailable:
		answer.WriteHeader(http.StatusServiceUnavailable)
		return
	case FaultReset:
		panic(http.ErrAbortHandler)
	case FaultNoResponse:
		// The end of a connection is noticed only once the body has been read.
		_, _ = io.Copy(io.Discard, request.Body)
		<-request.Context().Done()
		panic(http.ErrAbortHandler)
	case FaultLostResponse:
		store.route(discardResponse{header: http.Header{}}, request)
		panic(http.ErrAbortHandler)
	case FaultNone:
	}
	store.route(answer, request)
}

func (store *Store) recordCall(call, topic string) Fault {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.calls[call]++
	store.topicCalls[topicCall{call, topic}]++
	if fault, found := store.topicFaults[topic]; found && call == "/v1/log-append" {
		return fault()
	}
	if store.fault == nil {
		return FaultNone
	}
	return store.fault(call)
}

// discardResponse takes an answer that its caller never gets.
type discardResponse struct{ header http.Header }

func (lost discardResponse) Header() http.Header { return lost.header }

func (lost discardResponse) Write(text []byte) (int, error) { return len(text), nil }

func (lost discardResponse) WriteHeader(int) {}

func (store *Store) route(answer http.ResponseWriter, request *http.Request) {
	switch request.URL.Path {
	case "/v1/log-append":
		store.serveAppend(answer, request)
	case "/v1/log-read":
		store.serveRead(answer, request)
	case "/v1/log-newest":
		store.serveNewest(answer, request)
	case "/v1/log-join":
		store.serveJoin(answer, request)
	case "/v1/log-leave":
		store.serveLeave(answer, request)
	case "/v1/log-owners":
		store.serveOwners(answer, request)
	default:
		answer.WriteHeader(http.StatusNotFound)
	}
}
