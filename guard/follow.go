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

const maxOutputLineBytes = 1 << 20

// Follow streams what a watch produces. It implements the drpc service.
func (guard *Guard) Follow(request *wire.FollowRequest, stream wire.DRPCGuard_FollowStream) error {
	release, err := guard.gate.AdmitConnection()
	if err != nil {
		return errors.Wrap(err, "follow task")
	}
	defer release()
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	// A leaving guard ends the stream; the entry takes it up again elsewhere.
	stop := context.AfterFunc(guard.streamsCtx, cancel)
	defer stop()
	body, err := guard.options.Worker.Follow(ctx, request.GetTask(), request.GetAfterSequence())
	if err != nil {
		return err
	}
	defer func() { _ = body.Close() }()
	return relayOutput(body, stream)
}

func relayOutput(body io.Reader, stream wire.DRPCGuard_FollowStream) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxOutputLineBytes)
	for lines.Scan() {
		var output worker.Output
		if err := json.Unmarshal(lines.Bytes(), &output); err != nil {
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
	return errors.Wrap(lines.Err(), "the worker's stream broke off")
}
