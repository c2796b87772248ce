package report

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// WorkerUsage summarizes how one incarnation of a worker was used.
type WorkerUsage struct {
	Incarnation  string        `json:"worker"`
	Machine      string        `json:"machine"`
	ObservedTime time.Duration `json:"known"` // from its first heartbeat or run until its last run ended
	// Cores is the number of cores of the worker. ServingCores, OtherCores and FillCores are the average
	// numbers of cores that serving tasks and other tasks held, and that fill tasks asked for.
	Cores        float64 `json:"cores"`
	ServingCores float64 `json:"serving"`
	OtherCores   float64 `json:"other"`
	FillCores    float64 `json:"filling"`
	// ServingImages is the number of different serving images that ran on the worker.
	ServingImages int           `json:"images"`
	MissTime      time.Duration `json:"over"`
	Evictions     int           `json:"evicted"` // moves included
	LostRuns      int           `json:"lost"`
}

// workerHistory holds what is known of one incarnation of a worker.
type workerHistory struct {
	id, machine string
	milliCPU    int64
	firstSeenAt time.Time
	replacedAt  time.Time // when another incarnation was first seen on the machine; zero if none was
	runs        []*runHistory
}

// updateFromHeartbeat updates the history from the logged heartbeat of the worker.
func (w *workerHistory) updateFromHeartbeat(ln *line) {
	w.machine, w.milliCPU = ln.Name, ln.MilliCPU
	if w.firstSeenAt.IsZero() {
		w.firstSeenAt = ln.At
	}
}

// workerUsage returns the usage of all incarnations, sorted by MissTime in descending order.
func (h *history) workerUsage() []WorkerUsage {
	missTime := map[string]time.Duration{}
	for _, m := range h.misses {
		if m.run != nil {
			missTime[m.run.worker] += m.to.Sub(m.from)
		}
	}
	var all []WorkerUsage
	for _, w := range h.workers {
		usage := w.usage(h.to)
		usage.MissTime = missTime[w.id]
		all = append(all, usage)
	}
	slices.SortFunc(all, func(a, b WorkerUsage) int {
		return cmp.Or(cmp.Compare(b.MissTime, a.MissTime), strings.Compare(a.Machine, b.Machine), strings.Compare(a.Incarnation, b.Incarnation))
	})
	return all
}

// usage summarizes what ran on the worker until the end of the logs. It leaves MissTime unset.
func (w *workerHistory) usage(end time.Time) WorkerUsage {
	usage := WorkerUsage{Incarnation: w.id, Machine: w.machine, Cores: float64(w.milliCPU) / millisPerUnit}
	from, to := w.firstSeenAt, w.firstSeenAt
	images := map[string]bool{}
	for _, run := range w.runs {
		if from.IsZero() || run.placedAt.Before(from) {
			from = run.placedAt
		}
		until := w.releasedAt(run, end)
		if until.After(to) {
			to = until
		}
		usage.addRun(run, until)
		if run.isServing {
			images[run.image] = true
		}
	}
	usage.ObservedTime, usage.ServingImages = to.Sub(from), len(images)
	if seconds := usage.ObservedTime.Seconds(); seconds > 0 {
		usage.ServingCores /= seconds
		usage.OtherCores /= seconds
		usage.FillCores /= seconds
	}
	return usage
}

// releasedAt returns when a run released its resources. An owner may learn that a run is lost long after the
// worker was replaced, so a run ends with its incarnation at the latest.
func (w *workerHistory) releasedAt(run *runHistory, end time.Time) time.Time {
	until := run.endOr(end)
	if !w.replacedAt.IsZero() && w.replacedAt.Before(until) {
		return w.replacedAt
	}
	return until
}

// addRun adds a run that held its resources until the given time. It adds core-seconds to the averages, which
// the caller has to divide by ObservedTime in the end.
func (usage *WorkerUsage) addRun(run *runHistory, until time.Time) {
	if run.outcome == runRefused {
		return
	}
	coreSeconds := float64(run.milliCPU) / millisPerUnit * until.Sub(run.placedAt).Seconds()
	switch {
	case run.isServing:
		usage.ServingCores += coreSeconds
	case run.isFill:
		usage.FillCores += coreSeconds
	default:
		usage.OtherCores += coreSeconds
	}
	if run.evicted {
		usage.Evictions++
	}
	if run.outcome == runLost {
		usage.LostRuns++
	}
}
