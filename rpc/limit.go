package rpc

import (
	"context"
	"fmt"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc"
	"storj.io/drpc/drpcpool"
)

// MaxMessageBytes is the size of the largest message that a process accepts. It closes the connection on which a larger
// one arrives.
const MaxMessageBytes = 4 << 20

// MessageTooLargeError is returned for a message that was not sent, since its receiver would not accept it. Sending it
// again can't succeed.
type MessageTooLargeError struct{ size int }

// Error implements error.
func (err *MessageTooLargeError) Error() string {
	return fmt.Sprintf("the message has %d bytes and the limit is %d; divide it", err.size, MaxMessageBytes)
}

// Size returns the size of the message in bytes.
func (err *MessageTooLargeError) Size() int { return err.size }

// checkSize returns a [*MessageTooLargeError] for a message that is too large. It is called before anything of a call is
// sent, so that the connection stays usable.
func checkSize(message drpc.Message) error {
	encodable, ok := message.(proto.Message)
	if !ok {
		return nil
	}
	if size := proto.Size(encodable); size > MaxMessageBytes {
		return &MessageTooLargeError{size: size}
	}
	return nil
}

// limitedStream sends no messages that are too large.
type limitedStream struct{ drpc.Stream }

// MsgSend implements drpc.Stream.
func (stream limitedStream) MsgSend(message drpc.Message, encoding drpc.Encoding) error {
	if err := checkSize(message); err != nil {
		return err
	}
	return stream.Stream.MsgSend(message, encoding)
}

// limitedConn sends no messages that are too large.
type limitedConn struct{ drpcpool.Conn }

// Invoke implements drpc.Conn.
func (conn limitedConn) Invoke(ctx context.Context, method string, encoding drpc.Encoding, in, out drpc.Message) error {
	if err := checkSize(in); err != nil {
		return err
	}
	return conn.Conn.Invoke(ctx, method, encoding, in, out)
}

// NewStream implements drpc.Conn.
func (conn limitedConn) NewStream(ctx context.Context, method string, encoding drpc.Encoding) (drpc.Stream, error) {
	stream, err := conn.Conn.NewStream(ctx, method, encoding)
	if err != nil {
		return nil, err
	}
	return limitedStream{stream}, nil
}

// limitedHandler sends no replies that are too large.
type limitedHandler struct{ drpc.Handler }

// HandleRPC implements drpc.Handler.
func (handler limitedHandler) HandleRPC(stream drpc.Stream, method string) error {
	return handler.Handler.HandleRPC(limitedStream{stream}, method)
}
