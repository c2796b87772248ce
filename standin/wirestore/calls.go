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

func queryInt(request *http.Request, name string) int64 {
	count, err := strconv.ParseInt(request.URL.Query().Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return count
}

func writeJSON(answer http.ResponseWriter, status int, body any) {
	answer.Header().Set("Content-Type", "application/json")
	answer.WriteHeader(status)
	_ = json.NewEncoder(answer).Encode(body)
}

type refusalResponse struct {
	Reason string `json:"reason"`
}

type appendResponse struct {
	Offset int64 `json:"offset"`
	End    int64 `json:"end"`
}

func (store *Store) serveAppend(answer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		answer.WriteHeader(http.StatusBadRequest)
		return
	}
	if !store.awaitAppend(partitionKey{request.URL.Query().Get("topic"), int(queryInt(request, "part"))}) {
		answer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	kept := store.requestedPartition(request)
	name := request.URL.Query().Get("producer")
	if name != "" {
		status, reason, end := kept.admitAppend(name, queryInt(request, "epoch"), queryInt(request, "seq"))
		if status == http.StatusOK {
			writeJSON(answer, status, appendResponse{End: end})
			return
		}
		if status != 0 {
			writeJSON(answer, status, refusalResponse{reason})
			return
		}
	}
	added := decodeEntries(body)
	if change, found := store.rewrites[request.URL.Query().Get("topic")]; found {
		for index := range added {
			added[index].value = change(added[index].value)
		}
	}
	store.appendEntries(kept, added)
	if name != "" {
		kept.producers[name].endOffsets[queryInt(request, "seq")] = kept.endOffset
	}
	writeJSON(answer, http.StatusOK, appendResponse{Offset: kept.endOffset - int64(len(added)), End: kept.endOffset})
}

func (store *Store) serveRead(answer http.ResponseWriter, request *http.Request) {
	from := queryInt(request, "source")
	timer := time.NewTimer(time.Duration(queryInt(request, "wait_ms")) * time.Millisecond)
	defer timer.Stop()
	for {
		store.mu.Lock()
		kept := store.requestedPartition(request)
		grown := store.appended
		if from < kept.firstOffset {
			store.mu.Unlock()
			writeJSON(answer, http.StatusGone, struct {
				First int64 `json:"first"`
			}{kept.firstOffset})
			return
		}
		body := kept.encodeFrom(from)
		found := kept.endOffset > from
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

type newestRecord struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset int64  `json:"offset"`
}

func (store *Store) serveNewest(answer http.ResponseWriter, request *http.Request) {
	store.mu.Lock()
	defer store.mu.Unlock()
	kept := store.requestedPartition(request)
	last := map[string]entry{}
	for _, one := range kept.entries {
		last[one.key] = one
	}
	items := []newestRecord{}
	for key, one := range last {
		if len(one.value) > 0 && key > request.URL.Query().Get("after") {
			items = append(items, newestRecord{Key: key, Value: base64.StdEncoding.EncodeToString(one.value), Offset: one.offset})
		}
	}
	slices.SortFunc(items, func(a, b newestRecord) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	writeJSON(answer, http.StatusOK, struct {
		Items []newestRecord `json:"items"`
		More  bool           `json:"more"`
		End   int64          `json:"end"`
	}{items, false, kept.endOffset})
}
