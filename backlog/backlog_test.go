package backlog_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"ambertiller.example/ambertiller/backlog"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/wire"
)

// waitingRow returns a row whose tasks wait, with 10 core seconds of work ahead and a rate of 2 cores.
func waitingRow() *wire.QueueBacklog {
	return &wire.QueueBacklog{
		Queue: "r-2", Service: "verbale", Priority: 1, Need: wire.TaskNeed_NEED_RESERVED, OpenJobs: 3, WaitingTasks: 2,
		WaitingCoreMs: 10_000, EndedCoreMs: 10_000, WindowMs: backlog.Window.Milliseconds(),
	}
}

// TestWorkAhead checks which work is ahead of a job of priority 1 with a task of one core for one second.
func TestWorkAhead(t *testing.T) {
	tests := map[string]struct {
		row        func(row *wire.QueueBacklog)
		submission func(submission *job.Submission)
		unknown    bool
		start, end time.Duration
	}{
		"same priority": {start: 5 * time.Second, end: 6 * time.Second},
		"more urgent work": {
			row: func(row *wire.QueueBacklog) { row.Priority = 0 }, start: 5 * time.Second, end: 6 * time.Second,
		},
		"less urgent work":  {row: func(row *wire.QueueBacklog) { row.Priority = 2 }, end: time.Second},
		"another service":   {row: func(row *wire.QueueBacklog) { row.Service = "sunt" }, end: time.Second},
		"another need":      {row: func(row *wire.QueueBacklog) { row.Need = wire.TaskNeed_NEED_FILL }, end: time.Second},
		"nothing waits":     {row: func(row *wire.QueueBacklog) { row.WaitingTasks = 0 }, end: time.Second},
		"nothing has ended": {row: func(row *wire.QueueBacklog) { row.EndedCoreMs = 0 }, unknown: true},
		"workers fill up": {
			row: func(row *wire.QueueBacklog) { row.UsedMilliCpu = 10_000 }, start: time.Second, end: 2 * time.Second,
		},
		"shorter window": {
			row: func(row *wire.QueueBacklog) { row.WindowMs /= 5 }, start: time.Second, end: 2 * time.Second,
		},
		"far too much ahead": {
			row: func(row *wire.QueueBacklog) { row.WaitingCoreMs = math.MaxInt64 }, start: time.Hour, end: time.Hour,
		},
		"scheduled job": {submission: func(submission *job.Submission) { submission.Rounds = 2 }, unknown: true},
		"wide job": {
			submission: func(submission *job.Submission) { submission.Steps[0].Count = 8 },
			start:      5 * time.Second, end: 9 * time.Second,
		},
		"long-running job": {submission: func(submission *job.Submission) { submission.Steps[0].Lasting = true }},
		"long-running job behind others": {
			row:        func(row *wire.QueueBacklog) { row.Need, row.EndedCoreMs = wire.TaskNeed_NEED_LASTING, 0 },
			submission: func(submission *job.Submission) { submission.Steps[0].Lasting = true },
			unknown:    true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			row, submission := waitingRow(), newSubmission("1")
			submission.Priority = 1
			if test.row != nil {
				test.row(row)
			}
			if test.submission != nil {
				test.submission(submission)
			}
			summary := backlog.NewSummary()
			summary.AddMessage(row)
			forecast, known := summary.Forecast(backlog.NewWork(job.New(submission, 0)), time.Second)
			if known == test.unknown || forecast.Start() != test.start || forecast.End() != test.end {
				t.Errorf("known %v, start %v, end %v", known, forecast.Start(), forecast.End())
			}
			if known && (forecast.Deviation() != forecast.End() || forecast.Age() != time.Second) {
				t.Errorf("deviation %v, age %v", forecast.Deviation(), forecast.Age())
			}
		})
	}
}

