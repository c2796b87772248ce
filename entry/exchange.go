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

// trySend makes one try at the picked target.
func (entry *Entry) trySend(ctx context.Context, writer http.ResponseWriter, made *serviceCall, picked *route.PickResult) tryResult {
	conn, err := entry.options.Pool.Borrow(ctx, picked.Address())
	if err != nil {
		return failedTry(err)
	}
	defer conn.Return()
	stream, err := wire.NewDRPCGuardClient(conn).Serve(ctx)
	if err != nil {
		return failedTry(err)
	}
	ended := sendAndRelay(stream, writer, made, entry.now())
	closeStream(stream, ended)
	return ended
}

// sendAndRelay sends the request on an open call and passes its answer on.
func sendAndRelay(stream wire.DRPCGuard_ServeClient, writer http.ResponseWriter, made *serviceCall, now time.Time) tryResult {
	sendErr := sendRequest(stream, made, now)
	var broke *callerBodyError
	if errors.As(sendErr, &broke) {
		return tryResult{outcome: tryUnknown, detail: sendErr.Error()}
	}
	// A guard that refuses stops reading, so a failed send can still have an
	// answer waiting behind it.
	first, err := stream.Recv()
	if err != nil {
		return tryResult{outcome: tryUnknown, detail: "no answer came: " + err.Error()}
	}
	if first.GetRefusal() != nil {
		return refusedTry(first)
	}
	if first.GetHead().GetRequestId() != made.requestID {
		return tryResult{outcome: tryUnknown, detail: "an answer to another request came"}
	}
	return relayResponse(writer, made, first, stream)
}

// closeStream ends the call before its connection is returned. A call that came to
// its last message is read to its end, which follows at once and leaves the
// connection free for the next one; any other is broken off.
func closeStream(stream wire.DRPCGuard_ServeClient, ended tryResult) {
	if ended.outcome == tryAnswered || ended.outcome == tryNotRun {
		_ = stream.CloseSend()
		_, _ = stream.Recv()
	}
	_ = stream.Close()
}

// failedTry judges a call that could not be opened.
func failedTry(err error) tryResult {
	var dial *rpc.DialError
	if errors.As(err, &dial) {
		return tryResult{outcome: tryNotRun, detail: err.Error()}
	}
	return tryResult{outcome: tryUnknown, detail: err.Error()}
}

func refusedTry(first *wire.ServeOut) tryResult {
	refusal := first.GetRefusal()
	ended := tryResult{outcome: tryUnknown, load: first.GetLoad(), detail: refusal.GetReason().String() + ": " + refusal.GetDetail()}
	if refusal.GetNotRun() {
		ended.outcome = tryNotRun
	}
	switch refusal.GetReason() {
	case wire.RefusalReason_REFUSAL_NO_SLOT, wire.RefusalReason_REFUSAL_NO_CONNECTION:
		ended.serverFull = true
	case wire.RefusalReason_REFUSAL_LEAVING:
		ended.leaving = true
	}
	return ended
}

func sendRequest(stream wire.DRPCGuard_ServeClient, made *serviceCall, now time.Time) error {
	first := &wire.ServeIn{
		Head: &wire.ServeHead{
			RequestId:     made.requestID,
			Service:       made.service,
			Method:        made.request.Method,
			Target:        made.target,
			Headers:       made.headers,
			TimeoutNanos:  made.deadline.Sub(now).Nanoseconds(),
			Repeatable:    made.repeatable,
			ContentLength: made.contentLength,
		},
		Body: made.body,
		Last: made.bodyRest == nil,
	}
	if err := stream.Send(first); err != nil {
		return errors.Wrap(err, "send request")
	}
	if made.bodyRest == nil {
		return nil
	}
	return sendBodyRest(stream, made.bodyRest)
}

// callerBodyError says that the caller did not send the rest of the body.
type callerBodyError struct {
	cause error
}

// Error implements error.
func (broke *callerBodyError) Error() string {
	return "the caller's body broke off: " + broke.cause.Error()
}

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

// relayResponse passes an answer on. Nothing reaches the caller of an answer
// that came in one message until it is known to be whole.
func relayResponse(writer http.ResponseWriter, made *serviceCall, first *wire.ServeOut, stream wire.DRPCGuard_ServeClient) tryResult {
	head := first.GetHead()
	ended := tryResult{outcome: tryAnswered, status: int(head.GetStatus()), load: first.GetLoad()}
	if first.GetLast() && head.GetContentLength() >= 0 && made.request.Method != http.MethodHead && int64(len(first.GetBody())) != head.GetContentLength() {
		return tryResult{outcome: tryUnknown, detail: "the answer is shorter than it says"}
	}
	writeResponseHead(writer, made, first)
	if err := writeNonEmpty(writer, first.GetBody()); err != nil && made.request.Method != http.MethodHead {
		return truncatedTry(ended, err)
	}
	sent := int64(len(first.GetBody()))
	for last := first.GetLast(); !last; {
		next, err := stream.Recv()
		if err != nil {
			return truncatedTry(ended, err)
		}
		if err := writeNonEmpty(writer, next.GetBody()); err != nil {
			return truncatedTry(ended, err)
		}
		sent += int64(len(next.GetBody()))
		last, ended.load = next.GetLast(), next.GetLoad()
	}
	if length := head.GetContentLength(); length >= 0 && sent != length && made.request.Method != http.MethodHead {
		return truncatedTry(ended, errors.New("the answer is shorter than it says"))
	}
	return ended
}

// writeNonEmpty writes nothing for an empty part: an answer without a body, such as
// 204, fails any write.
func writeNonEmpty(writer http.ResponseWriter, part []byte) error {
	if len(part) == 0 {
		return nil
	}
	_, err := writer.Write(part)
	return err
}

func truncatedTry(ended tryResult, err error) tryResult {
	ended.outcome = tryTruncated
	ended.detail = err.Error()
	return ended
}

func writeResponseHead(writer http.ResponseWriter, made *serviceCall, first *wire.ServeOut) {
	head := first.GetHead()
	header := writer.Header()
	for _, each := range head.GetHeaders() {
		header.Add(each.GetName(), each.GetValue())
	}
	header.Set(api.HeaderRequestID, made.requestID)
	length := head.GetContentLength()
	if first.GetLast() && made.request.Method != http.MethodHead {
		length = int64(len(first.GetBody()))
	}
	if length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	writer.WriteHeader(int(head.GetStatus()))
}
