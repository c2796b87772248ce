package status_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"google.golang.org/protobuf/proto"

	"ambertiller.example/ambertiller/status"
	"ambertiller.example/ambertiller/wire"
)

const workerMilliCPU = 32_000

// newWorker returns the state of a worker with tolerances for a few images.
func newWorker() *wire.WorkerStatus {
	return &wire.WorkerStatus{
		Worker: "i-1", Service: "verbale", FailureDomain: "torino", Labels: []string{"a", "r1-3"},
		MilliCpu: workerMilliCPU, MemoryMb: 125_000, FreeMilliCpu: 30_000, FreeMemoryMb: 100_000, Ready: true,
		ServingImages: []string{"counter"}, ToleratedMilliCpu: 9000,
		Tolerances:  []*wire.Tolerance{{Image: "quiet", MilliCpu: 1 << 31}, {Image: "loud", MilliCpu: 4000}},
		Reclaimable: []*wire.Reclaimable{{Priority: 2, MilliCpu: 1000}},
	}
}

// roundTrip passes a message on as a stream does.
func roundTrip(t *testing.T, message *wire.AgentMessage) *wire.AgentMessage {
	t.Helper()
	data, err := proto.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	passed := &wire.AgentMessage{}
	if err := proto.Unmarshal(data, passed); err != nil {
		t.Fatal(err)
	}
	return passed
}

func TestEncode(t *testing.T) {
	tests := map[string]struct {
		change          func(now *wire.WorkerStatus)
		whole, asChange bool
		grew            bool
	}{
		"nothing":                    {func(*wire.WorkerStatus) {}, false, false, false},
		"room that is taken":         {func(now *wire.WorkerStatus) { now.FreeMilliCpu = 1000 }, false, true, false},
		"room that is given back":    {func(now *wire.WorkerStatus) { now.FreeMemoryMb = 110_000 }, false, true, true},
		"a tolerance":                {func(now *wire.WorkerStatus) { now.Tolerances[1].MilliCpu = 2000 }, false, true, false},
		"a tolerance, hardly":        {func(now *wire.WorkerStatus) { now.Tolerances[1].MilliCpu = 4300 }, false, false, false},
		"a tolerance, without end":   {func(now *wire.WorkerStatus) { now.Tolerances[0].MilliCpu = 40_000 }, false, false, false},
		"a tolerance, below zero":    {func(now *wire.WorkerStatus) { now.Tolerances[1].MilliCpu = -1 }, false, true, false},
		"an image that is new":       {func(now *wire.WorkerStatus) { now.Tolerances = append(now.Tolerances, &wire.Tolerance{Image: "new"}) }, false, true, false},
		"images that serve":          {func(now *wire.WorkerStatus) { now.ServingImages = nil }, false, true, false},
		"runs that can be stopped":   {func(now *wire.WorkerStatus) { now.Reclaimable = nil }, false, true, false},
		"a worker that drains":       {func(now *wire.WorkerStatus) { now.Draining = true }, true, false, false},
		"a worker that is not heard": {func(now *wire.WorkerStatus) { now.Ready = false }, true, false, false},
		"another incarnation":        {func(now *wire.WorkerStatus) { now.Worker = "i-2" }, true, false, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var told status.Encoder
			heard := status.NewDecoder()
			first := &wire.AgentMessage{}
			told.Encode(first, newWorker())
			if !heard.Apply(roundTrip(t, first)) {
				t.Error("the first message brought no room")
			}
			now := newWorker()
			test.change(now)
			second := &wire.AgentMessage{}
			told.Encode(second, now)
			if whole := second.GetStatus() != nil; whole != test.whole {
				t.Errorf("told whole: %v", whole)
			}
			if changed := second.GetChange() != nil; changed != test.asChange {
				t.Errorf("told as a change: %v", changed)
			}
			if grew := heard.Apply(roundTrip(t, second)); grew != test.grew {
				t.Errorf("room grew: %v", grew)
			}
			expectEqualStatus(t, heard, now)
		})
	}
}

// expectEqualStatus fails where what was heard differs from what is by more than a tolerance
// that hardly moved.
func expectEqualStatus(t *testing.T, heard *status.Decoder, now *wire.WorkerStatus) {
	t.Helper()
	for _, known := range now.GetTolerances() {
		got, want := heard.Tolerance(known.GetImage()), known.GetMilliCpu()
		beyond := got >= workerMilliCPU && want >= workerMilliCPU
		most := max(workerMilliCPU/640, max(got, -got)/10)
		if off := max(got-want, want-got); !beyond && (off > most || (got < 0) != (want < 0)) {
			t.Errorf("%s: heard of %d, is %d", known.GetImage(), got, want)
		}
	}
	got, want := proto.CloneOf(heard.Status()), proto.CloneOf(now)
	got.Tolerances, want.Tolerances = nil, nil
	got.ToleratedMilliCpu, want.ToleratedMilliCpu = 0, 0
	if !proto.Equal(got, want) {
		t.Errorf("heard of %v, is %v", got, want)
	}
}

// TestDecoderFollowsWorker: whatever changes, in whatever order, and wherever a stream
// ends and another begins, what is heard is what is.
func TestDecoderFollowsWorker(t *testing.T) {
	for seed := range uint64(50) {
		draws := rand.New(rand.NewPCG(seed, 7))
		var told status.Encoder
		heard := status.NewDecoder()
		now := newWorker()
		for range 200 {
			now = randomChange(now, draws)
			if draws.IntN(20) == 0 {
				told = status.Encoder{}
			}
			message := &wire.AgentMessage{}
			told.Encode(message, now)
			heard.Apply(roundTrip(t, message))
			expectEqualStatus(t, heard, now)
		}
	}
}

// randomChange returns a worker of which something has changed.
func randomChange(before *wire.WorkerStatus, draws *rand.Rand) *wire.WorkerStatus {
	now := proto.CloneOf(before)
	switch draws.IntN(7) {
	case 0:
		now.FreeMilliCpu = draws.Int64N(workerMilliCPU)
	case 1:
		now.Tolerances[draws.IntN(len(now.Tolerances))].MilliCpu = draws.Int64N(2*workerMilliCPU) - 1000
	case 2:
		now.Tolerances = append(now.Tolerances, &wire.Tolerance{Image: fmt.Sprint(len(now.Tolerances)), MilliCpu: draws.Int64N(workerMilliCPU)})
	case 3:
		now.ServingImages = append(now.ServingImages, fmt.Sprint(draws.IntN(9)))
	case 4:
		now.Worker = fmt.Sprint("i-", draws.IntN(3))
	case 5:
		now.Draining = !now.Draining
	case 6:
		now.Reclaimable = []*wire.Reclaimable{{Priority: draws.Int32N(3), MilliCpu: draws.Int64N(5000)}}
	}
	return now
}

// TestInvalidToleranceNumberIgnored: numbers that the stream has not told of change nothing.
func TestInvalidToleranceNumberIgnored(t *testing.T) {
	heard := status.NewDecoder()
	heard.Apply(&wire.AgentMessage{Status: newWorker()})
	heard.Apply(&wire.AgentMessage{Change: &wire.StatusChange{
		FreeMilliCpu: 30_000, FreeMemoryMb: 100_000, ToleratedMilliCpu: 9000,
		Tolerance: []int32{9, -1, 1}, ToleranceMilliCpu: []int64{1, 2},
	}})
	expectEqualStatus(t, heard, newWorker())
}
