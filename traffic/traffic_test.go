package traffic_test

import (
	"context"
	"testing"

	"google.golang.org/protobuf/proto"

	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/traffic"
	"ambertiller.example/ambertiller/wire"
)

// loggedCount is what the attributes of a count say.
type loggedCount struct {
	kind            string
	sameDomain      bool
	messages, bytes int64
}

func takeCounts(sent *traffic.Counter) (counts []loggedCount, bytes int64) {
	for _, count := range sent.TakeCounts() {
		attributes := count.LogAttributes()
		one := loggedCount{
			kind: attributes[0].Value.String(), sameDomain: attributes[1].Value.Bool(),
			messages: attributes[2].Value.Int64(), bytes: attributes[3].Value.Int64(),
		}
		counts = append(counts, one)
		bytes += one.bytes
	}
	return counts, bytes
}

func TestMessagesAreCountedByPart(t *testing.T) {
	agentMessage := &wire.AgentMessage{
		Agent: "a", UptimeNanos: 5, Status: &wire.WorkerStatus{Worker: "i-1"}, Change: &wire.StatusChange{FreeMilliCpu: 7},
		Runs: []*wire.RunStatus{{Task: "t"}}, Ends: []*wire.RunEnd{{Task: "t"}}, Learned: []*job.Interference{{Serving: "s"}},
	}
	ownerMessage := &wire.OwnerMessage{
		GrantUntilNanos: 5, Starts: []*wire.StartOrder{{Task: "t"}}, Shards: []*wire.ShardEpoch{{Shard: 1}},
		LearnedByAll: []*job.Interference{{Serving: "s"}},
	}
	tests := map[string]struct {
		note  func(sent *traffic.Counter)
		kinds int
		bytes int
	}{
		"of an agent":  {func(sent *traffic.Counter) { sent.AddAgentMessage(context.Background(), agentMessage, true) }, 6, proto.Size(agentMessage)},
		"of an owner":  {func(sent *traffic.Counter) { sent.AddOwnerMessage(context.Background(), ownerMessage, true) }, 4, proto.Size(ownerMessage)},
		"an empty one": {func(sent *traffic.Counter) { sent.AddOwnerMessage(context.Background(), &wire.OwnerMessage{}, true) }, 0, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			sent := traffic.New(nil)
			test.note(sent)
			counts, bytes := takeCounts(sent)
			if len(counts) != test.kinds || bytes != int64(test.bytes) {
				t.Errorf("%d bytes of %v, want %d of %d kinds", bytes, counts, test.bytes, test.kinds)
			}
		})
	}
}

func TestTakeCountsResets(t *testing.T) {
	sent := traffic.New(nil)
	for _, near := range []bool{true, false, false} {
		sent.Add(context.Background(), traffic.KindRuns, near, 10)
	}
	counts, _ := takeCounts(sent)
	if len(counts) != 2 || counts[0] != (loggedCount{"runs", false, 2, 20}) || counts[1] != (loggedCount{"runs", true, 1, 10}) {
		t.Errorf("counted %v", counts)
	}
	if again, _ := takeCounts(sent); len(again) > 0 {
		t.Errorf("counted twice: %v", again)
	}
}
