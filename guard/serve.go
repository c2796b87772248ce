package guard

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"

	"ambertiller.example/ambertiller/admission"
	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/wire"
)

const (
	// HeaderRequestID carries a request's ID to the backend server. One that
	// sends it back lets the guard check whose answer it got.
	HeaderRequestID = "X-Request-Id"

	maxChunkBytes      = 32 << 10
	backendDialTimeout = time.Second
	backendIdleTimeout = 90 * time.Second
)

func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: backendDialTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: defaultConnections,
		IdleConnTimeout:     backendIdleTimeout,
		DisableCompression:  true,
	}
}

// Serve runs one request at the backend server. It implements the drpc service.
func (guard *Guard) Serve(stream wire.DRPCGuard_ServeStream) error {
	first, err := stream.Recv()
	if err != nil {
		return errors.Wrap(err, "receive request")
	}
	now := guard.options.Clock.Now()
	// The connection is held until the answer has left, the slot only until
	// the backend server is done.
	disconnect, err := guard.gate.AdmitConnection()
	if err != nil {
		return stream.Send(&wire.ServeOut{Refusal: admissionRefusal(err), Load: guard.currentLoad()})
	}
	defer disconnect()
	release, refusal := guard.admitRequest(first.GetHead())
	if refusal != nil {
		guard.recordRefusal(stream.Context(), first.GetHead().GetRequestId(), refusal)
		return stream.Send(&wire.ServeOut{Refusal: refusal, Load: guard.currentLoad()})
	}
	defer release()
	head := first.GetHead()
	ctx, cancel := context.WithTimeout(stream.Context(), time.Duration(head.GetTimeoutNanos()))
	defer cancel()
	response, err := guard.forward(ctx, head, first, stream)
	if err != nil {
		refusal := backendRefusal(err)
		guard.recordRefusal(ctx, head.GetRequestId(), refusal)
		return stream.Send(&wire.ServeOut{Refusal: refusal, Load: guard.currentLoad()})
	}
	defer func() { _ = response.Body.Close() }()
	if err := guard.relayResponse(stream, head, response, release); err != nil {
		return err
	}
	guard.latency.add(guard.options.Clock.Since(now))
	return nil
}

func (guard *Guard) recordRefusal(ctx context.Context, requestID string, refusal *wire.Refusal) {
	guard.metrics.countRefusal(ctx, refusal.GetReason())
	guard.options.Events.Log(ctx, event.AdmissionRefused,
		attrReason(refusal.GetReason().String()), attrRequest(requestID), attrDetail(refusal.GetDetail()))
}

// admitRequest checks a request before anything of it runs.
func (guard *Guard) admitRequest(head *wire.ServeHead) (func(), *wire.Refusal) {
	if head == nil {
		return nil, notRunRefusal(wire.RefusalReason_REFUSAL_BAD_REQUEST, "the first message has no head")
	}
	if head.GetService() != guard.options.Service {
		return nil, notRunRefusal(wire.RefusalReason_REFUSAL_WRONG_SERVICE, "this guard serves "+guard.options.Service)
	}
	if head.GetTimeoutNanos() <= 0 {
		return nil, notRunRefusal(wire.RefusalReason_REFUSAL_DEADLINE, "the deadline has passed")
	}
	release, err := guard.gate.AdmitRequest()
	if err != nil {
		return nil, admissionRefusal(err)
	}
	return release, nil
}

func notRunRefusal(reason wire.RefusalReason, detail string) *wire.Refusal {
	return &wire.Refusal{Reason: reason, Detail: detail, NotRun: true}
}

var admissionRefusalReasons = map[admission.Reason]wire.RefusalReason{
	admission.NoSlot:        wire.RefusalReason_REFUSAL_NO_SLOT,
	admission.NoConnection:  wire.RefusalReason_REFUSAL_NO_CONNECTION,
	admission.NoProcessor:   wire.RefusalReason_REFUSAL_NO_PROCESSOR,
	admission.NoMemory:      wire.RefusalReason_REFUSAL_NO_MEMORY,
	admission.NoAccelerator: wire.RefusalReason_REFUSAL_NO_ACCELERATOR,
	admission.Leaving:       wire.RefusalReason_REFUSAL_LEAVING,
	admission.Duplicate:     wire.RefusalReason_REFUSAL_ALREADY_RUNNING,
	admission.Invalid:       wire.RefusalReason_REFUSAL_BAD_REQUEST,
}

func admissionRefusal(err error) *wire.Refusal {
	var refusal *admission.Refusal
	if errors.As(err, &refusal) {
		return notRunRefusal(admissionRefusalReasons[refusal.Reason()], err.Error())
	}
	return notRunRefusal(wire.RefusalReason_REFUSAL_UNSPECIFIED, err.Error())
}

// backendRefusal judges a failed exchange with the backend server. Only a
// connection that was never made proves that nothing ran.
func backendRefusal(err error) *wire.Refusal {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return notRunRefusal(wire.RefusalReason_REFUSAL_BACKEND_UNREACHABLE, err.Error())
	}
	var bad *badRequestError
	if errors.As(err, &bad) {
		return notRunRefusal(wire.RefusalReason_REFUSAL_BAD_REQUEST, err.Error())
	}
	return &wire.Refusal{Reason: wire.RefusalReason_REFUSAL_BACKEND_UNREACHABLE, Detail: err.Error()}
}

