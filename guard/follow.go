package guard

import (
	"bufio"
	"context"
	"encoding/json"
	"io"

	"github.com/pkg/errors"

	"ambertiller.example/ambertiller/wire"
	"ambertiller.example/ambertiller/worker"
)

// maxOutputLineBytes limits a line of the worker's stream, which is one JSON object.
const maxOutputLineBytes = 1 << 20

// Follow streams the output of a watch. It implements the Follow method of the DRPC
// service Guard.
func (guard *Guard) Follow(request *wire.FollowRequest, stream wire.DRPCGuard_FollowStream) error {
	release, err := guard.gate.AdmitConnection()
	if err != nil {
		return errors.Wrap(err, "follow task")
	}
	defer release()
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	// On shutdown the guard ends the stream. The entry then follows the watch from its
	// last sequence number on, through the guard of the worker that runs it by then.
	stop := context.AfterFunc(guard.streamsCtx, cancel)
	defer stop()
	body, err := guard.options.Worker.Follow(ctx, request.GetTask(), request.GetAfterSequence())
	if err != nil {
		return err
	}
	defer func() { _ = body.Close() }()
	return relayOutput(body, stream)
}

// relayOutput sends the lines of the worker's stream as events until the stream ends.
func relayOutput(body io.Reader, stream wire.DRPCGuard_FollowStream) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxOutputLineBytes)
	for scanner.Scan() {
		var output worker.Output
		if err := json.Unmarshal(scanner.Bytes(), &output); err != nil {
			return errors.Wrap(err, "the worker's stream can't be read")
		}
		if err := stream.Send(&wire.FollowEvent{
			Attempt:  output.Attempt,
			Sequence: output.Sequence,
			Data:     output.Data,
			Last:     output.Last,
		}); err != nil {
			return errors.Wrap(err, "send output")
		}
	}
	return errors.Wrap(scanner.Err(), "the worker's stream broke off")
}
