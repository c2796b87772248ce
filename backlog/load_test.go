package backlog_test

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"
	"time"

	"ambertiller.example/ambertiller/backlog"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/wire"
)

const (
	step       = 100 * time.Millisecond
	shardCount = 2
	// slowdown is how much longer tasks take than estimated.
	slowdown = 1.5
)

// simulation simulates jobs of one task that wait for the cores of a service, first come, first served. Two owners
// report their backlogs once a second.
type simulation struct {
	t        *testing.T
	random   *rand.Rand
	now      time.Time
	cores    int
	table    *backlog.Table
	outcomes *backlog.Outcomes
	ended    [shardCount]*backlog.EndCounter
	open     []*simulatedJob // in the order of their arrival
	arrived  int
}

type simulatedJob struct {
	*job.Job
	forecast   backlog.Forecast
	known      bool
	arrivedAt  time.Time
	started    time.Time
	startedFor time.Duration // time until the end from started
	took       time.Duration
}

// ProgressPercent and LacksResources make simulation implement backlog.Tasks.
func (sim *simulation) ProgressPercent(*job.Task) int32 { return 50 }
func (sim *simulation) LacksResources(*job.Task) bool   { return true }

func newSimulation(t *testing.T) *simulation {
	sim := &simulation{
		t: t, random: rand.New(rand.NewSource(1)), now: time.Unix(1000, 0), cores: 20,
		table: backlog.NewTable(), outcomes: backlog.NewOutcomes(),
	}
	for shard := range sim.ended {
		sim.ended[shard] = backlog.NewEndCounter(sim.now)
	}
	return sim
}

// run simulates the load for a time, at an even rate of jobs a second, and returns the jobs that arrived.
func (sim *simulation) run(duration time.Duration, rate float64) []*simulatedJob {
	var arrived []*simulatedJob
	due := 0.0
	for end := sim.now.Add(duration); sim.now.Before(end); sim.now = sim.now.Add(step) {
		sim.endAndStart()
		if sim.now.UnixMilli()%1000 == 0 {
			sim.report()
		}
		for due += rate * step.Seconds(); due >= 1; due-- {
			arrived = append(arrived, sim.arrive())
		}
	}
	return arrived
}

func (sim *simulation) endAndStart() {
	free := sim.cores
	for _, simulated := range sim.open {
		task := simulated.Tasks()[0]
		if task.State() == job.TaskState_TASK_STARTED && sim.now.Sub(simulated.started) >= simulated.startedFor {
			simulated.EndRun(task, task.Attempt(), job.EndDone, "", sim.now)
			sim.ended[simulated.Shard()].AddTask(task, sim.now)
			sim.ended[simulated.Shard()].AddJob(simulated.Job, sim.now)
			sim.outcomes.Learn(simulated.ID(), true, sim.now)
			simulated.took = sim.now.Sub(simulated.arrivedAt)
		} else if task.State() == job.TaskState_TASK_STARTED {
			free--
		}
	}
	sim.open = slices.DeleteFunc(sim.open, func(simulated *simulatedJob) bool { return simulated.HasEnded() })
	for _, simulated := range sim.open {
		task := simulated.Tasks()[0]
		switch {
		case task.State() == job.TaskState_TASK_STARTED:
		case free > 0:
			simulated.StartRun(task, job.Place{}, sim.now)
			simulated.MarkRunning(sim.now)
			simulated.started = sim.now
			sim.outcomes.RecordStart(simulated.ID(), sim.now)
			free--
		case !task.IsUnplaced():
			task.MarkUnplaced("cpu", sim.now)
		}
	}
}

func (sim *simulation) report() {
	for shard := range shardCount {
		summary := backlog.NewSummary()
		for _, simulated := range sim.open {
			if simulated.Shard() == shard {
				summary.AddJob(simulated.Job, sim, sim.now)
			}
		}
		summary.AddEnded(sim.ended[shard], sim.now)
		sim.outcomes.Apply(summary, sim.now)
		report := &wire.OwnerBacklog{Shards: []int32{int32(shard)}, Queues: summary.Messages()}
		sim.table.Put(fmt.Sprint(shard), report, sim.now)
	}
}

