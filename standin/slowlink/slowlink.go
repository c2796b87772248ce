// Package slowlink imitates a link that carries few bytes per second, for tests of what has to arrive over it.
//
// # Usage
//
//	link := slowlink.New(1_000_000)
//	client := &http.Client{Transport: link.Transport(handler, 10*time.Millisecond)} // without a network
//	err := link.Wait(ctx, len(data))                                                // in a proxy, before data is passed on
package slowlink

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

const (
	// maxChunkBytes is the most that is transferred at once.
	maxChunkBytes = 16 << 10
	// inFlightBytes is how much of an abandoned response the link still transfers: what is in the buffers of
	// sockets and switches.
	inFlightBytes = 64 << 10
)

// Link is a link that all transfers share. It is safe for concurrent use.
//
// A transfer that is woken too late, because the machine is busy, doesn't leave the link idle: what comes next is carried
// from the time at which the link was free.
type Link struct {
	bytesPerSecond int

	mu     sync.Mutex
	freeAt time.Time     // when the link has carried all that it was given
	late   time.Duration // how late the last transfer was woken
}

// New returns a link that carries bytesPerSecond.
func New(bytesPerSecond int) *Link { return &Link{bytesPerSecond: bytesPerSecond} }

// Wait waits until the link has carried count bytes, or ctx ends.
func (link *Link) Wait(ctx context.Context, count int) error {
	for count > 0 {
		chunk := min(count, maxChunkBytes)
		carriedAt := link.reserve(chunk, time.Now())
		if err := waitUntil(ctx, carriedAt); err != nil {
			return err
		}
		link.recordWakeUp(carriedAt, time.Now())
		count -= chunk
	}
	return nil
}

// waitUntil waits until a time or until ctx ends.
func waitUntil(ctx context.Context, at time.Time) error {
	delay := time.Until(at)
	if delay <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// reserve has the link carry count bytes, and returns when it has. An idle link carries up to maxChunkBytes at once.
func (link *Link) reserve(count int, now time.Time) time.Time {
	link.mu.Lock()
	defer link.mu.Unlock()
	begin := now.Add(-link.duration(maxChunkBytes) - link.late)
	if link.freeAt.After(begin) {
		begin = link.freeAt
	}
	link.freeAt = begin.Add(link.duration(count))
	return link.freeAt
}

// recordWakeUp records when a transfer that the link had carried at carriedAt was woken.
func (link *Link) recordWakeUp(carriedAt, now time.Time) {
	link.mu.Lock()
	defer link.mu.Unlock()
	link.late = max(0, now.Sub(carriedAt))
}

// duration returns how long the link takes to carry count bytes.
func (link *Link) duration(count int) time.Duration {
	return time.Duration(count) * time.Second / time.Duration(link.bytesPerSecond)
}

// Transport returns a round tripper that has handler answer requests after latency, without a network, so that
// it can be used in a synctest bubble. The bodies of the responses arrive over the link.
func (link *Link) Transport(handler http.Handler, latency time.Duration) http.RoundTripper {
	return transport{link: link, handler: handler, latency: latency}
}

type transport struct {
	link    *Link
	handler http.Handler
	latency time.Duration
}

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(request *http.Request) (*http.Response, error) {
	ctx := request.Context()
	select {
	case <-time.After(t.latency):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	recorder := httptest.NewRecorder()
	t.handler.ServeHTTP(recorder, request)
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	response := recorder.Result()
	response.Body = &body{ctx: ctx, link: t.link, content: recorder.Body}
	return response, nil
}

// body is the body of a response that arrives over a link.
type body struct {
	ctx     context.Context //nolint:containedctx // a body is read under the context of its request.
	link    *Link
	content *bytes.Buffer
}

// Read implements io.Reader.
func (b *body) Read(data []byte) (int, error) {
	count := min(len(data), b.content.Len(), maxChunkBytes)
	if count == 0 && len(data) > 0 {
		return 0, io.EOF
	}
	if err := b.link.Wait(b.ctx, count); err != nil {
		return 0, err
	}
	return b.content.Read(data[:count])
}

// Close implements io.Closer. It leaves the link occupied by the part of the body that is in flight.
func (b *body) Close() error {
	for rest := min(b.content.Len(), inFlightBytes); rest > 0; rest -= maxChunkBytes {
		b.link.reserve(min(rest, maxChunkBytes), time.Now())
	}
	b.content.Reset()
	return nil
}
