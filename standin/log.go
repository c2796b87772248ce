package standin

import (
	"context"
	"sync"
	"time"

	"ambertiller.example/ambertiller/logservice"
)

// Log is a stand-in for the platform's log. It keeps its streams in memory. It limits the appends per second,
// and tests can make it trim streams, fail, or lose the responses to appends that took effect. A Log is safe
// for concurrent use.
type Log struct {
	mu               sync.Mutex
	streams          map[string]*stream
	down             bool
	responsesToLose  int
	appendsPerSecond int
	second           int64
	appendsInSecond  int
	appends          int64
	readExpirations  int64
}

// stream is a stream of entries. earliest is the offset of the first one that has not been trimmed. appended
// is closed and replaced at each append.
type stream struct {
	earliest int64
	entries  [][]byte
	appended chan struct{}
}

// NewLog returns an empty log that accepts appendsPerSecond appends per second; 0 means no limit.
func NewLog(appendsPerSecond int) *Log {
	return &Log{streams: map[string]*stream{}, appendsPerSecond: appendsPerSecond}
}

// SetDown starts or ends an outage, during which appends and reads fail.
func (log *Log) SetDown(down bool) {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.down = down
}

// LoseResponses makes the next count appends take effect without a response.
func (log *Log) LoseResponses(count int) {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.responsesToLose = count
}

// Trim drops the entries of a stream below an offset.
func (log *Log) Trim(name string, before int64) {
	log.mu.Lock()
	defer log.mu.Unlock()
	stream := log.stream(name)
	count := min(max(0, before-stream.earliest), int64(len(stream.entries)))
	stream.entries = append([][]byte(nil), stream.entries[count:]...)
	stream.earliest += count
}

// Appends returns how many appends took effect.
func (log *Log) Appends() int64 {
	log.mu.Lock()
	defer log.mu.Unlock()
	return log.appends
}

// stream returns a stream. It creates the stream if there is none. The lock must be held.
func (log *Log) stream(name string) *stream {
	existing, found := log.streams[name]
	if !found {
		existing = &stream{appended: make(chan struct{})}
		log.streams[name] = existing
	}
	return existing
}

// appendResult is the outcome of an append. If down or retryAfter is set, the append had no effect. If
// responseLost is set, it took effect.
type appendResult struct {
	offset       int64
	down         bool
	responseLost bool
	retryAfter   time.Duration
}

// append appends an entry to a stream unless there is an outage or the limit of appends per second is reached.
func (log *Log) append(name string, data []byte, now time.Time) appendResult {
	log.mu.Lock()
	defer log.mu.Unlock()
	if log.down {
		return appendResult{down: true}
	}
	if wait := log.throttleDelay(now); wait > 0 {
		return appendResult{retryAfter: wait}
	}
	stream := log.stream(name)
	offset := stream.earliest + int64(len(stream.entries))
	stream.entries = append(stream.entries, data)
	close(stream.appended)
	stream.appended = make(chan struct{})
	log.appends++
	if log.responsesToLose > 0 {
		log.responsesToLose--
		return appendResult{responseLost: true}
	}
	return appendResult{offset: offset}
}

// throttleDelay counts an append and returns 0, or returns the time until the next second if the limit for the
// current second is reached. The lock must be held.
func (log *Log) throttleDelay(now time.Time) time.Duration {
	if log.appendsPerSecond == 0 {
		return 0
	}
	if second := now.Unix(); second != log.second {
		log.second, log.appendsInSecond = second, 0
	}
	if log.appendsInSecond >= log.appendsPerSecond {
		return now.Truncate(time.Second).Add(time.Second).Sub(now)
	}
	log.appendsInSecond++
	return 0
}

// read returns a page and a channel that is closed when the stream is next appended to. It returns false
// during an outage.
func (log *Log) read(name string, from int64, limit int) (logservice.Page, <-chan struct{}, bool) {
	log.mu.Lock()
	defer log.mu.Unlock()
	if log.down {
		return logservice.Page{}, nil, false
	}
	stream := log.stream(name)
	page := logservice.Page{Earliest: stream.earliest, Next: stream.earliest + int64(len(stream.entries))}
	for offset := max(from, stream.earliest); offset < page.Next && len(page.Entries) < limit; offset++ {
		page.Entries = append(page.Entries, logservice.Entry{Offset: offset, Data: stream.entries[offset-stream.earliest]})
	}
	return page, stream.appended, true
}

// readExpirationCount returns how often ExpireReads was called.
func (log *Log) readExpirationCount() int64 {
	log.mu.Lock()
	defer log.mu.Unlock()
	return log.readExpirations
}

// waitRead returns a page. If it would be empty, it waits for an append for up to options.Wait. It returns
// false during an outage.
func (log *Log) waitRead(ctx context.Context, name string, options logservice.ReadOptions) (logservice.Page, bool) {
	timer := time.NewTimer(options.Wait)
	defer timer.Stop()
	nudges := log.readExpirationCount()
	for {
		page, appended, available := log.read(name, options.From, options.Max)
		if !available || len(page.Entries) > 0 || options.From < page.Earliest || options.Wait == 0 || log.readExpirationCount() != nudges {
			return page, available
		}
		select {
		case <-appended:
		case <-timer.C:
			return page, true
		case <-ctx.Done():
			return page, true
		}
	}
}

// EndOffset returns the offset of the next append to a stream.
func (log *Log) EndOffset(name string) int64 {
	log.mu.Lock()
	defer log.mu.Unlock()
	stream := log.stream(name)
	return stream.earliest + int64(len(stream.entries))
}

// IsDown reports whether there is an outage.
func (log *Log) IsDown() bool {
	log.mu.Lock()
	defer log.mu.Unlock()
	return log.down
}

// StreamBytes returns the total size in bytes of the entries of a stream.
func (log *Log) StreamBytes(name string) int {
	log.mu.Lock()
	defer log.mu.Unlock()
	bytes := 0
	for _, entry := range log.stream(name).entries {
		bytes += len(entry)
	}
	return bytes
}