func (sim *simulation) arrive() *simulatedJob {
	sim.arrived++
	submission := newSubmission(fmt.Sprint(sim.arrived))
	submission.Steps[0].EstimateMs = 1000 + sim.random.Int63n(2000)
	simulated := &simulatedJob{Job: job.New(submission, sim.arrived%shardCount), arrivedAt: sim.now}
	simulated.startedFor = time.Duration(float64(submission.GetSteps()[0].GetEstimateMs())*slowdown) * time.Millisecond
	sim.open = append(sim.open, simulated)
	sum := sim.table.Sum(shardCount, sim.now)
	if !sum.IsKnown() {
		return simulated
	}
	work := backlog.NewWork(simulated.Job)
	simulated.forecast, simulated.known = sum.Summary().Forecast(work, sum.Age())
	if expected, known := sum.Summary().Expect(work); known {
		sim.outcomes.AddJob(simulated.ID(), work, expected, simulated.forecast, sim.now)
	}
	return simulated
}

// errors returns by how much the forecasts of ended jobs were off, as shares of the time that the jobs took,
// sorted.
func (sim *simulation) errors(jobs []*simulatedJob) []float64 {
	var shares []float64
	for _, simulated := range jobs {
		if simulated.known && simulated.HasEnded() {
			shares = append(shares, math.Abs(float64(simulated.forecast.End()-simulated.took))/float64(simulated.took))
		}
	}
	slices.Sort(shares)
	if len(shares) < len(jobs)/2 {
		sim.t.Fatalf("%d of %d jobs had a forecast and ended", len(shares), len(jobs))
	}
	return shares
}

func newSubmission(id string) *job.Submission {
	return &job.Submission{
		Id: id, Queue: "r-1", Service: "verbale", Attempts: 1, Extension: 2,
		Steps: []*job.StepSpec{{Count: 1, MilliCpu: 1000, EstimateMs: 1000}},
	}
}

// TestForecastUnderLoad simulates a quiet phase, twice as much work as the cores can do, a burst, and a quiet phase
// again. A job may take about twice its time without waiting, so a forecast that is off by less than half distinguishes
// jobs that end within that time from jobs that take much longer.
func TestForecastUnderLoad(t *testing.T) {
	sim := newSimulation(t)
	sim.run(10*time.Second, 3)
	quiet := sim.run(20*time.Second, 3)
	overload := sim.run(30*time.Second, 13)
	sim.run(60*time.Second, 0)
	burst := sim.run(step, 1000)
	afterBurst := sim.run(10*time.Second, 3)
	sim.run(30*time.Second, 0)
	quietAgain := sim.run(20*time.Second, 3)
	sim.run(10*time.Second, 0)

	for name, jobs := range map[string][]*simulatedJob{"quiet": quiet, "quiet again": quietAgain} {
		for _, simulated := range jobs {
			waited := simulated.started.Sub(simulated.arrivedAt)
			if !simulated.known || simulated.forecast.Start() != 0 || waited > step {
				t.Errorf("%s: forecast to start after %v (known %v), started after %v",
					name, simulated.forecast.Start(), simulated.known, waited)
			}
		}
	}
	late := overload[len(overload)/3:] // those before that arrive while the cores fill up
	const bound = 0.5
	phases := map[string][]*simulatedJob{
		"quiet": quiet, "overload": late, "after the burst": afterBurst, "quiet again": quietAgain,
	}
	for name, jobs := range phases {
		shares := sim.errors(jobs)
		median, most := shares[len(shares)/2], shares[len(shares)*9/10]
		t.Logf("%s: %d forecasts, off by %.2f in the median, %.2f in the worst tenth", name, len(shares), median, most)
		if most > bound {
			t.Errorf("%s: forecasts are off by %.2f of the time taken in the worst tenth", name, most)
		}
	}
	if waited := burst[len(burst)-1].started.Sub(burst[len(burst)-1].arrivedAt); waited < 5*time.Second {
		t.Errorf("the last job of the burst waited for %v only", waited)
	}
}
