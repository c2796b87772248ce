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

// send makes one try at the picked target.
func (entry *Entry) send(ctx context.Context, writer http.ResponseWriter, made *call, picked *route.PickResult) try {
	conn, err := entry.options.Pool.Borrow(ctx, picked.Address())
	if err != nil {
		return callFailed(err)
	}
	defer conn.Return()
	stream, err := wire.NewDRPCGuardClient(conn).Serve(ctx)
	if err != nil {
		return callFailed(err)
	}
	ended := exchange(stream, writer, made, entry.now())
	endCall(stream, ended)
	return ended
}

// exchange sends the request on an open call and passes its answer on.
func exchange(stream wire.DRPCGuard_ServeClient, writer http.ResponseWriter, made *call, now time.Time) try {
	sendErr := sendBody(stream, made, now)
	var broke *callerBodyError
	if errors.As(sendErr, &broke) {
		return try{fate: fateUnknown, detail: sendErr.Error()}
	}
	// A guard that refuses stops reading, so a failed send can still have an
	// answer waiting behind it.
	first, err := stream.Recv()
	if err != nil {
		return try{fate: fateUnknown, detail: "no answer came: " + err.Error()}
	}
	if first.GetRefusal() != nil {
		return refusedTry(first)
	}
	if first.GetHead().GetRequestId() != made.id {
		return try{fate: fateUnknown, detail: "an answer to another request came"}
	}
	return relayAnswer(writer, made, first, stream)
}

// endCall ends the call before its connection is returned. A call that came to
// its last message is read to its end, which follows at once and leaves the
// connection free for the next one; any other is broken off.
func endCall(stream wire.DRPCGuard_ServeClient, ended try) {
	if ended.fate == fateAnswered || ended.fate == fateNotRun {
		_ = stream.CloseSend()
		_, _ = stream.Recv()
	}
	_ = stream.Close()
}

// callFailed judges a call that could not be opened.
func callFailed(err error) try {
	var dial *rpc.DialError
	if errors.As(err, &dial) {
		return try{fate: fateNotRun, detail: err.Error()}
	}
	return try{fate: fateUnknown, detail: err.Error()}
}

func refusedTry(first *wire.ServeOut) try {
	refusal := first.GetRefusal()
	ended := try{fate: fateUnknown, load: first.GetLoad(), detail: refusal.GetReason().String() + ": " + refusal.GetDetail()}
	if refusal.GetNotRun() {
		ended.fate = fateNotRun
	}
	switch refusal.GetReason() {
	case wire.RefusalReason_REFUSAL_NO_SLOT, wire.RefusalReason_REFUSAL_NO_CONNECTION:
		ended.full = true
	case wire.RefusalReason_REFUSAL_LEAVING:
		ended.leaving = true
	}
	return ended
}

func sendBody(stream wire.DRPCGuard_ServeClient, made *call, now time.Time) error {
	first := &wire.ServeIn{
		Head: &wire.ServeHead{
			RequestId:     made.id,
			Service:       made.service,
			Method:        made.request.Method,
			Target:        made.target,
			Headers:       made.headers,
			TimeoutNanos:  made.deadline.Sub(now).Nanoseconds(),
			Repeatable:    made.repeatable,
			ContentLength: made.length,
		},
		Body: made.body,
		Last: made.rest == nil,
	}
	if err := stream.Send(first); err != nil {
		return errors.Wrap(err, "send request")
	}
	if made.rest == nil {
		return nil
	}
	return sendRest(stream, made.rest)
}

// callerBodyError says that the caller did not send the rest of the body.
type callerBodyError struct {
	cause error
}

// Error implements error.
func (broke *callerBodyError) Error() string {
	return "the caller's body broke off: " + broke.cause.Error()
}

func sendRest(stream wire.DRPCGuard_ServeClient, rest io.Reader) error {
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

// relayAnswer passes an answer on. Nothing reaches the caller of an answer
// that came in one message until it is known to be whole.
func relayAnswer(writer http.ResponseWriter, made *call, first *wire.ServeOut, stream wire.DRPCGuard_ServeClient) try {
	head := first.GetHead()
	ended := try{fate: fateAnswered, status: int(head.GetStatus()), load: first.GetLoad()}
	if first.GetLast() && head.GetContentLength() >= 0 && made.request.Method != http.MethodHead && int64(len(first.GetBody())) != head.GetContentLength() {
		return try{fate: fateUnknown, detail: "the answer is shorter than it says"}
	}
	writeHead(writer, made, first)
	if err := writeBody(writer, first.GetBody()); err != nil && made.request.Method != http.MethodHead {
		return cut(ended, err)
	}
	sent := int64(len(first.GetBody()))
	for last := first.GetLast(); !last; {
		next, err := stream.Recv()
		if err != nil {
			return cut(ended, err)
		}
		if err := writeBody(writer, next.GetBody()); err != nil {
			return cut(ended, err)
		}
		sent += int64(len(next.GetBody()))
		last, ended.load = next.GetLast(), next.GetLoad()
	}
	if length := head.GetContentLength(); length >= 0 && sent != length && made.request.Method != http.MethodHead {
		return cut(ended, errors.New("the answer is shorter than it says"))
	}
	return ended
}

// writeBody writes nothing for an empty part: an answer without a body, such as
// 204, fails any write.
func writeBody(writer http.ResponseWriter, part []byte) error {
	if len(part) == 0 {
		return nil
	}
	_, err := writer.Write(part)
	return err
}

func cut(ended try, err error) try {
	ended.fate = fateCut
	ended.detail = err.Error()
	return ended
}

func writeHead(writer http.ResponseWriter, made *call, first *wire.ServeOut) {
	head := first.GetHead()
	header := writer.Header()
	for _, each := range head.GetHeaders() {
		header.Add(each.GetName(), each.GetValue())
	}
	header.Set(api.HeaderRequestID, made.id)
	length := head.GetContentLength()
	if first.GetLast() && made.request.Method != http.MethodHead {
		length = int64(len(first.GetBody()))
	}
	if length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	writer.WriteHeader(int(head.GetStatus()))
}
