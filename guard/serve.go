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
	// HeaderRequestID is the header that carries a request's ID to the backend server.
	// If the backend server returns the header, the guard checks that the response
	// belongs to the request.
	HeaderRequestID = "X-Request-Id"

	maxChunkBytes      = 32 << 10 // of a response body, in one message
	backendDialTimeout = time.Second
	backendIdleTimeout = 90 * time.Second
)

// newTransport returns the transport for requests to the backend server.
func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: backendDialTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: defaultConnections,
		IdleConnTimeout:     backendIdleTimeout,
		DisableCompression:  true,
	}
}

// Serve forwards one request to the backend server and returns its response. It implements
// the Serve method of the DRPC service Guard.
func (guard *Guard) Serve(stream wire.DRPCGuard_ServeStream) error {
	first, err := stream.Recv()
	if err != nil {
		return errors.Wrap(err, "receive request")
	}
	startTime := guard.options.Clock.Now()
	// The connection is reserved until the response has been sent, the slot only until
	// the backend server has finished.
	releaseConnection, err := guard.gate.AdmitConnection()
	if err != nil {
		return stream.Send(&wire.ServeOut{Refusal: admissionRefusal(err), Load: guard.currentLoad()})
	}
	defer releaseConnection()
	releaseSlot, refusal := guard.admitRequest(first.GetHead())
	if refusal != nil {
		guard.recordRefusal(stream.Context(), first.GetHead().GetRequestId(), refusal)
		return stream.Send(&wire.ServeOut{Refusal: refusal, Load: guard.currentLoad()})
	}
	defer releaseSlot()
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
	if err := guard.relayResponse(stream, head, response, releaseSlot); err != nil {
		return err
	}
	guard.latency.add(guard.options.Clock.Since(startTime))
	return nil
}

// recordRefusal logs a refusal and counts it in the metrics.
func (guard *Guard) recordRefusal(ctx context.Context, requestID string, refusal *wire.Refusal) {
	guard.metrics.countRefusal(ctx, refusal.GetReason())
	guard.options.Events.Log(ctx, event.AdmissionRefused,
		attrReason(refusal.GetReason().String()), attrRequest(requestID), attrDetail(refusal.GetDetail()))
}

// admitRequest checks a request and reserves a slot for it before any of it runs. The
// caller must call the returned function when the backend server has finished.
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
	releaseSlot, err := guard.gate.AdmitRequest()
	if err != nil {
		return nil, admissionRefusal(err)
	}
	return releaseSlot, nil
}

// notRunRefusal returns a refusal that guarantees that the refused work has not run.
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

// admissionRefusal converts a refusal of the gate, which has admitted nothing.
func admissionRefusal(err error) *wire.Refusal {
	var refusal *admission.Refusal
	if errors.As(err, &refusal) {
		return notRunRefusal(admissionRefusalReasons[refusal.Reason()], err.Error())
	}
	return notRunRefusal(wire.RefusalReason_REFUSAL_UNSPECIFIED, err.Error())
}

// backendRefusal returns the refusal for a failed request to the backend server. It is
// marked as not run only if the request could not be built or the connection could not be
// established. After any other error the request may have run.
func backendRefusal(err error) *wire.Refusal {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return notRunRefusal(wire.RefusalReason_REFUSAL_BACKEND_UNREACHABLE, err.Error())
	}
	var badRequest *badRequestError
	if errors.As(err, &badRequest) {
		return notRunRefusal(wire.RefusalReason_REFUSAL_BAD_REQUEST, err.Error())
	}
	return &wire.Refusal{Reason: wire.RefusalReason_REFUSAL_BACKEND_UNREACHABLE, Detail: err.Error()}
}

// badRequestError means that no HTTP request can be built from the head of a request.
type badRequestError struct {
	cause error
}

// Error implements the error interface.
func (e *badRequestError) Error() string { return "the request can't be sent: " + e.cause.Error() }

// forward sends the request to the backend server and returns the response. The caller
// must close the response body.
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
	if returnedID := response.Header.Get(HeaderRequestID); returnedID != "" && returnedID != head.GetRequestId() {
		_ = response.Body.Close()
		return nil, errors.Errorf("the backend server answered request %s instead of %s", returnedID, head.GetRequestId())
	}
	return response, nil
}

