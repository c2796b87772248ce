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

// load plays jobs of one task that wait for the cores of a service, first come, first served. Two owners report
// their backlogs once a second.
type load struct {
	t        *testing.T
	random   *rand.Rand
	now      time.Time
	cores    int
	table    *backlog.Table
	outcomes *backlog.Outcomes
	ended    [shardCount]*backlog.Ended
	open     []*playedJob // in the order of their arrival
	arrived  int
}

type playedJob struct {
	*job.Job
	forecast   backlog.Forecast
	known      bool
	arrivedAt  time.Time
	started    time.Time
	startedFor time.Duration // time until the end from started
	took       time.Duration
}

// ProgressPercent and LacksResources make load implement backlog.Tasks.
func (l *load) ProgressPercent(*job.Task) int32 { return 50 }
func (l *load) LacksResources(*job.Task) bool   { return true }

func newLoad(t *testing.T) *load {
	l := &load{
		t: t, random: rand.New(rand.NewSource(1)), now: time.Unix(1000, 0), cores: 20,
		table: backlog.NewTable(), outcomes: backlog.NewOutcomes(),
	}
	for shard := range l.ended {
		l.ended[shard] = backlog.NewEnded(l.now)
	}
	return l
}

// run plays the load for a time, at an even rate of jobs a second, and returns the jobs that arrived.
func (l *load) run(duration time.Duration, rate float64) []*playedJob {
	var arrived []*playedJob
	due := 0.0
	for end := l.now.Add(duration); l.now.Before(end); l.now = l.now.Add(step) {
		l.endAndStart()
		if l.now.UnixMilli()%1000 == 0 {
			l.report()
		}
		for due += rate * step.Seconds(); due >= 1; due-- {
			arrived = append(arrived, l.arrive())
		}
	}
	return arrived
}

func (l *load) endAndStart() {
	free := l.cores
	for _, played := range l.open {
		task := played.Tasks()[0]
		if task.State() == job.TaskState_TASK_STARTED && l.now.Sub(played.started) >= played.startedFor {
			played.EndRun(task, task.Attempt(), job.EndDone, "", l.now)
			l.ended[played.Shard()].AddTask(task, l.now)
			l.ended[played.Shard()].AddJob(played.Job, l.now)
			l.outcomes.End(played.ID(), true, l.now)
			played.took = l.now.Sub(played.arrivedAt)
		} else if task.State() == job.TaskState_TASK_STARTED {
			free--
		}
	}
	l.open = slices.DeleteFunc(l.open, func(played *playedJob) bool { return played.HasEnded() })
	for _, played := range l.open {
		task := played.Tasks()[0]
		switch {
		case task.State() == job.TaskState_TASK_STARTED:
		case free > 0:
			played.StartRun(task, job.Place{}, l.now)
			played.MarkRunning(l.now)
			played.started = l.now
			l.outcomes.Start(played.ID(), l.now)
			free--
		case !task.IsUnplaced():
			task.MarkUnplaced("cpu", l.now)
		}
	}
}

func (l *load) report() {
	for shard := range shardCount {
		summary := backlog.NewSummary()
		for _, played := range l.open {
			if played.Shard() == shard {
				summary.AddJob(played.Job, l, l.now)
			}
		}
		summary.AddEnded(l.ended[shard], l.now)
		l.outcomes.Apply(summary, l.now)
		report := &wire.OwnerBacklog{Shards: []int32{int32(shard)}, Queues: summary.Messages()}
		l.table.Put(fmt.Sprint(shard), report, l.now)
	}
}

func (l *load) arrive() *playedJob {
	l.arrived++
	submission := newSubmission(fmt.Sprint(l.arrived))
	submission.Steps[0].EstimateMs = 1000 + l.random.Int63n(2000)
	played := &playedJob{Job: job.New(submission, l.arrived%shardCount), arrivedAt: l.now}
	played.startedFor = time.Duration(float64(submission.GetSteps()[0].GetEstimateMs())*slowdown) * time.Millisecond
	l.open = append(l.open, played)
	sum := l.table.Sum(shardCount, l.now)
	if !sum.IsKnown() {
		return played
	}
	work := backlog.NewWork(played.Job)
	played.forecast, played.known = sum.Summary().Forecast(work, sum.Age())
	if expected, known := sum.Summary().Expect(work); known {
		l.outcomes.Expect(played.ID(), work, expected, played.forecast, l.now)
	}
	return played
}

// errors returns by how much the forecasts of ended jobs were off, as shares of the time that the jobs took,
// sorted.
func (l *load) errors(jobs []*playedJob) []float64 {
	var shares []float64
	for _, played := range jobs {
		if played.known && played.HasEnded() {
			shares = append(shares, math.Abs(float64(played.forecast.End()-played.took))/float64(played.took))
		}
	}
	slices.Sort(shares)
	if len(shares) < len(jobs)/2 {
		l.t.Fatalf("%d of %d jobs had a forecast and ended", len(shares), len(jobs))
	}
	return shares
}

func newSubmission(id string) *job.Submission {
	return &job.Submission{
		Id: id, Queue: "r-1", Service: "verbale", Attempts: 1, Extension: 2,
		Steps: []*job.StepSpec{{Count: 1, MilliCpu: 1000, EstimateMs: 1000}},
	}
}

// TestForecastUnderLoad plays a quiet phase, twice as much work as the cores can do, and a quiet phase again.
// Callers bear about twice the time that their job takes by itself, so a forecast that is off by less than half
// tells jobs that end within that time from those that take much longer.
func TestForecastUnderLoad(t *testing.T) {
	l := newLoad(t)
	l.run(10*time.Second, 3)
	quiet := l.run(20*time.Second, 3)
	overload := l.run(30*time.Second, 13)
	l.run(60*time.Second, 0)
	burst := l.run(step, 1000)
	afterBurst := l.run(10*time.Second, 3)
	l.run(30*time.Second, 0)
	quietAgain := l.run(20*time.Second, 3)
	l.run(10*time.Second, 0)

	for name, jobs := range map[string][]*playedJob{"quiet": quiet, "quiet again": quietAgain} {
		for _, played := range jobs {
			waited := played.started.Sub(played.arrivedAt)
			if !played.known || played.forecast.Start() != 0 || waited > step {
				t.Errorf("%s: forecast to start after %v (known %v), started after %v", name, played.forecast.Start(), played.known, waited)
			}
		}
	}
	late := overload[len(overload)/3:] // those before that arrive while the cores fill up
	const bound = 0.5
	phases := map[string][]*playedJob{"quiet": quiet, "overload": late, "after the burst": afterBurst, "quiet again": quietAgain}
	for name, jobs := range phases {
		shares := l.errors(jobs)
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
