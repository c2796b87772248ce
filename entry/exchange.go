package entry

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"ambertiller.example/ambertiller/api"
	"ambertiller.example/ambertiller/route"
	"ambertiller.example/ambertiller/rpc"
	"ambertiller.example/ambertiller/wire"
)

// trySend sends the request once, to the guard of the picked backend server, and
// relays the response.
func (entry *Entry) trySend(ctx context.Context, writer http.ResponseWriter, call *serviceCall, pick *route.PickResult) tryResult {
	conn, err := entry.options.Pool.Borrow(ctx, pick.Address())
	if err != nil {
		return failedTry(err)
	}
	defer conn.Return()
	stream, err := wire.NewDRPCGuardClient(conn).Serve(ctx)
	if err != nil {
		return failedTry(err)
	}
	result := sendAndRelay(stream, writer, call, entry.now())
	closeStream(stream, result)
	return result
}

// sendAndRelay sends the request on an open stream and relays the response to the
// caller.
func sendAndRelay(stream wire.DRPCGuard_ServeClient, writer http.ResponseWriter, call *serviceCall, now time.Time) tryResult {
	sendErr := sendRequest(stream, call, now)
	var bodyErr *callerBodyError
	if errors.As(sendErr, &bodyErr) {
		return tryResult{outcome: tryUnknown, detail: sendErr.Error()}
	}
	// A guard stops reading when it refuses a request. The send may then fail
	// although the refusal can still be received.
	first, err := stream.Recv()
	if err != nil {
		return tryResult{outcome: tryUnknown, detail: "no answer came: " + err.Error()}
	}
	if first.GetRefusal() != nil {
		return refusedTry(first)
	}
	if first.GetHead().GetRequestId() != call.requestID {
		return tryResult{outcome: tryUnknown, detail: "an answer to another request came"}
	}
	return relayResponse(writer, call, first, stream)
}

// closeStream ends the stream before its connection is returned to the pool. If
// the last message has arrived, the end of the stream follows at once: reading it
// leaves the connection usable for the next call. Any other stream is aborted.
func closeStream(stream wire.DRPCGuard_ServeClient, result tryResult) {
	if result.outcome == tryAnswered || result.outcome == tryNotRun {
		_ = stream.CloseSend()
		_, _ = stream.Recv()
	}
	_ = stream.Close()
}

// failedTry returns the result of a call that could not be opened. Only a failed
// dial proves that the request did not run.
func failedTry(err error) tryResult {
	var dialErr *rpc.DialError
	if errors.As(err, &dialErr) {
		return tryResult{outcome: tryNotRun, detail: err.Error()}
	}
	return tryResult{outcome: tryUnknown, detail: err.Error()}
}

// refusedTry returns the result of a try that the guard refused.
func refusedTry(first *wire.ServeOut) tryResult {
	refusal := first.GetRefusal()
	result := tryResult{outcome: tryUnknown, load: first.GetLoad(), detail: refusal.GetReason().String() + ": " + refusal.GetDetail()}
	if refusal.GetNotRun() {
		result.outcome = tryNotRun
	}
	switch refusal.GetReason() {
	case wire.RefusalReason_REFUSAL_NO_SLOT, wire.RefusalReason_REFUSAL_NO_CONNECTION:
		result.serverFull = true
	case wire.RefusalReason_REFUSAL_LEAVING:
		result.leaving = true
	}
	return result
}

// sendRequest sends the head and the buffered part of the body, and then the rest
// of the body.
func sendRequest(stream wire.DRPCGuard_ServeClient, call *serviceCall, now time.Time) error {
	first := &wire.ServeIn{
		Head: &wire.ServeHead{
			RequestId:     call.requestID,
			Service:       call.service,
			Method:        call.request.Method,
			Target:        call.target,
			Headers:       call.headers,
			TimeoutNanos:  call.deadline.Sub(now).Nanoseconds(),
			Repeatable:    call.repeatable,
			ContentLength: call.contentLength,
		},
		Body: call.body,
		Last: call.bodyRest == nil,
	}
	if err := stream.Send(first); err != nil {
		return errors.Wrap(err, "send request")
	}
	if call.bodyRest == nil {
		return nil
	}
	return sendBodyRest(stream, call.bodyRest)
}

