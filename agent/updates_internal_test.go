package agent

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/wire"
)

// TestEndsAreDivided: many ends for one owner are divided into messages of a bounded size, in their order, and the runs are
// listed only with the last of them. It guards against messages that the owner refuses, and against a run whose end is
// still to come and which the owner therefore takes for lost.
func TestEndsAreDivided(t *testing.T) {
	clock := clockwork.NewFakeClock()
	tested := New(Options{Clock: clock, Events: event.Discard(), Shards: 8})
	owner := &session{fullUpdateDue: true}
	const ends = 50_000
	for number := range int64(ends) {
		owner.ends = append(owner.ends, &wire.RunEnd{Worker: "i-1", Number: number + 1, Task: fmt.Sprintf("0123456789abcdef.0.0.%d", number), Attempt: 1, Checkpoint: "00000bb87a21d94b"})
	}
	next := int64(1)
	for messages := 0; tested.isUpdateDue(owner, clock.Now()); messages++ {
		message := tested.nextMessage(owner, &wire.WorkerStatus{}, clock.Now())
		if size := proto.Size(message); size > 2*maxEndBytes {
			t.Fatalf("message %d has %d bytes", messages, size)
		}
		for _, end := range message.GetEnds() {
			if end.GetNumber() != next {
				t.Fatalf("end %d was sent, want %d", end.GetNumber(), next)
			}
			next++
		}
		if message.GetComplete() != (next > ends) {
			t.Fatalf("message %d lists the runs: %v, up to end %d of %d", messages, message.GetComplete(), next-1, ends)
		}
		clock.Advance(time.Second)
		if messages > ends {
			t.Fatal("the agent goes on sending")
		}
		owner.handledSequence = owner.acknowledgedSequence
		if next > ends {
			return
		}
	}
	t.Errorf("ends up to %d were sent, want %d", next-1, ends)
}
