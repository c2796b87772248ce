package traffic_test

import (
	"context"
	"testing"

	"google.golang.org/protobuf/proto"

	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/traffic"
	"ambertiller.example/ambertiller/wire"
)

// counted is what the attributes of a count say.
type counted struct {
	kind            string
	near            bool
	messages, bytes int64
}

func take(sent *traffic.Sent) (counts []counted, bytes int64) {
	for _, count := range sent.Take() {
		attributes := count.Attributes()
		one := counted{
			kind: attributes[0].Value.String(), near: attributes[1].Value.Bool(),
			messages: attributes[2].Value.Int64(), bytes: attributes[3].Value.Int64(),
		}
		counts = append(counts, one)
		bytes += one.bytes
	}
	return counts, bytes
}

func TestMessagesAreCountedByTheirParts(t *testing.T) {
	agentMessage := &wire.AgentMessage{
		Agent: "a", UptimeNanos: 5, Status: &wire.WorkerStatus{Worker: "i-1"}, Change: &wire.StatusChange{FreeMilliCpu: 7},
		Runs: []*wire.RunStatus{{Task: "t"}}, Ends: []*wire.RunEnd{{Task: "t"}}, Learned: []*job.Interference{{Serving: "s"}},
	}
	ownerMessage := &wire.OwnerMessage{
		GrantUntilNanos: 5, Starts: []*wire.StartOrder{{Task: "t"}}, Shards: []*wire.ShardEpoch{{Shard: 1}},
		LearnedByAll: []*job.Interference{{Serving: "s"}},
	}
	tests := map[string]struct {
		note  func(sent *traffic.Sent)
		kinds int
		bytes int
	}{
		"of an agent":  {func(sent *traffic.Sent) { sent.NoteAgent(context.Background(), agentMessage, true) }, 6, proto.Size(agentMessage)},
		"of an owner":  {func(sent *traffic.Sent) { sent.NoteOwner(context.Background(), ownerMessage, true) }, 4, proto.Size(ownerMessage)},
		"an empty one": {func(sent *traffic.Sent) { sent.NoteOwner(context.Background(), &wire.OwnerMessage{}, true) }, 0, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			sent := traffic.New(nil)
			test.note(sent)
			counts, bytes := take(sent)
			if len(counts) != test.kinds || bytes != int64(test.bytes) {
				t.Errorf("%d bytes of %v, want %d of %d kinds", bytes, counts, test.bytes, test.kinds)
			}
		})
	}
}

func TestTakeBeginsAnew(t *testing.T) {
	sent := traffic.New(nil)
	for _, near := range []bool{true, false, false} {
		sent.Note(context.Background(), traffic.Runs, near, 10)
	}
	counts, _ := take(sent)
	if len(counts) != 2 || counts[0] != (counted{"runs", false, 2, 20}) || counts[1] != (counted{"runs", true, 1, 10}) {
		t.Errorf("counted %v", counts)
	}
	if again, _ := take(sent); len(again) > 0 {
		t.Errorf("counted twice: %v", again)
	}
}
