package traffic_test

import (
	"context"
	"testing"

	"google.golang.org/protobuf/proto"

	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/traffic"
	"ambertiller.example/ambertiller/wire"
)

// loggedCount holds the attributes of a count's log line.
type loggedCount struct {
	kind            string
	sameDomain      bool
	messages, bytes int64
}

// takeCounts returns the logged counts of a counter and the sum of their bytes.
func takeCounts(counter *traffic.Counter) (counts []loggedCount, bytes int64) {
	for _, count := range counter.TakeCounts() {
		attributes := count.LogAttributes()
		logged := loggedCount{
			kind: attributes[0].Value.String(), sameDomain: attributes[1].Value.Bool(),
			messages: attributes[2].Value.Int64(), bytes: attributes[3].Value.Int64(),
		}
		counts = append(counts, logged)
		bytes += logged.bytes
	}
	return counts, bytes
}

// TestMessagesAreCountedByPart checks that the sizes of the parts add up to that of the message.
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
		add   func(counter *traffic.Counter)
		kinds int
		bytes int
	}{
		"agent message": {func(counter *traffic.Counter) { counter.AddAgentMessage(context.Background(), agentMessage, true) }, 6, proto.Size(agentMessage)},
		"owner message": {func(counter *traffic.Counter) { counter.AddOwnerMessage(context.Background(), ownerMessage, true) }, 4, proto.Size(ownerMessage)},
		"empty message": {func(counter *traffic.Counter) {
			counter.AddOwnerMessage(context.Background(), &wire.OwnerMessage{}, true)
		}, 0, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			counter := traffic.New(nil)
			test.add(counter)
			counts, bytes := takeCounts(counter)
			if len(counts) != test.kinds || bytes != int64(test.bytes) {
				t.Errorf("counted %d bytes in %v, want %d bytes of %d kinds", bytes, counts, test.bytes, test.kinds)
			}
		})
	}
}

func TestTakeCountsResets(t *testing.T) {
	counter := traffic.New(nil)
	for _, sameDomain := range []bool{true, false, false} {
		counter.Add(context.Background(), traffic.KindRuns, sameDomain, 10)
	}
	counts, _ := takeCounts(counter)
	if len(counts) != 2 || counts[0] != (loggedCount{"runs", false, 2, 20}) || counts[1] != (loggedCount{"runs", true, 1, 10}) {
		t.Errorf("counts %v, want 20 bytes to another domain, then 10 bytes in the same one", counts)
	}
	if again, _ := takeCounts(counter); len(again) > 0 {
		t.Errorf("counts after a reset: %v", again)
	}
}
