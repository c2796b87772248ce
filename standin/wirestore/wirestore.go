// Package wirestore is an in-memory implementation of the platform's record store for tests. It serves the
// store's HTTP protocol: topics of keyed records, appends that are fenced by producer epoch, reads that wait
// for records, and groups that distribute partitions over their members. Faults can be injected into calls.
//
// # Usage
//
//	store := wirestore.New(8, time.Now)
//	server := httptest.NewServer(store)
//	store.InjectFaults(func(call string) wirestore.Fault { return wirestore.FaultNone })
package wirestore

import (
	"io"
	"net/http"
	"sync"
	"time"
)

// Fault is a fault that is injected into a call.
type Fault int

// Faults that can be injected into a call.
const (
	FaultNone         Fault = iota
	FaultUnavailable        // respond with 503 without carrying out the call
	FaultLostResponse       // carry out the call, then close the connection without a response
	FaultReset              // close the connection without carrying out the call
	FaultNoResponse         // do nothing and never respond; the connection ends when the caller closes it
)

// topicCall is a call path and the topic of the call.
type topicCall struct{ call, topic string }

// Store is an in-memory record store. It is an http.Handler and safe for concurrent use.
type Store struct {
	partitionsPerTopic int
	now                func() time.Time
	mu                 sync.Mutex
	partitions         map[partitionKey]*partition
	groups             map[string]*group
	fault              func(call string) Fault
	latency            time.Duration
	calls              map[string]int
	// topicCalls counts calls by path and topic.
	topicCalls  map[topicCall]int
	appendQueue appendQueue
	// topicFaults holds the functions that choose the faults of appends, by topic.
	topicFaults map[string]func() Fault
	// rewrites holds functions that replace appended values, by topic.
	rewrites map[string]func(value []byte) []byte
}

// New returns an empty store with partitionsPerTopic partitions per topic. now is the clock by which
// memberships of groups expire.
func New(partitionsPerTopic int, now func() time.Time) *Store {
	return &Store{
		partitionsPerTopic: partitionsPerTopic, now: now, partitions: map[partitionKey]*partition{},
		groups: map[string]*group{}, calls: map[string]int{}, topicCalls: map[topicCall]int{}, topicFaults: map[string]func() Fault{},
		rewrites: map[string]func(value []byte) []byte{},
	}
}

// InjectFaults makes fault choose the fault of every later call. Its argument is the path of the call. A
// function set by InjectAppendFaults takes precedence.
func (store *Store) InjectFaults(fault func(call string) Fault) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.fault = fault
}

// SetLatency makes the store answer every later call after latency.
func (store *Store) SetLatency(latency time.Duration) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.latency = latency
}

// awaitLatency waits for the latency of a call.
func (store *Store) awaitLatency(request *http.Request) {
	store.mu.Lock()
	latency := store.latency
	store.mu.Unlock()
	if latency == 0 {
		return
	}
	select {
	case <-time.After(latency):
	case <-request.Context().Done():
	}
}

// InjectAppendFaults makes fault choose the fault of every later append to a topic.
func (store *Store) InjectAppendFaults(topic string, fault func() Fault) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.topicFaults[topic] = fault
}

// RewriteAppends makes the store keep the result of rewrite in place of each value appended to a topic from
// now on. Records written by Put are not rewritten.
func (store *Store) RewriteAppends(topic string, rewrite func(value []byte) []byte) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.rewrites[topic] = rewrite
}

// Calls returns how many calls were made to a path.
func (store *Store) Calls(call string) int {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.calls[call]
}

// TopicCalls returns how many calls were made to a path for a topic.
func (store *Store) TopicCalls(call, topic string) int {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.topicCalls[topicCall{call, topic}]
}

// Compact makes the records that are stored now unreadable by offset. The newest record of each key can still
// be read as such.
func (store *Store) Compact() {
	store.mu.Lock()
	defer store.mu.Unlock()
	for _, partition := range store.partitions {
		partition.firstOffset = partition.endOffset
	}
}

// Newest returns the newest value of a key. It returns false if the key is absent or its newest value is
// empty.
func (store *Store) Newest(topic string, number int, key string) ([]byte, bool) {
	store.mu.Lock()
	defer store.mu.Unlock()
	entry, found := store.getPartition(topic, number).newest[key]
	return entry.value, found
}

// Put appends a record without a producer, as an operator does.
func (store *Store) Put(topic string, number int, key string, value []byte) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.appendEntries(store.getPartition(topic, number), []entry{{key: key, value: value}})
}

// ServeHTTP implements http.Handler.
func (store *Store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	store.awaitLatency(request)
	fault := store.recordCall(request.URL.Path, request.URL.Query().Get("topic"))
	switch fault {
	case FaultUnavailable:
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	case FaultReset:
		panic(http.ErrAbortHandler)
	case FaultNoResponse:
		// net/http detects a closed connection only once the request body has been read.
		_, _ = io.Copy(io.Discard, request.Body)
		<-request.Context().Done()
		panic(http.ErrAbortHandler)
	case FaultLostResponse:
		store.route(discardResponse{header: http.Header{}}, request)
		panic(http.ErrAbortHandler)
	case FaultNone:
	}
	store.route(writer, request)
}

// recordCall counts a call and returns the fault to inject into it.
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

// discardResponse is a ResponseWriter that discards the response.
type discardResponse struct{ header http.Header }

func (discarded discardResponse) Header() http.Header { return discarded.header }

func (discarded discardResponse) Write(data []byte) (int, error) { return len(data), nil }

func (discarded discardResponse) WriteHeader(int) {}

// route passes a request to the handler of its path.
func (store *Store) route(writer http.ResponseWriter, request *http.Request) {
	switch request.URL.Path {
	case "/v1/log-append":
		store.serveAppend(writer, request)
	case "/v1/log-read":
		store.serveRead(writer, request)
	case "/v1/log-newest":
		store.serveNewest(writer, request)
	case "/v1/log-join":
		store.serveJoin(writer, request)
	case "/v1/log-leave":
		store.serveLeave(writer, request)
	case "/v1/log-owners":
		store.serveOwners(writer, request)
	default:
		writer.WriteHeader(http.StatusNotFound)
	}
}
