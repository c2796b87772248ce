package wirestore

import (
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"
)

func number(request *http.Request, name string) int64 {
	count, err := strconv.ParseInt(request.URL.Query().Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return count
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
	if !store.awaitTurn(topicPart{request.URL.Query().Get("topic"), int(number(request, "part"))}) {
		answer.WriteHeader(http.StatusServiceUnavailable)
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
	if change, found := store.rewrites[request.URL.Query().Get("topic")]; found {
		for index := range added {
			added[index].value = change(added[index].value)
		}
	}
	store.add(kept, added)
	if name != "" {
		kept.producers[name].ends[number(request, "seq")] = kept.end
	}
	reply(answer, http.StatusOK, appended{Offset: kept.end - int64(len(added)), End: kept.end})
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
