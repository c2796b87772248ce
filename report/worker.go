package report

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// WorkerUsage is how one incarnation of a worker was used.
type WorkerUsage struct {
	Incarnation  string        `json:"worker"`
	Machine      string        `json:"machine"`
	ObservedTime time.Duration `json:"known"` // from its first heartbeat, or run, to its last end
	// Cores is what the worker has, Serving and Other what tasks that serve and other
	// tasks that hold processors held on average, Filling what tasks that fill asked
	// for on average.
	Cores        float64 `json:"cores"`
	ServingCores float64 `json:"serving"`
	OtherCores   float64 `json:"other"`
	FillCores    float64 `json:"filling"`
	// ServingImages counts the serving images that it had.
	ServingImages int           `json:"images"`
	MissTime      time.Duration `json:"over"`
	Evictions     int           `json:"evicted"`
	LostRuns      int           `json:"lost"`
}

// workerHistory is the life of one incarnation of a worker.
type workerHistory struct {
	id, machine string
	milliCPU    int64
	firstSeenAt time.Time
	replacedAt  time.Time // when another incarnation stood at its machine; zero if none
	runs        []*runHistory
}

func (of *workerHistory) updateFromHeartbeat(one *line) {
	of.machine, of.milliCPU = one.Name, one.MilliCPU
	if of.firstSeenAt.IsZero() {
		of.firstSeenAt = one.At
	}
}

func (past *history) workerUsage() []WorkerUsage {
	over := map[string]time.Duration{}
	for _, one := range past.misses {
		if one.run != nil {
			over[one.run.worker] += one.to.Sub(one.from)
		}
	}
	var found []WorkerUsage
	for _, of := range past.workers {
		used := of.usage(past.to)
		used.MissTime = over[of.id]
		found = append(found, used)
	}
	slices.SortFunc(found, func(a, b WorkerUsage) int {
		return cmp.Or(cmp.Compare(b.MissTime, a.MissTime), strings.Compare(a.Machine, b.Machine), strings.Compare(a.Incarnation, b.Incarnation))
	})
	return found
}

// usage sums up what ran on a worker.
func (of *workerHistory) usage(end time.Time) WorkerUsage {
	used := WorkerUsage{Incarnation: of.id, Machine: of.machine, Cores: float64(of.milliCPU) / millisPerUnit}
	from, to := of.firstSeenAt, of.firstSeenAt
	images := map[string]bool{}
	for _, run := range of.runs {
		if from.IsZero() || run.placedAt.Before(from) {
			from = run.placedAt
		}
		until := of.releasedAt(run, end)
		if until.After(to) {
			to = until
		}
		used.addRun(run, until)
		if run.isServing {
			images[run.image] = true
		}
	}
	used.ObservedTime, used.ServingImages = to.Sub(from), len(images)
	if seconds := used.ObservedTime.Seconds(); seconds > 0 {
		used.ServingCores /= seconds
		used.OtherCores /= seconds
		used.FillCores /= seconds
	}
	return used
}

// releasedAt returns when a run no longer held anything: owners may hear of a lost one long
// after.
func (of *workerHistory) releasedAt(run *runHistory, end time.Time) time.Time {
	until := run.endOr(end)
	if !of.replacedAt.IsZero() && of.replacedAt.Before(until) {
		return of.replacedAt
	}
	return until
}

// addRun counts a run that held what it holds until then: processors times seconds, until
// they are divided by the time.
func (used *WorkerUsage) addRun(run *runHistory, until time.Time) {
	if run.outcome == runRefused {
		return
	}
	held := float64(run.milliCPU) / millisPerUnit * until.Sub(run.placedAt).Seconds()
	switch {
	case run.isServing:
		used.ServingCores += held
	case run.isFill:
		used.FillCores += held
	default:
		used.OtherCores += held
	}
	if run.evicted {
		used.Evictions++
	}
	if run.outcome == runLost {
		used.LostRuns++
	}
}
