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
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Fault is what befalls one call.
type Fault int

// The faults of a call.
const (
	FaultNone   Fault = iota
	FaultBusy         // answered 503, nothing done
	FaultLost         // done, and the connection broken off without an answer
	FaultReset        // not done, and the connection broken off
	FaultSilent       // not done and never answered, until the caller gives up
)

type entry struct {
	key    string
	value  []byte
	offset int64
}

type topicPart struct {
	topic string
	part  int
}

type producerState struct {
	epoch, sequence int64
	ends            map[int64]int64 // answers by sequence
}

type partition struct {
	entries   []entry
	end       int64
	first     int64
	producers map[string]*producerState
}

type member struct {
	name    string
	silent  time.Duration
	heardAt time.Time
	heard   int64
}

type group struct {
	generation int64
	members    []*member
	owners     map[int]string // by partition
	owed       map[int]string // to whom a partition goes once its owner has heard
}

// Store is the stand-in. It is an http.Handler.
type Store struct {
	parts int
	now   func() time.Time
	mu    sync.Mutex
	kept  map[topicPart]*partition
	grown chan struct{} // closed and replaced at each append
	group map[string]*group
	fault func(call string) Fault
	calls map[string]int
	// topicFaults decide what befalls appends, by topic.
	topicFaults map[string]func() Fault
}

// New returns an empty store whose topics have so many partitions.
func New(parts int, now func() time.Time) *Store {
	return &Store{
		parts: parts, now: now, kept: map[topicPart]*partition{}, grown: make(chan struct{}),
		group: map[string]*group{}, calls: map[string]int{}, topicFaults: map[string]func() Fault{},
	}
}

// Fail has fault decide what befalls each call from here on.
func (store *Store) Fail(fault func(call string) Fault) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.fault = fault
}

// FailTopic has fault decide what befalls each append to a topic from here on.
func (store *Store) FailTopic(topic string, fault func() Fault) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.topicFaults[topic] = fault
}

// Calls returns how often a call was made.
func (store *Store) Calls(call string) int {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.calls[call]
}

// DropHistory removes all records but the newest of each key, as far as reads
// by offset go.
func (store *Store) DropHistory() {
	store.mu.Lock()
	defer store.mu.Unlock()
	for _, kept := range store.kept {
		kept.first = kept.end
	}
}

// Newest returns the newest value of a key.
func (store *Store) Newest(topic string, part int, key string) ([]byte, bool) {
	store.mu.Lock()
	defer store.mu.Unlock()
	kept := store.at(topic, part)
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
	store.add(store.at(topic, part), []entry{{key: key, value: value}})
}

func (store *Store) at(topic string, part int) *partition {
	place := topicPart{topic, part}
	if store.kept[place] == nil {
		store.kept[place] = &partition{producers: map[string]*producerState{}}
	}
	return store.kept[place]
}

