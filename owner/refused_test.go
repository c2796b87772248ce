package owner

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/status"
	"ambertiller.example/ambertiller/wire"
)

// The fleet of the test: many owners that place on workers of which nearly all have slivers
// left and a few have room, and hear of what others have placed a while later.
const (
	fleetOwners  = 15
	fleetWorkers = 40
	fleetMilli   = 32_000
	roomyWorkers = 3
	wantedMilli  = 4600
	roundLength  = 100 * time.Millisecond
	viewAge      = 3 // rounds
	// waitMost is how long a lasting task may wait while there is room for it twice over.
	waitMost = 2 * time.Second
)

// fleet is the truth about the workers.
type fleet struct {
	free  [fleetWorkers]int64
	past  [][fleetWorkers]int64
	draws *rand.Rand
}

func newFleet(seed uint64) *fleet {
	made := &fleet{draws: rand.New(rand.NewPCG(seed, 5))}
	for number := range made.free {
		made.free[number] = 3500 + made.draws.Int64N(1200)
	}
	for number := range roomyWorkers {
		made.free[number] = 2*wantedMilli + made.draws.Int64N(4000)
	}
	return made
}

// churn has others' small tasks begin and end on the slivers.
func (made *fleet) churn() {
	for number := roomyWorkers; number < fleetWorkers; number++ {
		made.free[number] = 3500 + made.draws.Int64N(1200)
	}
	made.past = append(made.past, made.free)
}

// candidates are the workers as an owner hears of them: each as it was a while ago.
func (made *fleet) candidates() []*candidate {
	var workers []*candidate
	for number := range made.free {
		then := max(0, len(made.past)-1-made.draws.IntN(viewAge+1))
		view := newView(fmt.Sprintf("10.0.1.%d:7001", number))
		view.heard = status.NewHeard()
		view.heard.Note(&wire.AgentMessage{Status: &wire.WorkerStatus{
			Worker: fmt.Sprint("i-", number), Service: "verbale", Ready: true, MilliCpu: fleetMilli, MemoryMb: 1000, FreeMemoryMb: 1000,
			FreeMilliCpu: made.past[then][number], ServingImages: []string{"counter"},
		}})
		workers = append(workers, newCandidate(view))
	}
	return workers
}

// TestRefusedTaskFindsRoom: a lasting task that was refused for room, because others had
// taken it since the owner heard of it, does not go on to lose the race for slivers while
// other workers have room.
func TestRefusedTaskFindsRoom(t *testing.T) {
	for seed := range uint64(20) {
		truth := newFleet(seed)
		made := newBench(t)
		of := made.submitChanged(func(handed *job.Submission) {
			handed.Steps[0] = &job.StepSpec{Count: fleetOwners, MilliCpu: wantedMilli, MemoryMb: 1, Lasting: true, Image: "counter", TargetMs: 50}
		})
		// One lasting task for each owner, of which the roomy workers take some.
		placed := 0
		for round := range int(waitMost / roundLength) {
			truth.churn()
			for number := range fleetOwners {
				task := of.Tasks()[number]
				if task.State() == job.TaskState_TASK_STARTED {
					continue
				}
				best := made.owner.bestOf(task, truth.candidates(), made.clock.Now())
				if best == nil {
					continue
				}
				at := 0
				if _, err := fmt.Sscanf(best.view.status().GetWorker(), "i-%d", &at); err != nil {
					t.Fatal(err)
				}
				if truth.free[at] < wantedMilli {
					task.Refused()
					continue
				}
				truth.free[at] -= wantedMilli
				of.Start(task, job.Place{Worker: best.view.status().GetWorker(), Agent: best.view.address}, made.clock.Now())
				placed++
			}
			made.clock.Advance(roundLength)
			if placed >= roomyWorkers*2 {
				break
			}
			if round == int(waitMost/roundLength)-1 {
				t.Errorf("seed %d: %d tasks placed within %v, with room for %d", seed, placed, waitMost, roomyWorkers*2)
			}
		}
	}
}
