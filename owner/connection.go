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
	// mailLength is how many messages may wait to be sent; an agent that lets
	// more wait is connected to anew.
	mailLength = 64
	// dialTimeout bounds a try to connect: a machine that is off does not refuse.
	dialTimeout = time.Second
	// attachPause keeps tries to connect apart; it doubles with each up to
	// attachSlower.
	attachPause  = 200 * time.Millisecond
	attachSlower = 2 * time.Second
	// answerWithin is how long an agent may leave the owner's messages unanswered, beyond
	// the half second that it takes at most to answer one: a connection may go silent for
	// good in either direction while the peer's kernel acknowledges, and only an answer
	// proves it sound. A machine that runs five times slower for a while answers within 1 s.
	answerWithin = 1500 * time.Millisecond
)

// link is one connection to an agent.
type link struct {
	outbox chan *wire.OwnerMessage
	cancel context.CancelFunc
}

// keepAttached connects to an agent, again and again, until ctx ends.
func (owner *Owner) keepAttached(ctx context.Context, view *agentView) {
	pause := attachPause
	for ctx.Err() == nil {
		if owner.attach(ctx, view) {
			pause = attachPause
		}
		owner.sleep(ctx, pause)
		pause = min(pause*2, attachSlower)
	}
}

// attach connects once and stays until the connection ends. It reports whether
// the agent was reached.
func (owner *Owner) attach(ctx context.Context, view *agentView) bool {
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
	made := &link{outbox: make(chan *wire.OwnerMessage, mailLength), cancel: cancel}
	go owner.send(ctx, made, stream, conn)
	owner.decisions.Post(func(now time.Time) { owner.noteAttached(view, made) })
	heard := false
	for {
		message, err := stream.Recv()
		if err != nil {
			owner.decisions.Post(func(now time.Time) { owner.noteDetached(view, made, err) })
			return heard
		}
		heard = true
		owner.decisions.Post(func(now time.Time) { owner.noteAgent(view, made, message, now) })
	}
}

func (owner *Owner) send(ctx context.Context, made *link, stream wire.DRPCAgent_AttachClient, conn drpc.Conn) {
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

func (owner *Owner) noteAttached(view *agentView, made *link) {
	view.link = made
	view.connections++
	view.message = &wire.OwnerMessage{
		Owner: owner.Member(), FailureDomain: owner.options.FailureDomain, TakesChanges: true, Connection: view.connections,
	}
	view.sequence, view.handled = 0, 0
	view.claimSeq = map[int]int64{}
	view.claimed = false
	view.sentAt, view.answerBy = time.Time{}, time.Time{}
	view.greeted, view.keepsLearned = false, false
	view.sharedAt, view.sharedVersion = time.Time{}, 0
	view.toldEvacuated = nil
	for _, entry := range view.runs {
		entry.prior = true
		entry.sequence = 0
	}
	owner.log(event.AgentAttached, slog.String("agent", view.address))
}

func (owner *Owner) noteDetached(view *agentView, made *link, err error) {
	if view.link != made {
		return
	}
	view.link = nil
	owner.log(event.AgentLost, slog.String("agent", view.address), slog.Int("runs", len(view.runs)), slog.Any("error", err))
}

// endSilent ends a connection on which the agent does not answer, so that another one is
// made.
func (owner *Owner) endSilent(view *agentView, now time.Time) {
	if view.link == nil || view.answerBy.IsZero() || now.Before(view.answerBy) {
		return
	}
	owner.log(event.ConnectionSilent, slog.String("peer", view.address), slog.Duration("unanswered", now.Sub(view.heardAt)))
	view.answerBy = time.Time{}
	view.link.cancel()
}

// awaitAnswer returns when an agent must have answered what is sent now. Agents of earlier
// builds answer an owner that has claimed no shard as seldom as it speaks.
func (view *agentView) awaitAnswer(now time.Time) time.Time {
	pause := grantEvery
	if !view.keepsLearned {
		pause = quietEvery
	}
	return now.Add(pause + answerWithin)
}

// noteAnswered takes note of how far an agent has handled the owner's messages.
func (view *agentView) noteAnswered(handled int64, now time.Time) {
	switch {
	case handled >= view.sequence:
		view.answerBy = time.Time{}
	case handled > view.handled:
		// It goes on answering; what it has not come to was sent later.
		view.answerBy = view.awaitAnswer(now)
	}
	view.handled = handled
}
