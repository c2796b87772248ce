package backlog

import (
	"time"

	"ambertiller.example/ambertiller/wire"
)

// maxExpected bounds forecasts. No caller waits that long, and with a small rate a duration would overflow.
const maxExpected = time.Hour

// Expectation is when a job would start and end by the backlog alone, not corrected by what was learned from outcomes.
type Expectation struct {
	start, end time.Duration
	ahead      workAhead
}

// workAhead is what is ahead of a job, and how fast it drains.
type workAhead struct {
	waitingTasks               int32
	waitingCoreMs, endedCoreMs int64
	usedMilliCPU               int64
}

// End returns the time until the job ends.
func (expected Expectation) End() time.Duration { return expected.end }

// WaitingCoreMs returns the work that waits ahead of the job.
func (expected Expectation) WaitingCoreMs() int64 { return expected.ahead.waitingCoreMs }

// EndedCoreMs returns the work of the job's service and need that ended within Window.
func (expected Expectation) EndedCoreMs() int64 { return expected.ahead.endedCoreMs }

// UsedMilliCPU returns what the running tasks of the job's service and need use.
func (expected Expectation) UsedMilliCPU() int64 { return expected.ahead.usedMilliCPU }

// Expect returns when a job is expected to start and to end. It reports false if that is not known: if tasks ahead of
// the job lack resources and no work of its service and need has ended lately, or if the job runs by a schedule.
//
// Ahead of a job is the waiting work of the same service and need in queues that are at least as urgent. If the
// placement has found workers for all tasks of that work, the job is expected to start at once.
func (summary *Summary) Expect(work Work) (Expectation, bool) {
	if work.scheduled {
		return Expectation{}, false
	}
	ahead := summary.workAhead(work)
	if ahead.waitingTasks == 0 {
		return Expectation{end: work.criticalPath, ahead: ahead}, true
	}
	if ahead.endedCoreMs == 0 {
		return Expectation{}, false
	}
	start := ahead.drainTime(ahead.waitingCoreMs)
	end := start + max(work.criticalPath, ahead.drainTime(work.coreMs))
	return Expectation{start: start, end: end, ahead: ahead}, true
}

// drainTime returns how long the workers take for an amount of work.
func (ahead workAhead) drainTime(coreMs int64) time.Duration {
	return scale(Window, float64(coreMs)/float64(ahead.drainedPerWindow()))
}

// drainedPerWindow returns the work that the workers do within Window, in ms of one core. It is the work that ended
// within Window or, if that is more, what running tasks use: while a burst fills the workers, hardly any of its work
// has ended yet.
func (ahead workAhead) drainedPerWindow() int64 {
	return max(ahead.endedCoreMs, ahead.usedMilliCPU*Window.Milliseconds()/millisPerCore)
}

// DrainedCoreMsPerS returns the work of a service and need that is done in a second, in ms of one core. It is the rate
// by which Expect divides the work ahead of a job.
func (summary *Summary) DrainedCoreMsPerS(service string, need wire.TaskNeed) int64 {
	total := summary.workAhead(Work{key: rowKey{service: service, need: need}})
	return total.drainedPerWindow() * time.Second.Milliseconds() / Window.Milliseconds()
}

// workAhead returns what is ahead of a job. Running and ended work counts in queues of any priority, because the
// resources that less urgent work frees go to the job.
func (summary *Summary) workAhead(work Work) workAhead {
	total := workAhead{}
	for key, found := range summary.rows {
		if key.service != work.key.service || key.need != work.key.need {
			continue
		}
		total.endedCoreMs += found.message.GetEndedCoreMs()
		total.usedMilliCPU += found.message.GetUsedMilliCpu()
		if key.priority <= work.key.priority {
			total.waitingTasks += found.message.GetWaitingTasks()
			total.waitingCoreMs += found.message.GetWaitingCoreMs()
		}
	}
	return total
}

// Forecast returns when a job would start and end. It is the expectation, corrected by what was learned from outcomes
// in the job's queue. Before anything is learned, the deviation is the whole time to the end. A long-running job has no
// end, so the end of its forecast is its start. The age is that of the oldest backlog in the summary.
func (summary *Summary) Forecast(work Work, age time.Duration) (Forecast, bool) {
	expected, known := summary.Expect(work)
	if !known {
		return Forecast{}, false
	}
	return summary.Correct(work, expected, age), true
}

// Correct returns the forecast for a job of which the expectation is known; see Forecast.
func (summary *Summary) Correct(work Work, expected Expectation, age time.Duration) Forecast {
	ratio, deviation := 1.0, 1.0
	if found := summary.rows[work.key]; found != nil && found.message.GetOutcomeRatio() > 0 {
		ratio, deviation = found.message.GetOutcomeRatio(), found.message.GetOutcomeDeviation()
	}
	return NewForecast(scale(expected.start, ratio), scale(expected.end, ratio), scale(expected.end, deviation), age)
}

// scale multiplies a duration by a factor. The result is at most maxExpected.
func scale(duration time.Duration, factor float64) time.Duration {
	return time.Duration(min(float64(duration)*factor, float64(maxExpected)))
}