// TestSum checks the sum of reports that were received late, twice, from two owners of one shard, or not at all. It is
// taken over 3 shards, 1 s after the reports were received.
func TestSum(t *testing.T) {
	type reports []*wire.OwnerBacklog
	report := func(owner string, ageMs int64, jobs int32, shards ...int32) *wire.OwnerBacklog {
		queues := []*wire.QueueBacklog{{Queue: "r-1", OpenJobs: jobs}}
		return &wire.OwnerBacklog{Owner: owner, AgeMs: ageMs, Shards: shards, Queues: queues}
	}
	tests := map[string]struct {
		reports reports
		missing []int
		jobs    int32
		age     time.Duration
	}{
		"none":                {nil, []int{0, 1, 2}, 0, 0},
		"all":                 {reports{report("a", 0, 1, 0, 1), report("b", 500, 2, 2)}, nil, 3, 1500 * time.Millisecond},
		"one owner is silent": {reports{report("a", 0, 1, 0, 1)}, []int{2}, 1, time.Second},
		"without shards":      {reports{report("a", 0, 1, 0, 1, 2), report("b", 0, 2)}, nil, 1, time.Second},
		"received late":       {reports{report("a", 0, 1, 0, 1), report("b", 2001, 2, 2)}, []int{2}, 1, time.Second},
		"received twice":      {reports{report("a", 0, 1, 0, 1, 2), report("a", 0, 1, 0, 1, 2)}, nil, 1, time.Second},
		"received in reverse": {reports{report("a", 0, 1, 0, 1, 2), report("a", 900, 5, 0, 1, 2)}, nil, 1, time.Second},
		"moved as a whole": {
			reports{report("a", 0, 1, 0, 1), report("b", 900, 2, 2), report("c", 0, 2, 2)}, nil, 3, time.Second,
		},
		"moved in part":         {reports{report("a", 900, 1, 0, 1), report("b", 0, 2, 1, 2)}, []int{0}, 2, time.Second},
		"of another deployment": {reports{report("a", 0, 1, 0, 1, 2, 3)}, []int{0, 1, 2}, 0, 0},
		"same shard twice":      {reports{report("a", 0, 1, 0, 0)}, []int{0, 1, 2}, 0, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			table := backlog.NewTable()
			for _, report := range test.reports {
				table.Put(report.GetOwner(), report, now)
			}
			sum := table.Sum(3, now.Add(time.Second))
			jobs := int32(0)
			for _, row := range sum.Summary().Messages() {
				jobs += row.GetOpenJobs()
			}
			isKnown := test.missing == nil
			if !slices.Equal(sum.Missing(), test.missing) || sum.IsKnown() != isKnown ||
				jobs != test.jobs || sum.Age() != test.age {
				t.Errorf("missing %v, known %v, %d jobs, age %v", sum.Missing(), sum.IsKnown(), jobs, sum.Age())
			}
			table.Prune(now.Add(backlog.MaxAge + time.Millisecond))
			if left := table.Backlogs("", now); len(left) != 0 {
				t.Errorf("kept when too old: %v", left)
			}
		})
	}
}

// learner has jobs that are expected to wait for 9 s and to take 1 s, and learns from what they took.
type learner struct {
	now      time.Time
	outcomes *backlog.Outcomes
	summary  *backlog.Summary
	jobs     int
}

func newLearner() *learner {
	summary := backlog.NewSummary()
	row := waitingRow()
	row.Queue, row.Priority, row.WaitingCoreMs = "r-1", 0, 18_000
	summary.AddMessage(row)
	return &learner{now: time.Unix(1000, 0), outcomes: backlog.NewOutcomes(), summary: summary}
}

// forecast makes a forecast of a new job, whose outcome will be learned from, and returns the job's ID.
func (l *learner) forecast() string {
	l.jobs++
	id := fmt.Sprint(l.jobs)
	work := backlog.NewWork(job.New(newSubmission(id), 0))
	l.outcomes.Apply(l.summary, l.now)
	expected, _ := l.summary.Expect(work)
	forecast, _ := l.summary.Forecast(work, 0)
	l.outcomes.AddJob(id, work, expected, forecast, l.now)
	return id
}

