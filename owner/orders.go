package owner

import (
	"log/slog"
	"time"

	"google.golang.org/protobuf/proto"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/wire"
)

const (
	// maxOrderBytes is the size up to which orders are added to one message. It arrives within a tenth of a second over a
	// link of 10 Mbit/s, while the agent's acknowledgment may take ackTimeout.
	maxOrderBytes = 64 << 10
	// maxFullMessages is how many messages that were filled with orders may be on their way to an agent. The others wait
	// here, where they can still be withdrawn.
	maxFullMessages = 4
)

// maySendOrders reports whether there are orders for the agent, and the agent keeps up with those that were sent.
func (view *agentView) maySendOrders() bool {
	if len(view.fullSequences) >= maxFullMessages {
		return false
	}
	next := view.nextMessage
	return len(view.startsDue)+len(next.Stops)+len(next.Seen)+len(next.Runs)+len(next.Preempts)+len(next.Moves) > 0
}

// takeOrders leaves the orders that fit in the agent's next message, adds the start orders that are due, and returns a
// message with the other orders. The orders of one kind keep their order, and stops go before starts: a stop that was
// added after a start is never sent before it, since a run that was not ordered is released instead.
func (owner *Owner) takeOrders(view *agentView, now time.Time) *wire.OwnerMessage {
	message, rest := view.nextMessage, &wire.OwnerMessage{}
	space := &wire.Space{}
	maySend := view.maySendOrders()
	if maySend {
		space.Left = maxOrderBytes
	}
	stops := space.Fit(len(message.Stops), func(index int) proto.Message { return message.Stops[index] })
	message.Stops, rest.Stops = message.Stops[:stops:stops], message.Stops[stops:]
	moves := space.Fit(len(message.Moves), func(index int) proto.Message { return message.Moves[index] })
	message.Moves, rest.Moves = message.Moves[:moves:moves], message.Moves[moves:]
	preempts := space.Fit(len(message.Preempts), func(index int) proto.Message { return message.Preempts[index] })
	message.Preempts, rest.Preempts = message.Preempts[:preempts:preempts], message.Preempts[preempts:]
	seen := space.Fit(len(message.Seen), func(index int) proto.Message { return message.Seen[index] })
	message.Seen, rest.Seen = message.Seen[:seen:seen], message.Seen[seen:]
	runs := space.Fit(len(message.Runs), func(index int) proto.Message { return message.Runs[index] })
	message.Runs, rest.Runs = message.Runs[:runs:runs], message.Runs[runs:]
	message.Starts = owner.takeStarts(view, space, now)
	if maySend && space.Left <= 0 {
		view.fullSequences = append(view.fullSequences, view.sentSequence+1)
	}
	return rest
}

// takeStarts returns the start orders for the agent's next message, as many as there is space for.
func (owner *Owner) takeStarts(view *agentView, space *wire.Space, now time.Time) []*wire.StartOrder {
	var orders []*wire.StartOrder
	for len(view.startsDue) > 0 && space.Left > 0 {
		run := view.startsDue[0]
		view.startsDue = view.startsDue[1:]
		if !owner.mayOrder(view, run, now) {
			continue
		}
		order := newStartOrder(run)
		space.Take(order)
		orders = append(orders, order)
		run.orderSequence = view.sentSequence + 1
		run.orderedEarlier = false
		owner.logRun(event.RunOrdered, run, slog.String("worker", run.place.Incarnation.WorkerID()), slog.Int64("message", run.orderSequence))
	}
	return orders
}

// newStartOrder returns the order to start a run.
func newStartOrder(run *trackedRun) *wire.StartOrder {
	j := run.task.Job()
	return &wire.StartOrder{
		Shard: int32(run.shard.number), Epoch: run.shard.epoch, Task: run.taskName, Attempt: run.attempt,
		Worker: run.place.Incarnation.WorkerID(), Born: run.place.Incarnation.StartedMs(),
		Spec: j.Submission().GetSpec(), Checkpoint: j.ResumeCheckpoint(run.task), Ticket: run.ticket, Demand: run.demand, Suspect: run.isSuspect,
	}
}

// releaseUnordered releases the runs of an agent that were not ordered before its connection ended, so that their tasks
// can be placed elsewhere at once.
func (owner *Owner) releaseUnordered(view *agentView, now time.Time) {
	due := view.startsDue
	view.startsDue = nil
	for _, run := range due {
		owner.mayOrder(view, run, now)
	}
}