// newRequestBody returns a reader of the request's body, which may still be arriving. The
// body is never nil and can't be rewound, so net/http doesn't resend the request on its own
// when a reused connection breaks: the entry decides whether a request may be retried.
func newRequestBody(first *wire.ServeIn, stream wire.DRPCGuard_ServeStream) io.ReadCloser {
	if first.GetLast() {
		return io.NopCloser(bytes.NewReader(first.GetBody()))
	}
	return &streamBody{stream: stream, unread: first.GetBody()}
}

// streamBody reads the body of a request from the stream, one message at a time, so that
// memory use doesn't depend on the size of the body.
type streamBody struct {
	stream wire.DRPCGuard_ServeStream
	unread []byte // rest of the last message received
	last   bool   // no further message follows
}

// Read implements io.Reader. It fails with io.ErrUnexpectedEOF if the stream ends early.
func (body *streamBody) Read(p []byte) (int, error) {
	for len(body.unread) == 0 {
		if body.last {
			return 0, io.EOF
		}
		message, err := body.stream.Recv()
		if err != nil {
			return 0, errors.Wrap(io.ErrUnexpectedEOF, err.Error())
		}
		body.unread, body.last = message.GetBody(), message.GetLast()
	}
	n := copy(p, body.unread)
	body.unread = body.unread[n:]
	return n, nil
}

// Close implements io.Closer. It leaves the stream open for the response.
func (body *streamBody) Close() error { return nil }

// relayResponse sends the response of the backend server to the entry. The response is
// complete only with the message that is marked as the last. If the backend server breaks
// off, the call ends with an error and without that message. releaseSlot is called once
// the backend server has finished.
func (guard *Guard) relayResponse(stream wire.DRPCGuard_ServeStream, head *wire.ServeHead, response *http.Response, releaseSlot func()) error {
	message := &wire.ServeOut{Head: &wire.AnswerHead{
		RequestId:     head.GetRequestId(),
		Status:        int32(response.StatusCode),
		Headers:       responseHeaders(response.Header),
		ContentLength: response.ContentLength,
	}}
	buffer := make([]byte, responseBufferSize(response.ContentLength))
	for {
		n, err := io.ReadFull(response.Body, buffer)
		complete := errors.Is(err, io.EOF) || (errors.Is(err, io.ErrUnexpectedEOF) && isAtEOF(response.Body))
		if err != nil && !complete {
			return errors.Wrap(err, "the backend server broke the answer off")
		}
		message.Body = buffer[:n]
		if complete {
			// The slot is released before the last message is sent, so that the load in
			// the message shows it as free and the entry can use it for the next request.
			releaseSlot()
			message.Last = true
			message.Load = guard.currentLoad()
		}
		if err := stream.Send(message); err != nil {
			return errors.Wrap(err, "send answer")
		}
		if complete {
			return nil
		}
		message.Head = nil
	}
}

// responseBufferSize returns the size of the buffer for a response body. For a small body
// of known length it is one byte more than the length, so that the first io.ReadFull also
// reaches the end and the response fits into one message.
func responseBufferSize(contentLength int64) int64 {
	if contentLength >= 0 && contentLength < maxChunkBytes {
		return contentLength + 1
	}
	return maxChunkBytes
}

// isAtEOF reports whether a body that io.ReadFull failed to read in full with
// io.ErrUnexpectedEOF is complete. ReadFull returns that error for a short last chunk as
// well as for a truncated body. Read again, a complete body returns io.EOF, and a truncated
// one returns io.ErrUnexpectedEOF once more.
func isAtEOF(body io.Reader) bool {
	var probe [1]byte
	_, err := body.Read(probe[:])
	return errors.Is(err, io.EOF)
}

// hopByHopHeaders contains, by canonical name, the headers that apply to a single
// connection and are not forwarded. Content-Length is among them because the messages carry
// it in a field of their own.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// IsHopByHopHeader reports whether a header applies to a single connection and must not be
// forwarded as a header.
func IsHopByHopHeader(name string) bool { return hopByHopHeaders[http.CanonicalHeaderKey(name)] }

// responseHeaders returns the headers of a response to send to the entry: all but the
// hop-by-hop headers and the request ID.
func responseHeaders(header http.Header) []*wire.Header {
	headers := make([]*wire.Header, 0, len(header))
	for name, values := range header {
		if hopByHopHeaders[name] || strings.EqualFold(name, HeaderRequestID) {
			continue
		}
		for _, value := range values {
			headers = append(headers, &wire.Header{Name: name, Value: value})
		}
	}
	return headers
}
