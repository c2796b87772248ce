package traffic

import (
	"context"

	"google.golang.org/protobuf/proto"

	"ambertiller.example/ambertiller/wire"
)

// AddAgentMessage counts the parts of a message from an agent to an owner.
func (counter *Counter) AddAgentMessage(ctx context.Context, message *wire.AgentMessage, sameDomain bool) {
	remaining := proto.Size(message)
	addPart := func(kind Kind, part *wire.AgentMessage) {
		size := proto.Size(part)
		remaining -= size
		counter.Add(ctx, kind, sameDomain, size)
	}
	addPart(KindStatus, &wire.AgentMessage{Status: message.GetStatus()})
	addPart(KindStatusChange, &wire.AgentMessage{Change: message.GetChange()})
	addPart(KindRuns, &wire.AgentMessage{Runs: message.GetRuns()})
	addPart(KindRunEnds, &wire.AgentMessage{Ends: message.GetEnds(), Results: message.GetResults()})
	addPart(KindLearned, &wire.AgentMessage{Learned: message.GetLearned()})
	counter.Add(ctx, KindOther, sameDomain, remaining)
}

// AddOwnerMessage counts the parts of a message from an owner to an agent.
func (counter *Counter) AddOwnerMessage(ctx context.Context, message *wire.OwnerMessage, sameDomain bool) {
	remaining := proto.Size(message)
	addPart := func(kind Kind, part *wire.OwnerMessage) {
		size := proto.Size(part)
		remaining -= size
		counter.Add(ctx, kind, sameDomain, size)
	}
	addPart(KindOrders, &wire.OwnerMessage{Starts: message.GetStarts(), Stops: message.GetStops(), Preempts: message.GetPreempts(), Seen: message.GetSeen(), Runs: message.GetRuns()})
	addPart(KindClaims, &wire.OwnerMessage{Shards: message.GetShards()})
	addPart(KindLearned, &wire.OwnerMessage{Learned: message.GetLearned(), LearnedByAll: message.GetLearnedByAll()})
	counter.Add(ctx, KindOther, sameDomain, remaining)
}
