package owner

import (
	"context"
	"log/slog"
	"time"

	"storj.io/drpc"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/wire"
)

const (
	// outboxSize is how many messages may wait to be sent; an agent that lets
	// more wait is connected to anew.
	outboxSize = 64
	// dialTimeout bounds a try to connect: a machine that is off does not refuse.
	dialTimeout = time.Second
	// minReconnectDelay keeps tries to connect apart; it doubles with each up to
	// maxReconnectDelay.
	minReconnectDelay = 200 * time.Millisecond
	maxReconnectDelay = 2 * time.Second
	// ackTimeout is how long an agent may leave the owner's messages unanswered, beyond
	// the half second that it takes at most to answer one: a connection may go silent for
	// good in either direction while the peer's kernel acknowledges, and only an answer
	// proves it sound. A machine that runs five times slower for a while answers within 1 s.
	ackTimeout = 1500 * time.Millisecond
)

// agentConn is one connection to an agent.
type agentConn struct {
	outbox chan *wire.OwnerMessage
	cancel context.CancelFunc
}

// keepConnected connects to an agent, again and again, until ctx ends.
func (owner *Owner) keepConnected(ctx context.Context, view *agentView) {
	pause := minReconnectDelay
	for ctx.Err() == nil {
		if owner.connect(ctx, view) {
			pause = minReconnectDelay
		}
		owner.sleep(ctx, pause)
		pause = min(pause*2, maxReconnectDelay)
	}
}

// connect connects once and stays until the connection ends. It reports whether
// the agent was reached.
func (owner *Owner) connect(ctx context.Context, view *agentView) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	dialled, done := context.WithTimeout(ctx, dialTimeout)
	conn, err := owner.options.Dial(dialled, view.address)
	done()
	if err != nil {
		return false
	}
	defer conn.Close() //nolint:errcheck // the connection has ended either way.
	stream, err := wire.NewDRPCAgentClient(conn).Attach(ctx)
	if err != nil {
		return false
	}
	made := &agentConn{outbox: make(chan *wire.OwnerMessage, outboxSize), cancel: cancel}
	go owner.sendMessages(ctx, made, stream, conn)
	owner.eventLoop.Post(func(now time.Time) { owner.handleConnected(view, made) })
	heard := false
	for {
		message, err := stream.Recv()
		if err != nil {
			owner.eventLoop.Post(func(now time.Time) { owner.handleDisconnected(view, made, err) })
			return heard
		}
		heard = true
		owner.eventLoop.Post(func(now time.Time) { owner.handleAgentMessage(view, made, message, now) })
	}
}

func (owner *Owner) sendMessages(ctx context.Context, made *agentConn, stream wire.DRPCAgent_AttachClient, conn drpc.Conn) {
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-made.outbox:
			if err := stream.Send(message); err != nil {
				made.cancel()
				// The reader reports the end of the connection.
				_ = conn.Close()
				return
			}
		}
	}
}

func (owner *Owner) handleConnected(view *agentView, made *agentConn) {
	view.conn = made
	view.connectionCount++
	view.nextMessage = &wire.OwnerMessage{
		Owner: owner.MemberName(), FailureDomain: owner.options.FailureDomain, TakesChanges: true, Connection: view.connectionCount,
	}
	view.sentSequence, view.handledSequence = 0, 0
	view.claimSequences = map[int]int64{}
	view.claimsSent = false
	view.sentAt, view.ackDeadline = time.Time{}, time.Time{}
	view.receivedOnConn, view.keepsLearned = false, false
	view.learnedSentAt, view.learnedSentVersion = time.Time{}, 0
	view.sentEvacuations = nil
	for _, entry := range view.runs {
		entry.orderedEarlier = true
		entry.orderSequence = 0
	}
	owner.log(event.AgentAttached, slog.String("agent", view.address))
}

func (owner *Owner) handleDisconnected(view *agentView, made *agentConn, err error) {
	if view.conn != made {
		return
	}
	view.conn = nil
	owner.log(event.AgentLost, slog.String("agent", view.address), slog.Int("runs", len(view.runs)), slog.Any("error", err))
}

// closeIfUnresponsive ends a connection on which the agent does not answer, so that another one is
// made.
func (owner *Owner) closeIfUnresponsive(view *agentView, now time.Time) {
	if view.conn == nil || view.ackDeadline.IsZero() || now.Before(view.ackDeadline) {
		return
	}
	owner.log(event.ConnectionSilent, slog.String("peer", view.address), slog.Duration("unanswered", now.Sub(view.lastMessageAt)))
	view.ackDeadline = time.Time{}
	view.conn.cancel()
}

// nextAckDeadline returns when an agent must have answered what is sent now. Agents of earlier
// builds answer an owner that has claimed no shard as seldom as it speaks.
func (view *agentView) nextAckDeadline(now time.Time) time.Time {
	pause := grantInterval
	if !view.keepsLearned {
		pause = idleSendInterval
	}
	return now.Add(pause + ackTimeout)
}

// recordHandled takes note of how far an agent has handled the owner's messages.
func (view *agentView) recordHandled(handled int64, now time.Time) {
	switch {
	case handled >= view.sentSequence:
		view.ackDeadline = time.Time{}
	case handled > view.handledSequence:
		// It goes on answering; what it has not come to was sent later.
		view.ackDeadline = view.nextAckDeadline(now)
	}
	view.handledSequence = handled
}
