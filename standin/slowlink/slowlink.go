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
	"time"

	"golang.org/x/time/rate"
)

const (
	// maxChunkBytes is the most that is transferred at once.
	maxChunkBytes = 16 << 10
	// inFlightBytes is how much of an abandoned response the link still transfers: what is in the buffers of
	// sockets and switches.
	inFlightBytes = 64 << 10
)

// Link is a link that all transfers share. It is safe for concurrent use.
type Link struct{ limiter *rate.Limiter }

// New returns a link that carries bytesPerSecond.
func New(bytesPerSecond int) *Link {
	return &Link{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), maxChunkBytes)}
}

// Wait waits until the link has carried count bytes, or ctx ends.
func (link *Link) Wait(ctx context.Context, count int) error {
	for count > 0 {
		chunk := min(count, maxChunkBytes)
		if err := link.limiter.WaitN(ctx, chunk); err != nil {
			return err
		}
		count -= chunk
	}
	return nil
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
		b.link.limiter.ReserveN(time.Now(), min(rest, maxChunkBytes))
	}
	b.content.Reset()
	return nil
}
