package traffic

import (
	"context"

	"google.golang.org/protobuf/proto"

	"ambertiller.example/ambertiller/wire"
)

// NoteAgent counts a message of an agent to an owner.
func (sent *Sent) NoteAgent(ctx context.Context, message *wire.AgentMessage, near bool) {
	rest := proto.Size(message)
	note := func(kind Kind, part *wire.AgentMessage) {
		size := proto.Size(part)
		rest -= size
		sent.Note(ctx, kind, near, size)
	}
	note(State, &wire.AgentMessage{Status: message.GetStatus()})
	note(Change, &wire.AgentMessage{Change: message.GetChange()})
	note(Runs, &wire.AgentMessage{Runs: message.GetRuns()})
	note(Ends, &wire.AgentMessage{Ends: message.GetEnds(), Results: message.GetResults()})
	note(Learned, &wire.AgentMessage{Learned: message.GetLearned()})
	sent.Note(ctx, Rest, near, rest)
}

// NoteOwner counts a message of an owner to an agent.
func (sent *Sent) NoteOwner(ctx context.Context, message *wire.OwnerMessage, near bool) {
	rest := proto.Size(message)
	note := func(kind Kind, part *wire.OwnerMessage) {
		size := proto.Size(part)
		rest -= size
		sent.Note(ctx, kind, near, size)
	}
	note(Orders, &wire.OwnerMessage{Starts: message.GetStarts(), Stops: message.GetStops(), Preempts: message.GetPreempts(), Seen: message.GetSeen(), Runs: message.GetRuns()})
	note(Claims, &wire.OwnerMessage{Shards: message.GetShards()})
	note(Learned, &wire.OwnerMessage{Learned: message.GetLearned(), LearnedByAll: message.GetLearnedByAll()})
	sent.Note(ctx, Rest, near, rest)
}
