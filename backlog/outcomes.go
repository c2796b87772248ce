package backlog

import (
	"math"
	"time"

	"ambertiller.example/ambertiller/job"
)

const (
	// minRatio and maxRatio bound the ratio of one outcome. The lower bound is farther from 1, because forecasts that
	// are too late turn callers away without need.
	minRatio = 1.0 / 16
	maxRatio = 8
	// maxLearnedJobs is how many outcomes the mean ratio is taken over. With it, the ratio follows a change of load after
	// a few jobs, and one job with an unusual delay has a weight of an eighth.
	maxLearnedJobs = 8
	// ratioHalfLife is how long it takes a ratio and a deviation to lose half of their distance from 1, and half of their
	// weight, without outcomes. Forecasts that are too late turn callers away, and without jobs nothing corrects them, so
	// they must not outlast the load by much.
	ratioHalfLife = time.Minute
	// forgetAfter is when a thousandth of what was learned is left.
	forgetAfter = 10 * ratioHalfLife
)

// Outcomes learns the ratio of the time that jobs took to the time that was expected, by queue and need. For a job that
// was expected to start at once, the time counts from its start. In a burst, jobs arrive faster than backlogs are
// reported, and such a job's wait says nothing about the rate at which a known backlog drains.
type Outcomes struct {
	open    map[string]openJob // by job
	learned map[rowKey]learned
}

type openJob struct {
	key       rowKey
	expected  Expectation
	forecast  Forecast
	since     time.Time
	startedAt time.Time // zero until the job has started
	stoppedAt time.Time // zero until the job has ended
	excluded  bool      // its time says nothing about that of other jobs
}

// learned is the mean of ratios and their mean absolute deviation from it.
type learned struct {
	ratio, deviation float64
	jobs             float64 // outcomes in the mean, at most maxLearnedJobs
	at               time.Time
}

// NewOutcomes returns an Outcomes that has learned nothing.
func NewOutcomes() *Outcomes {
	return &Outcomes{open: map[string]openJob{}, learned: map[rowKey]learned{}}
}

// Outcome compares a forecast with the time that the job took.
type Outcome struct {
	expected Expectation
	forecast Forecast
	took     time.Duration
	ratio    float64
}

// Forecast returns the forecast that was made.
func (outcome Outcome) Forecast() Forecast { return outcome.forecast }

// Expected returns the expectation from which the forecast was made.
func (outcome Outcome) Expected() Expectation { return outcome.expected }

// Took returns the time from the forecast to the end of the job.
func (outcome Outcome) Took() time.Duration { return outcome.took }

// Ratio returns the time that the job took, divided by the time that was expected before it was corrected by what
// had been learned, as it counts for Outcomes. It is 0 if it does not count.
func (outcome Outcome) Ratio() float64 { return outcome.ratio }

// AddJob adds a job that is expected to start and to end as counted from now.
func (outcomes *Outcomes) AddJob(id string, work Work, expected Expectation, forecast Forecast, now time.Time) {
	if expected.end > 0 {
		outcomes.open[id] = openJob{key: work.key, expected: expected, forecast: forecast, since: now}
	}
}

// RecordStart records that a job has started.
func (outcomes *Outcomes) RecordStart(id string, now time.Time) {
	if open, found := outcomes.open[id]; found && open.startedAt.IsZero() {
		open.startedAt = now
		outcomes.open[id] = open
	}
}

// RecordEnd records that a job has ended although its end may not be in the store yet. The time until then counts.
func (outcomes *Outcomes) RecordEnd(id string, now time.Time) {
	if open, found := outcomes.open[id]; found && open.stoppedAt.IsZero() {
		open.stoppedAt = now
		outcomes.open[id] = open
	}
}

// ExcludeUnrepresentative excludes a job if its time says nothing about that of other jobs. This is so if a task waits
// because of its own constraints, or if the job was expected to start at once and, after its start, has more tasks than
// the workers have room for.
func (outcomes *Outcomes) ExcludeUnrepresentative(j *job.Job, tasks Tasks, now time.Time) {
	open, found := outcomes.open[j.ID()]
	if !found || open.excluded {
		return
	}
	isTooWide := open.expected.start == 0 && !open.startedAt.IsZero()
	for _, task := range j.Tasks() {
		if task.IsDue(now) && (isConstrained(task, tasks) || isTooWide && isUnplaced(task)) {
			outcomes.Exclude(j.ID())
			return
		}
	}
}

