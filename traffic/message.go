package traffic

import (
	"context"

	"google.golang.org/protobuf/proto"

	"ambertiller.example/ambertiller/wire"
)

// AddAgentMessage counts a message of an agent to an owner.
func (sent *Counter) AddAgentMessage(ctx context.Context, message *wire.AgentMessage, near bool) {
	rest := proto.Size(message)
	note := func(kind Kind, part *wire.AgentMessage) {
		size := proto.Size(part)
		rest -= size
		sent.Add(ctx, kind, near, size)
	}
	note(KindStatus, &wire.AgentMessage{Status: message.GetStatus()})
	note(KindStatusChange, &wire.AgentMessage{Change: message.GetChange()})
	note(KindRuns, &wire.AgentMessage{Runs: message.GetRuns()})
	note(KindRunEnds, &wire.AgentMessage{Ends: message.GetEnds(), Results: message.GetResults()})
	note(KindLearned, &wire.AgentMessage{Learned: message.GetLearned()})
	sent.Add(ctx, KindOther, near, rest)
}

// AddOwnerMessage counts a message of an owner to an agent.
func (sent *Counter) AddOwnerMessage(ctx context.Context, message *wire.OwnerMessage, near bool) {
	rest := proto.Size(message)
	note := func(kind Kind, part *wire.OwnerMessage) {
		size := proto.Size(part)
		rest -= size
		sent.Add(ctx, kind, near, size)
	}
	note(KindOrders, &wire.OwnerMessage{Starts: message.GetStarts(), Stops: message.GetStops(), Preempts: message.GetPreempts(), Seen: message.GetSeen(), Runs: message.GetRuns()})
	note(KindClaims, &wire.OwnerMessage{Shards: message.GetShards()})
	note(KindLearned, &wire.OwnerMessage{Learned: message.GetLearned(), LearnedByAll: message.GetLearnedByAll()})
	sent.Add(ctx, KindOther, near, rest)
}
