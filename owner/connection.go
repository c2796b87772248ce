package owner

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"storj.io/drpc"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/feature"
	"ambertiller.example/ambertiller/wire"
)

const (
	// outboxSize is how many messages may wait to be sent on a connection. If an agent reads too slowly
	// and more messages wait, the connection is closed and made again.
	outboxSize = 64
	// dialTimeout bounds an attempt to connect: a machine that is switched off does not refuse connections.
	dialTimeout = time.Second
	// minReconnectDelay is the pause before the first attempt to reconnect. It doubles with each failed
	// attempt, up to maxReconnectDelay.
	minReconnectDelay = 200 * time.Millisecond
	maxReconnectDelay = 2 * time.Second
	// ackTimeout is how long an agent may take to acknowledge a message, beyond the half second after which
	// it sends an acknowledgment at the latest. A connection may stop delivering data in either direction
	// while the kernel of the peer still acknowledges packets, so only an answer of the agent proves that it
	// works. A machine that temporarily runs five times slower still answers within 1 s.
	ackTimeout = 1500 * time.Millisecond
)

// agentConn is one connection to an agent.
type agentConn struct {
	outbox chan *wire.OwnerMessage
	cancel context.CancelFunc
}

// keepConnected connects to an agent, and reconnects whenever the connection ends, until ctx ends.
func (owner *Owner) keepConnected(ctx context.Context, view *agentView) {
	delay := minReconnectDelay
	for ctx.Err() == nil {
		if owner.connect(ctx, view) {
			delay = minReconnectDelay
		}
		owner.sleep(ctx, delay)
		delay = min(delay*2, maxReconnectDelay)
	}
}

// connect makes one connection to an agent and receives messages until it ends. It reports whether the agent
// has sent a message.
func (owner *Owner) connect(ctx context.Context, view *agentView) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	dialCtx, cancelDial := context.WithTimeout(ctx, dialTimeout)
	rpcConn, err := owner.options.Dial(dialCtx, view.address)
	cancelDial()
	if err != nil {
		return false
	}
	defer rpcConn.Close() //nolint:errcheck // The connection has ended in any case.
	stream, err := wire.NewDRPCAgentClient(rpcConn).Attach(ctx)
	if err != nil {
		return false
	}
	conn := &agentConn{outbox: make(chan *wire.OwnerMessage, outboxSize), cancel: cancel}
	go owner.sendMessages(ctx, view.address, conn, stream, rpcConn)
	owner.eventLoop.Post(func(now time.Time) { owner.handleConnected(view, conn) })
	received := false
	for {
		message, err := stream.Recv()
		if err != nil {
			owner.eventLoop.Post(func(now time.Time) { owner.handleDisconnected(view, conn, err, now) })
			return received
		}
		received = true
		owner.eventLoop.Post(func(now time.Time) { owner.handleAgentMessage(view, conn, message, now) })
	}
}

// sendMessages sends the messages in a connection's outbox until ctx ends or a message can't be sent.
func (owner *Owner) sendMessages(ctx context.Context, address string, conn *agentConn, stream wire.DRPCAgent_AttachClient, rpcConn drpc.Conn) {
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-conn.outbox:
			if err := stream.Send(message); err != nil {
				owner.log(event.MessageUnsent, slog.String("peer", address), slog.Int64("message", message.GetSequence()), slog.Any("error", err))
				conn.cancel()
				// The receiving goroutine reports the end of the connection.
				_ = rpcConn.Close()
				return
			}
		}
	}
}

// handleConnected resets the state that belongs to one connection. Everything is sent again on a new one.
func (owner *Owner) handleConnected(view *agentView, conn *agentConn) {
	view.conn = conn
	view.connectionCount++
	view.nextMessage = &wire.OwnerMessage{
		Owner: owner.MemberName(), FailureDomain: owner.options.FailureDomain, TakesChanges: true, Connection: view.connectionCount,
		TakesOffers: owner.options.Features.Has(feature.Offers), ProvesOwnership: true,
	}
	view.sentSequence, view.handledSequence = 0, 0
	view.claimSequences = map[int]int64{}
	view.claimsSent = false
	view.sentAt, view.ackDeadline = time.Time{}, time.Time{}
	view.receivedOnConn, view.keepsLearned, view.tellsBegun = false, false, false
	view.learnedSentAt, view.learnedSentVersion = time.Time{}, 0
	view.sentEvacuations = nil
	view.fullSequences = nil
	for _, run := range view.runs {
		run.orderedEarlier = !run.isUnordered()
		run.orderSequence = 0
	}
	owner.log(event.AgentAttached, slog.String("agent", view.address))
}

// handleDisconnected records that a connection has ended, unless a newer one has replaced it.
func (owner *Owner) handleDisconnected(view *agentView, conn *agentConn, err error, now time.Time) {
	if view.conn != conn {
		return
	}
	view.conn = nil
	owner.log(event.AgentLost, slog.String("agent", view.address), slog.Int("runs", len(view.runs)), slog.Any("error", err))
	owner.releaseUnordered(view, now)
}

// closeIfUnresponsive closes a connection on which the agent has not acknowledged messages in time, so that
// a new one is made.
func (owner *Owner) closeIfUnresponsive(view *agentView, now time.Time) {
	if view.conn == nil || view.ackDeadline.IsZero() || now.Before(view.ackDeadline) {
		return
	}
	owner.log(event.ConnectionSilent, slog.String("peer", view.address), slog.Duration("unanswered", now.Sub(view.lastMessageAt)))
	view.ackDeadline = time.Time{}
	view.conn.cancel()
}

// nextAckDeadline returns when an agent must have acknowledged a message that is sent now. Agents of earlier
// versions acknowledge the messages of an owner without shards only every idleSendInterval. They are
// recognized by not keeping interference estimates.
func (view *agentView) nextAckDeadline(now time.Time) time.Time {
	interval := grantInterval
	if !view.keepsLearned {
		interval = idleSendInterval
	}
	return now.Add(interval + ackTimeout)
}

// recordAcknowledged records up to which sequence number the agent has handled this owner's messages, and extends
// or clears the deadline for its next acknowledgment.
func (view *agentView) recordAcknowledged(handled int64, now time.Time) {
	switch {
	case handled >= view.sentSequence:
		view.ackDeadline = time.Time{}
	case handled > view.handledSequence:
		// The agent makes progress; the messages it has not handled yet were sent later.
		view.ackDeadline = view.nextAckDeadline(now)
	}
	view.handledSequence = handled
	view.fullSequences = slices.DeleteFunc(view.fullSequences, func(sequence int64) bool { return sequence <= handled })
}
