package main

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	"ambertiller.example/ambertiller/standin/wirestore"
)

// The limits of the platform's store, as the settings state them.
const (
	parts       = 8
	recordBytes = 262_144
	callBytes   = 2_097_152
)

// store is the project's stand-in of the platform's store with the limit of a record's size.
type store struct {
	inner   *wirestore.Store
	records *ledger
	server  *httptest.Server
	refused atomic.Int64 // appends with a record over the limit
}

func newStore(records *ledger) *store {
	s := &store{inner: wirestore.New(parts, time.Now), records: records}
	s.server = httptest.NewServer(s)
	return s
}

func (s *store) address() string { return strings.TrimPrefix(s.server.URL, "http://") }

// ServeHTTP refuses an append with a record over the limit, all of it, and passes on all other calls.
func (s *store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path != "/v1/log-append" {
		s.inner.ServeHTTP(writer, request)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if size := largestRecord(body); size > recordBytes || len(body) > callBytes {
		if s.refused.Add(1) <= 20 {
			s.records.note("the store refuses an append to %s part %s: its largest record has %d bytes, the limit is %d",
				request.URL.Query().Get("topic"), request.URL.Query().Get("part"), size, recordBytes)
		}
		writer.Header().Set("Content-Type", "application/json")
		writer.WriteHeader(http.StatusRequestEntityTooLarge)
		_ = json.NewEncoder(writer).Encode(map[string]string{"reason": "size"})
		return
	}
	request.Body = io.NopCloser(bytes.NewReader(body))
	s.inner.ServeHTTP(writer, request)
}

// largestRecord returns the size of the largest record of an append.
func largestRecord(body []byte) int {
	largest := 0
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		largest = max(largest, size)
		if size+4 > len(body) {
			break
		}
		body = body[size+4:]
	}
	return largest
}
