package report

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Worker is how one incarnation of a worker was used.
type Worker struct {
	Worker  string        `json:"worker"`
	Machine string        `json:"machine"`
	Known   time.Duration `json:"known"` // from its first heartbeat, or run, to its last end
	// Cores is what the worker has, Serving and Other what tasks that serve and other
	// tasks that hold processors held on average, Filling what tasks that fill asked
	// for on average.
	Cores   float64 `json:"cores"`
	Serving float64 `json:"serving"`
	Other   float64 `json:"other"`
	Filling float64 `json:"filling"`
	// Images counts the serving images that it had.
	Images  int           `json:"images"`
	Over    time.Duration `json:"over"`
	Evicted int           `json:"evicted"`
	Lost    int           `json:"lost"`
}

// workerHistory is the life of one incarnation of a worker.
type workerHistory struct {
	id, machine string
	milliCPU    int64
	seenAt      time.Time
	goneAt      time.Time // when another incarnation stood at its machine; zero if none
	runs        []*runHistory
}

func (of *workerHistory) seen(one *line) {
	of.machine, of.milliCPU = one.Name, one.MilliCPU
	if of.seenAt.IsZero() {
		of.seenAt = one.At
	}
}

func (past *history) workerUse() []Worker {
	over := map[string]time.Duration{}
	for _, one := range past.misses {
		if one.run != nil {
			over[one.run.worker] += one.to.Sub(one.from)
		}
	}
	var found []Worker
	for _, of := range past.workers {
		used := of.use(past.to)
		used.Over = over[of.id]
		found = append(found, used)
	}
	slices.SortFunc(found, func(a, b Worker) int {
		return cmp.Or(cmp.Compare(b.Over, a.Over), strings.Compare(a.Machine, b.Machine), strings.Compare(a.Worker, b.Worker))
	})
	return found
}

// use sums up what ran on a worker.
func (of *workerHistory) use(end time.Time) Worker {
	used := Worker{Worker: of.id, Machine: of.machine, Cores: float64(of.milliCPU) / milli}
	from, to := of.seenAt, of.seenAt
	images := map[string]bool{}
	for _, run := range of.runs {
		if from.IsZero() || run.placedAt.Before(from) {
			from = run.placedAt
		}
		until := of.over(run, end)
		if until.After(to) {
			to = until
		}
		used.add(run, until)
		if run.serves {
			images[run.image] = true
		}
	}
	used.Known, used.Images = to.Sub(from), len(images)
	if seconds := used.Known.Seconds(); seconds > 0 {
		used.Serving /= seconds
		used.Other /= seconds
		used.Filling /= seconds
	}
	return used
}

// over returns when a run no longer held anything: owners may hear of a lost one long
// after.
func (of *workerHistory) over(run *runHistory, end time.Time) time.Time {
	until := run.until(end)
	if !of.goneAt.IsZero() && of.goneAt.Before(until) {
		return of.goneAt
	}
	return until
}

// add counts a run that held what it holds until then: processors times seconds, until
// they are divided by the time.
func (used *Worker) add(run *runHistory, until time.Time) {
	if run.how == runRefused {
		return
	}
	held := float64(run.milliCPU) / milli * until.Sub(run.placedAt).Seconds()
	switch {
	case run.serves:
		used.Serving += held
	case run.fills:
		used.Filling += held
	default:
		used.Other += held
	}
	if run.evicted {
		used.Evicted++
	}
	if run.how == runLost {
		used.Lost++
	}
}
