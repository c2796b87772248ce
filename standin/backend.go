package standin

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// Request headers that control the stand-in backend server.
const (
	// HeaderWork is the time that the request takes, as a Go duration. It overrides the work time of the
	// backend.
	HeaderWork = "X-Standin-Work"
	// HeaderBytes is the size of the response body in bytes.
	HeaderBytes = "X-Standin-Bytes"
	// HeaderTruncate aborts the response after half of HeaderBytes. The value must not be empty.
	HeaderTruncate = "X-Standin-Cut"
	// HeaderHold holds the request until Release is called with the name in the header.
	HeaderHold = "X-Standin-Hold"
	// HeaderCount is the name under which the request is counted as a run.
	HeaderCount = "X-Standin-Count"
	// HeaderRequestID is copied to the response, so that a caller can match responses to requests.
	HeaderRequestID = "X-Request-Id"
)

// maxResponseBytes is the largest HeaderBytes that is obeyed, 256 MiB.
const maxResponseBytes = 1 << 28

// Backend is a stand-in for a backend server. It responds with the request body, marked as corrected.
type Backend struct {
	name     string
	workTime time.Duration
	holds    *holdSet
	served   atomic.Int64
	inFlight atomic.Int64
	peak     atomic.Int64
}

// NewBackend returns a backend server whose requests take workTime unless HeaderWork says otherwise.
func NewBackend(name string, workTime time.Duration) *Backend {
	return &Backend{name: name, workTime: workTime, holds: newHoldSet()}
}

// HeldCount returns how many requests have been held under a name so far, including released ones.
func (backend *Backend) HeldCount(name string) int { return backend.holds.waitingCount(name) }

// Release releases the requests that are held under a name. Later requests under that name are not held.
func (backend *Backend) Release(name string) { backend.holds.release(name) }

// Served returns how many requests have started.
func (backend *Backend) Served() int64 { return backend.served.Load() }

// Peak returns the highest number of concurrent requests.
func (backend *Backend) Peak() int64 { return backend.peak.Load() }

// ServeHTTP implements http.Handler.
func (backend *Backend) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	backend.recordRequest(backend.inFlight.Add(1))
	defer backend.inFlight.Add(-1)
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxBodyBytes))
	if err != nil {
		http.Error(writer, "the request is cut", http.StatusBadRequest)
		return
	}
	if name := request.Header.Get(HeaderCount); name != "" {
		backend.holds.countRun(name)
	}
	if name := request.Header.Get(HeaderHold); name != "" {
		backend.holds.wait(request.Context(), name)
	}
	backend.simulateWork(request)
	writer.Header().Set(HeaderRequestID, request.Header.Get(HeaderRequestID))
	writer.Header().Set("X-Served-By", backend.name)
	if size, err := strconv.Atoi(request.Header.Get(HeaderBytes)); err == nil && size >= 0 && size <= maxResponseBytes {
		backend.writeBytes(writer, size, request.Header.Get(HeaderTruncate) != "")
		return
	}
	if _, err := fmt.Fprintf(writer, "corrected: %s\n", body); err != nil {
		return
	}
}

// recordRequest counts a request and updates the peak.
func (backend *Backend) recordRequest(inFlight int64) {
	backend.served.Add(1)
	for {
		peak := backend.peak.Load()
		if inFlight <= peak || backend.peak.CompareAndSwap(peak, inFlight) {
			return
		}
	}
}

// simulateWork waits for the work time of the request, or until the request is cancelled.
func (backend *Backend) simulateWork(request *http.Request) {
	workTime := backend.workTime
	if requested, err := time.ParseDuration(request.Header.Get(HeaderWork)); err == nil {
		workTime = requested
	}
	if workTime <= 0 {
		return
	}
	select {
	case <-time.After(workTime):
	case <-request.Context().Done():
	}
}

// writeBytes writes a body of the given size. With truncate, it aborts the response after half of it.
func (backend *Backend) writeBytes(writer http.ResponseWriter, size int, truncate bool) {
	writer.Header().Set("Content-Length", strconv.Itoa(size))
	chunk := make([]byte, 32<<10)
	for index := range chunk {
		chunk[index] = byte('a' + index%26)
	}
	for sent := 0; sent < size; {
		if truncate && sent >= size/2 {
			panic(http.ErrAbortHandler)
		}
		count := min(len(chunk), size-sent)
		if truncate {
			count = min(count, max(1, size/2-sent))
		}
		if _, err := writer.Write(chunk[:count]); err != nil {
			return
		}
		sent += count
	}
}