func (l *learner) ratio() float64 {
	l.outcomes.Apply(l.summary, l.now)
	return l.summary.Messages()[0].GetOutcomeRatio()
}

// TestLearningIsStable checks that the ratio converges to the true one although forecasts are corrected by it, that
// it follows a change, and that it is forgotten.
func TestLearningIsStable(t *testing.T) {
	l := newLearner()
	for _, truth := range []float64{3, 0.5, 20, 0.01, 1} {
		for range 10 {
			var ids []string
			for range 20 {
				id := l.forecast()
				ids = append(ids, id)
			}
			l.now = l.now.Add(time.Duration(truth * float64(10*time.Second)))
			for _, id := range ids {
				l.outcomes.Learn(id, true, l.now)
			}
			if ratio := l.ratio(); ratio < 1.0/16 || ratio > 8 {
				t.Fatalf("ratio %v is out of bounds", ratio)
			}
		}
		want := min(max(truth, 1.0/16), 8)
		if ratio := l.ratio(); math.Abs(ratio-want) > 0.1*want {
			t.Errorf("ratio %v after jobs that took %v times the expected time", ratio, truth)
		}
	}
	id := l.forecast()
	l.now = l.now.Add(80 * time.Second)
	l.outcomes.Learn(id, true, l.now)
	before := l.ratio()
	l.now = l.now.Add(time.Hour)
	if after := l.ratio(); before < 1.5 || math.Abs(after-1) > 0.01 {
		t.Errorf("ratio %v, and %v an hour later", before, after)
	}
}

// TestLateJobsCount checks that the ratio rises while jobs that are late are still open, also if they are cancelled
// then, and that jobs of another owner don't count any more.
func TestLateJobsCount(t *testing.T) {
	l := newLearner()
	for range 8 {
		l.forecast()
	}
	if ratio := l.ratio(); ratio != 0 {
		t.Fatalf("ratio %v of nothing", ratio)
	}
	l.now = l.now.Add(40 * time.Second)
	if ratio := l.ratio(); ratio < 3.5 || ratio > 4 {
		t.Errorf("ratio %v while all jobs have taken 4 times the expected time", ratio)
	}
	for id := range 8 {
		if id < 4 {
			l.outcomes.RemoveJob(fmt.Sprint(id + 1))
		} else if _, counted := l.outcomes.Learn(fmt.Sprint(id+1), false, l.now); !counted {
			t.Error("a cancelled job that was late does not count")
		}
	}
	if ratio := l.ratio(); ratio < 3 || ratio > 4 {
		t.Errorf("ratio %v after late jobs were cancelled", ratio)
	}
	id := l.forecast()
	if _, counted := l.outcomes.Learn(id, false, l.now); counted {
		t.Error("a job that was cancelled in time counts")
	}
}

// TestSizeOfBacklog checks that the bytes of a backlog depend on its queues, not on the number of jobs.
func TestSizeOfBacklog(t *testing.T) {
	size := func(jobs int) int {
		summary := backlog.NewSummary()
		sim := newSimulation(t)
		for index := range jobs {
			submission := newSubmission(fmt.Sprint(index))
			submission.Queue = fmt.Sprintf("r-%d", index%10)
			summary.AddJob(job.New(submission, 0), sim, sim.now)
		}
		return proto.Size(&wire.OwnerBacklog{Owner: "a", Shards: []int32{1}, Queues: summary.Messages()})
	}
	few, many := size(10), size(10_000)
	t.Logf("%d bytes for 10 jobs in 10 queues, %d for 10,000", few, many)
	if many > 10*100 || many > 2*few {
		t.Errorf("%d bytes for 10 jobs in 10 queues, %d for 10,000", few, many)
	}
}