// badRequestError says that no request could be made of the head.
type badRequestError struct {
	cause error
}

// Error implements error.
func (bad *badRequestError) Error() string { return "the request can't be sent: " + bad.cause.Error() }

// forward sends the request to the backend server and returns its response.
func (guard *Guard) forward(ctx context.Context, head *wire.ServeHead, first *wire.ServeIn, stream wire.DRPCGuard_ServeStream) (*http.Response, error) {
	target, err := url.Parse(guard.options.BackendURL + head.GetTarget())
	if err != nil {
		return nil, &badRequestError{cause: err}
	}
	request := &http.Request{
		Method:        head.GetMethod(),
		URL:           target,
		Header:        make(http.Header, len(head.GetHeaders())+1),
		Body:          newRequestBody(first, stream),
		ContentLength: head.GetContentLength(),
	}
	for _, header := range head.GetHeaders() {
		request.Header.Add(header.GetName(), header.GetValue())
	}
	request.Header.Set(HeaderRequestID, head.GetRequestId())
	response, err := guard.backend.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, errors.Wrap(err, "forward")
	}
	if echoed := response.Header.Get(HeaderRequestID); echoed != "" && echoed != head.GetRequestId() {
		_ = response.Body.Close()
		return nil, errors.Errorf("the backend server answered request %s instead of %s", echoed, head.GetRequestId())
	}
	return response, nil
}

// newRequestBody returns the body as it arrives. It is never nil and can't be
// rewound, so that net/http does not send a request a second time by itself
// when a kept connection breaks; whether to repeat is the entry's decision.
func newRequestBody(first *wire.ServeIn, stream wire.DRPCGuard_ServeStream) io.ReadCloser {
	if first.GetLast() {
		return io.NopCloser(bytes.NewReader(first.GetBody()))
	}
	return &streamBody{stream: stream, unread: first.GetBody()}
}

// streamBody reads a request's body off the call, message by message, so that
// memory stays bounded however large the body is.
type streamBody struct {
	stream wire.DRPCGuard_ServeStream
	unread []byte
	last   bool
}

// Read implements io.Reader.
func (body *streamBody) Read(into []byte) (int, error) {
	for len(body.unread) == 0 {
		if body.last {
			return 0, io.EOF
		}
		next, err := body.stream.Recv()
		if err != nil {
			return 0, errors.Wrap(io.ErrUnexpectedEOF, err.Error())
		}
		body.unread, body.last = next.GetBody(), next.GetLast()
	}
	count := copy(into, body.unread)
	body.unread = body.unread[count:]
	return count, nil
}

// Close implements io.Closer.
func (body *streamBody) Close() error { return nil }

// relayResponse passes the response on. Only the message marked last makes it whole;
// when the backend server breaks off, the call ends without one.
func (guard *Guard) relayResponse(stream wire.DRPCGuard_ServeStream, head *wire.ServeHead, response *http.Response, release func()) error {
	out := &wire.ServeOut{Head: &wire.AnswerHead{
		RequestId:     head.GetRequestId(),
		Status:        int32(response.StatusCode),
		Headers:       responseHeaders(response.Header),
		ContentLength: response.ContentLength,
	}}
	buffer := make([]byte, responseBufferSize(response.ContentLength))
	for {
		count, err := io.ReadFull(response.Body, buffer)
		whole := errors.Is(err, io.EOF) || (errors.Is(err, io.ErrUnexpectedEOF) && isAtEOF(response.Body))
		if err != nil && !whole {
			return errors.Wrap(err, "the backend server broke the answer off")
		}
		out.Body = buffer[:count]
		if whole {
			// The slot is free before the answer leaves, so that the load it
			// carries lets the entry use it.
			release()
			out.Last = true
			out.Load = guard.currentLoad()
		}
		if err := stream.Send(out); err != nil {
			return errors.Wrap(err, "send answer")
		}
		if whole {
			return nil
		}
		out.Head = nil
	}
}

// responseBufferSize fits a small answer of known length exactly, with one byte more,
// so that one read finds its end.
func responseBufferSize(contentLength int64) int64 {
	if contentLength >= 0 && contentLength < maxChunkBytes {
		return contentLength + 1
	}
	return maxChunkBytes
}

// isAtEOF tells the end of a short last chunk, for which io.ReadFull reports
// an unexpected end, from an answer that was cut: a body that was cut reports
// that again, one that ended reports the end.
func isAtEOF(body io.Reader) bool {
	var probe [1]byte
	_, err := body.Read(probe[:])
	return errors.Is(err, io.EOF)
}

// hopByHopHeaders belong to one connection and are not passed on.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// IsHopByHopHeader reports whether a header belongs to one connection only.
func IsHopByHopHeader(name string) bool { return hopByHopHeaders[http.CanonicalHeaderKey(name)] }

func responseHeaders(from http.Header) []*wire.Header {
	headers := make([]*wire.Header, 0, len(from))
	for name, values := range from {
		if hopByHopHeaders[name] || strings.EqualFold(name, HeaderRequestID) {
			continue
		}
		for _, value := range values {
			headers = append(headers, &wire.Header{Name: name, Value: value})
		}
	}
	return headers
}
