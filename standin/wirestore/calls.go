package wirestore

import (
	"cmp"
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// queryInt returns a query parameter as an integer, or 0 if it is absent or not an integer.
func queryInt(request *http.Request, name string) int64 {
	value, err := strconv.ParseInt(request.URL.Query().Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return value
}

// writeJSON writes a response with a JSON body. Write errors are ignored: the client has disconnected.
func writeJSON(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}

// refusalResponse is the body of a response to a rejected append.
type refusalResponse struct {
	Reason string `json:"reason"`
}

// appendResponse is the body of the response to an append. A repeated append is answered with End only.
type appendResponse struct {
	Offset int64 `json:"offset"`
	End    int64 `json:"end"`
}

const (
	// maxAppendBytes is the size above which an append is refused.
	maxAppendBytes = 2 << 20
	// maxRecordBytes is the size of a key and a value above which the append of a record is refused.
	maxRecordBytes = 256 << 10
)

// serveAppend appends the records of the request body to a partition. An append that is too large, or has a
// record that is, is refused. An append that names a producer is checked against the epoch and the sequence number of that producer's last append.
func (store *Store) serveAppend(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	added := decodeEntries(body)
	isTooLarge := func(added entry) bool { return added.size() > maxRecordBytes }
	if len(body) > maxAppendBytes || slices.ContainsFunc(added, isTooLarge) {
		writeJSON(writer, http.StatusRequestEntityTooLarge, refusalResponse{"size"})
		return
	}
	if !store.awaitAppend(requestedKey(request)) {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	partition := store.requestedPartition(request)
	name := request.URL.Query().Get("producer")
	if name != "" {
		status, reason, end := partition.admitAppend(name, queryInt(request, "epoch"), queryInt(request, "seq"), len(body) == 0)
		if status == http.StatusOK {
			writeJSON(writer, status, appendResponse{End: end})
			return
		}
		if status != 0 {
			writeJSON(writer, status, refusalResponse{reason})
			return
		}
	}
	if rewrite, found := store.rewrites[request.URL.Query().Get("topic")]; found {
		for index := range added {
			added[index].value = rewrite(added[index].value)
		}
	}
	store.appendEntries(partition, added)
	if name != "" && len(added) > 0 {
		partition.producers[name].endOffsets[queryInt(request, "seq")] = partition.endOffset
	}
	writeJSON(writer, http.StatusOK, appendResponse{Offset: partition.endOffset - int64(len(added)), End: partition.endOffset})
}

const (
	// defaultMaxReadKB limits a read that sets no max_kb.
	defaultMaxReadKB = 1024
	// maxPageBytes and maxPageItems limit a page of newest records.
	maxPageBytes = 1 << 20
	maxPageItems = 500
)

// maxReadBytes returns the limit of a read in bytes.
func maxReadBytes(request *http.Request) int64 {
	if kb := queryInt(request, "max_kb"); kb > 0 {
		return kb << 10
	}
	return defaultMaxReadKB << 10
}

// serveRead responds with the records from the requested offset on, limited in size by max_kb. If there are none,
// it waits for an append for up to wait_ms milliseconds. A read below the first readable offset is answered with
// 410 Gone and that offset.
func (store *Store) serveRead(writer http.ResponseWriter, request *http.Request) {
	from := queryInt(request, "source")
	timer := time.NewTimer(time.Duration(queryInt(request, "wait_ms")) * time.Millisecond)
	defer timer.Stop()
	for {
		store.mu.Lock()
		partition := store.requestedPartition(request)
		appended := partition.appended
		if first := partition.firstOffset; from < first {
			store.mu.Unlock()
			writeJSON(writer, http.StatusGone, struct {
				First int64 `json:"first"`
			}{first})
			return
		}
		found := partition.pageFrom(from, maxReadBytes(request))
		store.mu.Unlock()
		if found.endOffset > from {
			_, _ = writer.Write(found.encode()) //nolint:gosec // the body is binary records and is not rendered by a browser.
			return
		}
		select {
		case <-appended:
		case <-request.Context().Done():
			return
		case <-timer.C:
			_, _ = writer.Write(found.encode()) //nolint:gosec // the body is binary records and is not rendered by a browser.
			return
		}
	}
}

// newestRecord is the newest record of a key. Value is base64-encoded.
type newestRecord struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset int64  `json:"offset"`
}

// newestResponse is the body of a response with a page of newest records.
type newestResponse struct {
	Items []newestRecord `json:"items"`
	More  bool           `json:"more"`
	End   int64          `json:"end"`
}

// serveNewest responds with a page of the newest records. The store is not locked while the response is written, which
// may take long over a slow link.
func (store *Store) serveNewest(writer http.ResponseWriter, request *http.Request) {
	writeJSON(writer, http.StatusOK, store.newestPage(request))
}

// newestPage returns a page of the newest record of every key that is greater than the query parameter "after", sorted
// by key. A key whose newest value is empty counts as deleted and is left out.
//
// Performance: callers repeat reads that take too long. The store is locked only while the records are collected, and
// goes over the keys rather than all records, since it would otherwise answer ever more slowly once it has been slow.
func (store *Store) newestPage(request *http.Request) newestResponse {
	newest, end := store.newestAfter(requestedKey(request), request.URL.Query().Get("after"))
	slices.SortFunc(newest, func(a, b entry) int { return cmp.Compare(a.key, b.key) })
	limited := limitPage(newest)
	items := []newestRecord{}
	for _, entry := range limited {
		items = append(items, newestRecord{Key: entry.key, Value: base64.StdEncoding.EncodeToString(entry.value), Offset: entry.offset})
	}
	return newestResponse{Items: items, More: len(items) < len(newest), End: end}
}

// newestAfter returns the newest record of every key of a partition that is greater than after, unless it is deleted, in
// no order, and the end of the partition.
func (store *Store) newestAfter(key partitionKey, after string) (newest []entry, end int64) {
	store.mu.Lock()
	defer store.mu.Unlock()
	partition := store.getPartition(key.topic, key.partition)
	for key, entry := range partition.newest {
		if key > after {
			newest = append(newest, entry)
		}
	}
	return newest, partition.endOffset
}

// limitPage returns the first records that fit a page, but at least one.
func limitPage(records []entry) []entry {
	size := 0
	for index, record := range records {
		size += len(record.key) + base64.StdEncoding.EncodedLen(len(record.value))
		if index > 0 && (size > maxPageBytes || index == maxPageItems) {
			return records[:index]
		}
	}
	return records
}