// TestQuietQueueIsForgotten checks that a queue whose callers were kept away by late forecasts, so that it has no
// outcomes, is soon forecast with little correction again, and with a large deviation.
func TestQuietQueueIsForgotten(t *testing.T) {
	l := newLearner()
	var ids []string
	for range 50 {
		ids = append(ids, l.forecast())
	}
	l.now = l.now.Add(80 * time.Second)
	for _, id := range ids {
		l.outcomes.Learn(id, true, l.now)
	}
	if ratio := l.ratio(); ratio < 7 {
		t.Fatalf("ratio %v after jobs that took 8 times the expected time", ratio)
	}
	l.now = l.now.Add(3 * time.Minute)
	ratio, deviation := l.ratio(), l.summary.Messages()[0].GetOutcomeDeviation()
	if ratio > 2 || deviation < 0.5 {
		t.Errorf("ratio %v, deviation %v after 3 minutes without outcomes", ratio, deviation)
	}
}

// TestExcludedJobDoesNotCount checks that a job that its own constraints keep waiting doesn't raise the ratio of its
// queue.
func TestExcludedJobDoesNotCount(t *testing.T) {
	l := newLearner()
	id := l.forecast()
	l.outcomes.Exclude(id)
	l.now = l.now.Add(time.Minute)
	if ratio := l.ratio(); ratio != 0 {
		t.Errorf("ratio %v while the job waits", ratio)
	}
	if outcome, logged := l.outcomes.Learn(id, true, l.now); !logged || outcome.Ratio() != 0 || l.ratio() != 0 {
		t.Errorf("logged %v, ratio of the job %v, of the queue %v", logged, outcome.Ratio(), l.ratio())
	}
}

// TestOldOutcomesAreRemoved checks that nothing is kept of a queue that had no outcomes for long.
func TestOldOutcomesAreRemoved(t *testing.T) {
	l := newLearner()
	id := l.forecast()
	l.now = l.now.Add(80 * time.Second)
	l.outcomes.Learn(id, true, l.now)
	for _, want := range []bool{true, true, false} {
		row := newLearner().summary
		l.outcomes.Apply(row, l.now)
		if ratio := row.Messages()[0].GetOutcomeRatio(); (ratio > 0) != want {
			t.Errorf("ratio %v, want one: %v", ratio, want)
		}
		l.now = l.now.Add(time.Hour)
	}
}

// TestEndThatWaitsForStore checks that a job that has ended in time doesn't become late while its end waits for the
// store.
func TestEndThatWaitsForStore(t *testing.T) {
	l := newLearner()
	id := l.forecast()
	l.now = l.now.Add(10 * time.Second)
	l.outcomes.RecordEnd(id, l.now)
	l.now = l.now.Add(time.Minute)
	if ratio := l.ratio(); ratio != 0 {
		t.Errorf("ratio %v while the store is away", ratio)
	}
}

// TestDrainedCoreMsPerS checks the rate at which work of a service and need ends, over the queues of any priority.
func TestDrainedCoreMsPerS(t *testing.T) {
	row := func(queue, service string, need wire.TaskNeed, ended, used int64) *wire.QueueBacklog {
		return &wire.QueueBacklog{
			Queue: queue, Service: service, Need: need, EndedCoreMs: ended, WindowMs: backlog.Window.Milliseconds(),
			UsedMilliCpu: used,
		}
	}
	const fill, reserved = wire.TaskNeed_NEED_FILL, wire.TaskNeed_NEED_RESERVED
	tests := map[string]struct {
		rows []*wire.QueueBacklog
		want int64
	}{
		"nothing known": {nil, 0},
		"two queues": {
			[]*wire.QueueBacklog{row("a", "s", fill, 5000, 0), row("b", "s", fill, 10000, 500)}, 3000,
		},
		"more in use than has ended": {[]*wire.QueueBacklog{row("a", "s", fill, 5000, 4000)}, 4000},
		"another service or need": {
			[]*wire.QueueBacklog{row("a", "other", fill, 5000, 0), row("a", "s", reserved, 5000, 0)}, 0,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			summary := backlog.NewSummary()
			for _, row := range test.rows {
				summary.AddMessage(row)
			}
			if got := summary.DrainedCoreMsPerS("s", fill); got != test.want {
				t.Errorf("got %d, want %d", got, test.want)
			}
		})
	}
}