// Exclude excludes an open job from the ratio, however long it takes.
func (outcomes *Outcomes) Exclude(id string) {
	if open, found := outcomes.open[id]; found {
		open.excluded = true
		outcomes.open[id] = open
	}
}

// RemoveJob removes a job of which the outcome won't be known.
func (outcomes *Outcomes) RemoveJob(id string) { delete(outcomes.open, id) }

// Learn learns from a job that has ended, and removes it. It reports false if nothing was expected of the job, or if
// the job was not completed and doesn't count. Such a job would have taken longer, so it counts only if it is late
// already.
func (outcomes *Outcomes) Learn(id string, completed bool, now time.Time) (Outcome, bool) {
	ended, found := outcomes.open[id]
	delete(outcomes.open, id)
	if !found || !completed && (!ended.counts() || !ended.isLate(now)) {
		return Outcome{}, false
	}
	outcome := Outcome{expected: ended.expected, forecast: ended.forecast, took: now.Sub(ended.since)}
	if ended.counts() {
		outcome.ratio = ended.ratio(now)
		outcomes.learned[ended.key] = outcomes.learned[ended.key].decayed(now).with(outcome.ratio, 1)
	}
	return outcome, true
}

// Apply sets the ratios in a summary. An open job that has taken longer than expected counts with the time so far, so
// that the ratio rises before the job ends. The other open jobs count with the present ratio, so that the late ones
// don't determine the ratio alone.
func (outcomes *Outcomes) Apply(summary *Summary, now time.Time) {
	late := map[rowKey][]float64{}
	inTime := map[rowKey]int{}
	for _, open := range outcomes.open {
		switch {
		case !open.counts():
		case open.isLate(now):
			late[open.key] = append(late[open.key], open.ratio(now))
		default:
			inTime[open.key]++
		}
	}
	for key, found := range summary.rows {
		known, isLearned := outcomes.learned[key]
		if !isLearned && len(late[key]) == 0 {
			continue
		}
		current := known.decayed(now)
		current.jobs += float64(inTime[key])
		if len(late[key]) > 0 {
			current = current.with(mean(late[key]), float64(len(late[key])))
		}
		found.message.OutcomeRatio, found.message.OutcomeDeviation = current.ratio, current.deviation
	}
	outcomes.prune(now)
}

// prune removes what was learned of queues without recent outcomes, which may not exist any more.
func (outcomes *Outcomes) prune(now time.Time) {
	for key, known := range outcomes.learned {
		if now.Sub(known.at) > forgetAfter {
			delete(outcomes.learned, key)
		}
	}
}

// counts reports whether the time that the job takes can be compared with the expectation.
func (open openJob) counts() bool {
	return !open.excluded && (open.expected.start > 0 || !open.startedAt.IsZero())
}

// timeSoFar returns the time that is compared with the expectation, up to the end of the job or else to now.
func (open openJob) timeSoFar(now time.Time) time.Duration {
	if !open.stoppedAt.IsZero() {
		now = open.stoppedAt
	}
	if open.expected.start > 0 {
		return now.Sub(open.since)
	}
	return now.Sub(open.startedAt)
}

func (open openJob) isLate(now time.Time) bool { return open.timeSoFar(now) > open.expected.end }

// ratio returns the time so far divided by the expected time, within minRatio and maxRatio.
func (open openJob) ratio(now time.Time) float64 {
	return min(max(float64(open.timeSoFar(now))/float64(open.expected.end), minRatio), maxRatio)
}

// decayed returns what is learned as of now. Before the first outcome, a ratio of 1 and a deviation of 1 count
// as one job.
func (known learned) decayed(now time.Time) learned {
	if known.jobs == 0 {
		return learned{ratio: 1, deviation: 1, jobs: 1, at: now}
	}
	left := math.Exp2(-float64(max(now.Sub(known.at), 0)) / float64(ratioHalfLife))
	known.ratio = 1 + (known.ratio-1)*left
	known.deviation = 1 + (known.deviation-1)*left
	known.jobs = max(known.jobs*left, 1)
	known.at = now
	return known
}

// with returns the mean after a number of jobs with a ratio are added.
func (known learned) with(ratio, jobs float64) learned {
	share := jobs / (known.jobs + jobs)
	known.deviation += share * (math.Abs(ratio-known.ratio) - known.deviation)
	known.ratio += share * (ratio - known.ratio)
	known.jobs = min(known.jobs+jobs, maxLearnedJobs-1)
	return known
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum / float64(len(values))
}
