package standin

import (
	"context"
	"sync"
	"time"

	"ambertiller.example/ambertiller/logservice"
)

// Log is a stand-in for the platform's log: streams in memory, a bound on
// appends a second, limited retention, outages, and answers lost after the
// append took effect. It may be used by many goroutines.
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

type stream struct {
	earliest int64
	entries  [][]byte
	appended chan struct{}
}

// NewLog returns an empty log that takes a number of appends a second, zero
// for no bound.
func NewLog(appendsPerSecond int) *Log {
	return &Log{streams: map[string]*stream{}, appendsPerSecond: appendsPerSecond}
}

// SetDown begins or ends an outage.
func (kept *Log) SetDown(down bool) {
	kept.mu.Lock()
	defer kept.mu.Unlock()
	kept.down = down
}

// LoseResponses makes the next appends take effect without an answer.
func (kept *Log) LoseResponses(count int) {
	kept.mu.Lock()
	defer kept.mu.Unlock()
	kept.responsesToLose = count
}

// Trim drops the entries of a stream before an offset.
func (kept *Log) Trim(name string, before int64) {
	kept.mu.Lock()
	defer kept.mu.Unlock()
	named := kept.stream(name)
	drop := min(max(0, before-named.earliest), int64(len(named.entries)))
	named.entries = append([][]byte(nil), named.entries[drop:]...)
	named.earliest += drop
}

// Appends returns how many appends took effect.
func (kept *Log) Appends() int64 {
	kept.mu.Lock()
	defer kept.mu.Unlock()
	return kept.appends
}

func (kept *Log) stream(name string) *stream {
	named, found := kept.streams[name]
	if !found {
		named = &stream{appended: make(chan struct{})}
		kept.streams[name] = named
	}
	return named
}

// appendResult says what became of an append.
type appendResult struct {
	offset       int64
	down         bool
	responseLost bool
	retryAfter   time.Duration
}

func (kept *Log) append(name string, data []byte, now time.Time) appendResult {
	kept.mu.Lock()
	defer kept.mu.Unlock()
	if kept.down {
		return appendResult{down: true}
	}
	if wait := kept.throttleDelay(now); wait > 0 {
		return appendResult{retryAfter: wait}
	}
	named := kept.stream(name)
	offset := named.earliest + int64(len(named.entries))
	named.entries = append(named.entries, data)
	close(named.appended)
	named.appended = make(chan struct{})
	kept.appends++
	if kept.responsesToLose > 0 {
		kept.responsesToLose--
		return appendResult{responseLost: true}
	}
	return appendResult{offset: offset}
}

func (kept *Log) throttleDelay(now time.Time) time.Duration {
	if kept.appendsPerSecond == 0 {
		return 0
	}
	if second := now.Unix(); second != kept.second {
		kept.second, kept.appendsInSecond = second, 0
	}
	if kept.appendsInSecond >= kept.appendsPerSecond {
		return now.Truncate(time.Second).Add(time.Second).Sub(now)
	}
	kept.appendsInSecond++
	return 0
}

// read returns a page, and a channel that is closed when the stream grows. The
// bool is false during an outage.
func (kept *Log) read(name string, from int64, most int) (logservice.Page, <-chan struct{}, bool) {
	kept.mu.Lock()
	defer kept.mu.Unlock()
	if kept.down {
		return logservice.Page{}, nil, false
	}
	named := kept.stream(name)
	page := logservice.Page{Earliest: named.earliest, Next: named.earliest + int64(len(named.entries))}
	for offset := max(from, named.earliest); offset < page.Next && len(page.Entries) < most; offset++ {
		page.Entries = append(page.Entries, logservice.Entry{Offset: offset, Data: named.entries[offset-named.earliest]})
	}
	return page, named.appended, true
}

func (kept *Log) readExpirationCount() int64 {
	kept.mu.Lock()
	defer kept.mu.Unlock()
	return kept.readExpirations
}

// waitRead reads, and waits for the stream to grow while there is nothing.
func (kept *Log) waitRead(ctx context.Context, name string, options logservice.ReadOptions) (logservice.Page, bool) {
	timer := time.NewTimer(options.Wait)
	defer timer.Stop()
	nudges := kept.readExpirationCount()
	for {
		page, grown, up := kept.read(name, options.From, options.Max)
		if !up || len(page.Entries) > 0 || options.From < page.Earliest || options.Wait == 0 || kept.readExpirationCount() != nudges {
			return page, up
		}
		select {
		case <-grown:
		case <-timer.C:
			return page, true
		case <-ctx.Done():
			return page, true
		}
	}
}

// EndOffset returns the offset that the next append to the stream will get.
func (kept *Log) EndOffset(name string) int64 {
	kept.mu.Lock()
	defer kept.mu.Unlock()
	named := kept.stream(name)
	return named.earliest + int64(len(named.entries))
}

// IsDown reports whether there is an outage.
func (kept *Log) IsDown() bool {
	kept.mu.Lock()
	defer kept.mu.Unlock()
	return kept.down
}

// StreamBytes returns how many bytes the entries of a stream hold.
func (kept *Log) StreamBytes(name string) int {
	kept.mu.Lock()
	defer kept.mu.Unlock()
	bytes := 0
	for _, entry := range kept.stream(name).entries {
		bytes += len(entry)
	}
	return bytes
}