func (store *Store) add(kept *partition, added []entry) {
	for _, one := range added {
		one.offset = kept.end
		kept.end++
		kept.entries = append(kept.entries, one)
	}
	close(store.grown)
	store.grown = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (store *Store) ServeHTTP(answer http.ResponseWriter, request *http.Request) {
	fault := store.noteCall(request.URL.Path, request.URL.Query().Get("topic"))
	switch fault {
	case FaultBusy:
		answer.WriteHeader(http.StatusServiceUnavailable)
		return
	case FaultReset:
		panic(http.ErrAbortHandler)
	case FaultSilent:
		<-request.Context().Done()
		panic(http.ErrAbortHandler)
	case FaultLost:
		store.route(discard{header: http.Header{}}, request)
		panic(http.ErrAbortHandler)
	case FaultNone:
	}
	store.route(answer, request)
}

func (store *Store) noteCall(call, topic string) Fault {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.calls[call]++
	if fault, found := store.topicFaults[topic]; found && call == "/v1/log-append" {
		return fault()
	}
	if store.fault == nil {
		return FaultNone
	}
	return store.fault(call)
}

// discard takes an answer that its caller never gets.
type discard struct{ header http.Header }

func (lost discard) Header() http.Header            { return lost.header }
func (lost discard) Write(text []byte) (int, error) { return len(text), nil }
func (lost discard) WriteHeader(int)                {}

func (store *Store) route(answer http.ResponseWriter, request *http.Request) {
	switch request.URL.Path {
	case "/v1/log-append":
		store.append(answer, request)
	case "/v1/log-read":
		store.read(answer, request)
	case "/v1/log-newest":
		store.newest(answer, request)
	case "/v1/log-join":
		store.join(answer, request)
	case "/v1/log-leave":
		store.leave(answer, request)
	case "/v1/log-owners":
		store.owners(answer, request)
	default:
		answer.WriteHeader(http.StatusNotFound)
	}
}

func number(request *http.Request, name string) int64 {
	count, err := strconv.ParseInt(request.URL.Query().Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return count
}

func (store *Store) partition(request *http.Request) *partition {
	return store.at(request.URL.Query().Get("topic"), int(number(request, "part")))
}

func reply(answer http.ResponseWriter, status int, body any) {
	answer.Header().Set("Content-Type", "application/json")
	answer.WriteHeader(status)
	_ = json.NewEncoder(answer).Encode(body)
}

type refusal struct {
	Reason string `json:"reason"`
}

type appended struct {
	Offset int64 `json:"offset"`
	End    int64 `json:"end"`
}

func (store *Store) append(answer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		answer.WriteHeader(http.StatusBadRequest)
		return
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	kept := store.partition(request)
	name := request.URL.Query().Get("producer")
	if name != "" {
		status, reason, end := kept.admit(name, number(request, "epoch"), number(request, "seq"))
		if status == http.StatusOK {
			reply(answer, status, appended{End: end})
			return
		}
		if status != 0 {
			reply(answer, status, refusal{reason})
			return
		}
	}
	added := decode(body)
	store.add(kept, added)
	if name != "" {
		kept.producers[name].ends[number(request, "seq")] = kept.end
	}
	reply(answer, http.StatusOK, appended{Offset: kept.end - int64(len(added)), End: kept.end})
}

// admit judges a fenced append: status 0 lets it in, 200 answers it again.
func (kept *partition) admit(name string, epoch, sequence int64) (status int, reason string, end int64) {
	known, found := kept.producers[name]
	if !found || epoch > known.epoch {
		kept.producers[name] = &producerState{epoch: epoch, sequence: sequence, ends: map[int64]int64{}}
		return 0, "", 0
	}
	if epoch < known.epoch {
		return http.StatusConflict, "fenced", 0
	}
	if again, done := known.ends[sequence]; done {
		return http.StatusOK, "", again
	}
	if sequence != known.sequence+1 {
		return http.StatusConflict, "seq", 0
	}
	known.sequence = sequence
	return 0, "", 0
}

func decode(body []byte) []entry {
	var found []entry
	for len(body) > 5 {
		size := 4 + int(binary.BigEndian.Uint32(body))
		keyEnd := 5 + int(body[4])
		found = append(found, entry{key: string(body[5:keyEnd]), value: slices.Clone(body[keyEnd:size])})
		body = body[size:]
	}
	return found
}

func encode(entries []entry) []byte {
	var body []byte
	for _, one := range entries {
		body = binary.BigEndian.AppendUint32(body, uint32(1+len(one.key)+len(one.value)))
		body = append(body, byte(len(one.key)))
		body = append(body, one.key...)
		body = append(body, one.value...)
	}
	return body
}

func (store *Store) read(answer http.ResponseWriter, request *http.Request) {
	from := number(request, "source")
	timer := time.NewTimer(time.Duration(number(request, "wait_ms")) * time.Millisecond)
	defer timer.Stop()
	for {
		store.mu.Lock()
		kept := store.partition(request)
		grown := store.grown
		if from < kept.first {
			store.mu.Unlock()
			reply(answer, http.StatusGone, struct {
				First int64 `json:"first"`
			}{kept.first})
			return
		}
		body := kept.from(from)
		found := kept.end > from
		store.mu.Unlock()
		if found {
			_, _ = answer.Write(body) //nolint:gosec // raw records, which no browser reads.
			return
		}
		select {
		case <-grown:
		case <-request.Context().Done():
			return
		case <-timer.C:
			_, _ = answer.Write(body) //nolint:gosec // raw records, which no browser reads.
			return
		}
	}
}

func (kept *partition) from(offset int64) []byte {
	var later []entry
	for _, one := range kept.entries {
		if one.offset >= offset {
			later = append(later, one)
		}
	}
	body := binary.BigEndian.AppendUint64(nil, uint64(kept.end))
	body = binary.BigEndian.AppendUint64(body, uint64(kept.first))
	return append(body, encode(later)...)
}

type item struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset int64  `json:"offset"`
}

func (store *Store) newest(answer http.ResponseWriter, request *http.Request) {
	store.mu.Lock()
	defer store.mu.Unlock()
	kept := store.partition(request)
	last := map[string]entry{}
	for _, one := range kept.entries {
		last[one.key] = one
	}
	items := []item{}
	for key, one := range last {
		if len(one.value) > 0 && key > request.URL.Query().Get("after") {
			items = append(items, item{Key: key, Value: base64.StdEncoding.EncodeToString(one.value), Offset: one.offset})
		}
	}
	slices.SortFunc(items, func(a, b item) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	reply(answer, http.StatusOK, struct {
		Items []item `json:"items"`
		More  bool   `json:"more"`
		End   int64  `json:"end"`
	}{items, false, kept.end})
}
