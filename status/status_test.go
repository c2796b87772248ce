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

// newWorker returns the status of a worker with tolerances for two images.
func newWorker() *wire.WorkerStatus {
	return &wire.WorkerStatus{
		Worker: "i-1", Service: "verbale", FailureDomain: "torino", Labels: []string{"a", "r1-3"},
		MilliCpu: workerMilliCPU, MemoryMb: 125_000, FreeMilliCpu: 30_000, FreeMemoryMb: 100_000, Ready: true,
		ServingImages: []string{"counter"}, ToleratedMilliCpu: 9000,
		Tolerances:  []*wire.Tolerance{{Image: "quiet", MilliCpu: 1 << 31}, {Image: "loud", MilliCpu: 4000}},
		Reclaimable: []*wire.Reclaimable{{Priority: 2, MilliCpu: 1000}},
	}
}

// roundTrip returns the message as it arrives at the other end of a stream.
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

// TestEncode checks for each kind of change whether it is sent as a full status, as a change or not at all,
// and what the decoder makes of it.
func TestEncode(t *testing.T) {
	tests := map[string]struct {
		change               func(current *wire.WorkerStatus)
		sentFull, sentChange bool
		hasMoreFree          bool
	}{
		"no change":                             {func(*wire.WorkerStatus) {}, false, false, false},
		"resources taken":                       {func(current *wire.WorkerStatus) { current.FreeMilliCpu = 1000 }, false, true, false},
		"resources freed":                       {func(current *wire.WorkerStatus) { current.FreeMemoryMb = 110_000 }, false, true, true},
		"tolerance halved":                      {func(current *wire.WorkerStatus) { current.Tolerances[1].MilliCpu = 2000 }, false, true, false},
		"tolerance changed by less than a step": {func(current *wire.WorkerStatus) { current.Tolerances[1].MilliCpu = 4300 }, false, false, false},
		"tolerance beyond all processors":       {func(current *wire.WorkerStatus) { current.Tolerances[0].MilliCpu = 40_000 }, false, false, false},
		"tolerance turns negative":              {func(current *wire.WorkerStatus) { current.Tolerances[1].MilliCpu = -1 }, false, true, false},
		"tolerance for a new image": {func(current *wire.WorkerStatus) {
			current.Tolerances = append(current.Tolerances, &wire.Tolerance{Image: "new"})
		}, false, true, false},
		"serving images":        {func(current *wire.WorkerStatus) { current.ServingImages = nil }, false, true, false},
		"reclaimable resources": {func(current *wire.WorkerStatus) { current.Reclaimable = nil }, false, true, false},
		"draining":              {func(current *wire.WorkerStatus) { current.Draining = true }, true, false, false},
		"not ready":             {func(current *wire.WorkerStatus) { current.Ready = false }, true, false, false},
		"other incarnation":     {func(current *wire.WorkerStatus) { current.Worker = "i-2" }, true, false, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var encoder status.Encoder
			decoder := status.NewDecoder()
			first := &wire.AgentMessage{}
			encoder.Encode(first, newWorker())
			if !decoder.Apply(roundTrip(t, first)) {
				t.Error("Apply reported no free resources for the first message")
			}
			current := newWorker()
			test.change(current)
			second := &wire.AgentMessage{}
			encoder.Encode(second, current)
			if sent := second.GetStatus() != nil; sent != test.sentFull {
				t.Errorf("sent a full status: %v", sent)
			}
			if sent := second.GetChange() != nil; sent != test.sentChange {
				t.Errorf("sent a change: %v", sent)
			}
			if got := decoder.Apply(roundTrip(t, second)); got != test.hasMoreFree {
				t.Errorf("Apply reported more free resources: %v", got)
			}
			expectEqualStatus(t, decoder, current)
		})
	}
}

// expectEqualStatus fails the test if the decoded status differs from the current one by more than the step
// below which tolerances are not sent.
func expectEqualStatus(t *testing.T, decoder *status.Decoder, current *wire.WorkerStatus) {
	t.Helper()
	for _, tolerance := range current.GetTolerances() {
		got, want := decoder.Tolerance(tolerance.GetImage()), tolerance.GetMilliCpu()
		unlimited := got >= workerMilliCPU && want >= workerMilliCPU
		maxDifference := max(workerMilliCPU/640, max(got, -got)/10)
		if difference := max(got-want, want-got); !unlimited && (difference > maxDifference || (got < 0) != (want < 0)) {
			t.Errorf("%s: decoded tolerance %d, want %d", tolerance.GetImage(), got, want)
		}
	}
	got, want := proto.CloneOf(decoder.Status()), proto.CloneOf(current)
	got.Tolerances, want.Tolerances = nil, nil
	got.ToleratedMilliCpu, want.ToleratedMilliCpu = 0, 0
	if !proto.Equal(got, want) {
		t.Errorf("decoded %v, want %v", got, want)
	}
}

// TestDecoderFollowsWorker checks that the decoded status stays equal to the worker's through random changes
// in any order, and through streams that end and are replaced at any point.
func TestDecoderFollowsWorker(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 7))
		var encoder status.Encoder
		decoder := status.NewDecoder()
		current := newWorker()
		for range 200 {
			current = randomChange(current, random)
			if random.IntN(20) == 0 {
				encoder = status.Encoder{}
			}
			message := &wire.AgentMessage{}
			encoder.Encode(message, current)
			decoder.Apply(roundTrip(t, message))
			expectEqualStatus(t, decoder, current)
		}
	}
}

// randomChange returns a copy of the status with one random field changed.
func randomChange(before *wire.WorkerStatus, random *rand.Rand) *wire.WorkerStatus {
	current := proto.CloneOf(before)
	switch random.IntN(7) {
	case 0:
		current.FreeMilliCpu = random.Int64N(workerMilliCPU)
	case 1:
		current.Tolerances[random.IntN(len(current.Tolerances))].MilliCpu = random.Int64N(2*workerMilliCPU) - 1000
	case 2:
		current.Tolerances = append(current.Tolerances, &wire.Tolerance{Image: fmt.Sprint(len(current.Tolerances)), MilliCpu: random.Int64N(workerMilliCPU)})
	case 3:
		current.ServingImages = append(current.ServingImages, fmt.Sprint(random.IntN(9)))
	case 4:
		current.Worker = fmt.Sprint("i-", random.IntN(3))
	case 5:
		current.Draining = !current.Draining
	case 6:
		current.Reclaimable = []*wire.Reclaimable{{Priority: random.Int32N(3), MilliCpu: random.Int64N(5000)}}
	}
	return current
}

// TestInvalidToleranceNumberIgnored checks that a change with tolerance numbers that the stream has not
// introduced, or with more numbers than values, changes no tolerance.
func TestInvalidToleranceNumberIgnored(t *testing.T) {
	decoder := status.NewDecoder()
	decoder.Apply(&wire.AgentMessage{Status: newWorker()})
	decoder.Apply(&wire.AgentMessage{Change: &wire.StatusChange{
		FreeMilliCpu: 30_000, FreeMemoryMb: 100_000, ToleratedMilliCpu: 9000,
		Tolerance: []int32{9, -1, 1}, ToleranceMilliCpu: []int64{1, 2},
	}})
	expectEqualStatus(t, decoder, newWorker())
}