// callerBodyError reports that reading the rest of the caller's body failed.
type callerBodyError struct {
	cause error
}

// Error implements the error interface.
func (e *callerBodyError) Error() string {
	return "the caller's body broke off: " + e.cause.Error()
}

// sendBodyRest streams the rest of the body in messages of at most sendChunkBytes.
func sendBodyRest(stream wire.DRPCGuard_ServeClient, rest io.Reader) error {
	buffer := make([]byte, sendChunkBytes)
	for {
		count, err := rest.Read(buffer)
		last := errors.Is(err, io.EOF)
		if err != nil && !last {
			return &callerBodyError{cause: err}
		}
		if err := stream.Send(&wire.ServeIn{Body: buffer[:count], Last: last}); err != nil {
			return errors.Wrap(err, "send body")
		}
		if last {
			return nil
		}
	}
}

// relayResponse writes the response to the caller. A response in a single message
// is checked for completeness before any of it is written, so that an incomplete
// one can still be replaced by a retry or a problem.
func relayResponse(writer http.ResponseWriter, call *serviceCall, first *wire.ServeOut, stream wire.DRPCGuard_ServeClient) tryResult {
	head := first.GetHead()
	result := tryResult{outcome: tryAnswered, status: int(head.GetStatus()), load: first.GetLoad()}
	if first.GetLast() && head.GetContentLength() >= 0 && call.request.Method != http.MethodHead && int64(len(first.GetBody())) != head.GetContentLength() {
		return tryResult{outcome: tryUnknown, detail: "the answer is shorter than it says"}
	}
	writeResponseHead(writer, call, first)
	if err := writeNonEmpty(writer, first.GetBody()); err != nil && call.request.Method != http.MethodHead {
		return truncatedTry(result, err)
	}
	written := int64(len(first.GetBody()))
	for last := first.GetLast(); !last; {
		next, err := stream.Recv()
		if err != nil {
			return truncatedTry(result, err)
		}
		if err := writeNonEmpty(writer, next.GetBody()); err != nil {
			return truncatedTry(result, err)
		}
		written += int64(len(next.GetBody()))
		last, result.load = next.GetLast(), next.GetLoad()
	}
	if length := head.GetContentLength(); length >= 0 && written != length && call.request.Method != http.MethodHead {
		return truncatedTry(result, errors.New("the answer is shorter than it says"))
	}
	return result
}

// writeNonEmpty writes data unless it is empty. For a status that allows no body,
// such as 204, even an empty write fails.
func writeNonEmpty(writer http.ResponseWriter, data []byte) error {
	if len(data) == 0 {
		return nil
	}
	_, err := writer.Write(data)
	return err
}

// truncatedTry marks a try whose response was written to the caller only in part.
func truncatedTry(result tryResult, err error) tryResult {
	result.outcome = tryTruncated
	result.detail = err.Error()
	return result
}

// writeResponseHead writes the status and the headers. The length of a response in
// a single message is known even if the backend server did not send it.
func writeResponseHead(writer http.ResponseWriter, call *serviceCall, first *wire.ServeOut) {
	head := first.GetHead()
	header := writer.Header()
	for _, field := range head.GetHeaders() {
		header.Add(field.GetName(), field.GetValue())
	}
	header.Set(api.HeaderRequestID, call.requestID)
	length := head.GetContentLength()
	if first.GetLast() && call.request.Method != http.MethodHead {
		length = int64(len(first.GetBody()))
	}
	if length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	writer.WriteHeader(int(head.GetStatus()))
}
