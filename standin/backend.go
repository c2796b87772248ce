package standin

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// Headers that the stand-in backend server understands.
const (
	// HeaderWork is how long a request takes, as a Go duration.
	HeaderWork = "X-Standin-Work"
	// HeaderBytes is how large the answer is.
	HeaderBytes = "X-Standin-Bytes"
	// HeaderTruncate breaks the answer off after half of it.
	HeaderTruncate = "X-Standin-Cut"
	// HeaderHold keeps the request in flight until its name is let go.
	HeaderHold = "X-Standin-Hold"
	// HeaderCount counts the run under a name.
	HeaderCount = "X-Standin-Count"
	// HeaderRequestID is echoed, so that a caller can tell whose answer it got.
	HeaderRequestID = "X-Request-Id"
)

const maxResponseBytes = 1 << 28

// Backend is a stand-in for a backend server: it corrects snippets.
type Backend struct {
	name     string
	workTime time.Duration
	holds    *holdSet
	served   atomic.Int64
	inFlight atomic.Int64
	peak     atomic.Int64
}

// NewBackend returns a backend server whose requests take workTime.
func NewBackend(name string, workTime time.Duration) *Backend {
	return &Backend{name: name, workTime: workTime, holds: newHoldSet()}
}

// HeldCount returns how many requests have come to be held under the name.
func (backend *Backend) HeldCount(name string) int { return backend.holds.waitingCount(name) }

// Release lets the requests go that are held under the name.
func (backend *Backend) Release(name string) { backend.holds.release(name) }

// Served returns how many requests were begun.
func (backend *Backend) Served() int64 { return backend.served.Load() }

// Peak returns the most requests that were in flight at once.
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

func (backend *Backend) recordRequest(inFlight int64) {
	backend.served.Add(1)
	for {
		peak := backend.peak.Load()
		if inFlight <= peak || backend.peak.CompareAndSwap(peak, inFlight) {
			return
		}
	}
}

func (backend *Backend) simulateWork(request *http.Request) {
	workTime := backend.workTime
	if asked, err := time.ParseDuration(request.Header.Get(HeaderWork)); err == nil {
		workTime = asked
	}
	if workTime <= 0 {
		return
	}
	select {
	case <-time.After(workTime):
	case <-request.Context().Done():
	}
}

func (backend *Backend) writeBytes(writer http.ResponseWriter, size int, cut bool) {
	writer.Header().Set("Content-Length", strconv.Itoa(size))
	part := make([]byte, 32<<10)
	for index := range part {
		part[index] = byte('a' + index%26)
	}
	for sent := 0; sent < size; {
		if cut && sent >= size/2 {
			panic(http.ErrAbortHandler)
		}
		next := min(len(part), size-sent)
		if cut {
			next = min(next, max(1, size/2-sent))
		}
		if _, err := writer.Write(part[:next]); err != nil {
			return
		}
		sent += next
	}
}
