package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"
)

// The bounds of the rules, as in the settings.
const (
	idleBound  = 3 * time.Second  // LOST: how long a job may have nothing running
	calmBefore = 4 * time.Second  // LOST: the time before that has to be calm as well
	finishTime = 14 * time.Second // finish_s
	sampleTime = 100 * time.Millisecond
)

// accepted is a job with a 2xx.
type accepted struct {
	job  *submission
	at   time.Time
	idle time.Time // since when it has nothing running, zero if it has
	lost bool      // it has been reported
}

// idleWatch looks for jobs with nothing running although a task's turn has come, capacity for it exists twice over, and
// under half of the service's capacity is in use.
type idleWatch struct {
	d       *deployment
	records *ledger

	mu    sync.Mutex
	jobs  []*accepted
	calm  time.Time // since when there is no disruption
	found []string
}

// add watches a job that has been accepted.
func (w *idleWatch) add(job *submission) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs = append(w.jobs, &accepted{job: job, at: time.Now()})
}

// disrupt says that there is a disruption until a time.
func (w *idleWatch) disrupt(until time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if until.After(w.calm) {
		w.calm = until
	}
}

// run looks until ctx ends.
func (w *idleWatch) run(ctx context.Context) {
	ticker := time.NewTicker(sampleTime)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			w.sample(now)
		}
	}
}

// sample looks once. All steps of the jobs here are without conditions, so the turn of a task that is not done has come.
func (w *idleWatch) sample(now time.Time) {
	used, total := w.d.usage()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.jobs {
		running, done, _ := w.records.progress(a.job.id)
		first := a.job.Steps[0]
		roomy := used*2 < total && w.d.mostFree(first.Constraints) >= 2*first.CPU
		if running > 0 || done >= a.job.tasks() || !roomy {
			a.idle = time.Time{}
			continue
		}
		if a.idle.IsZero() {
			a.idle = now
		}
		from := a.idle
		if earliest := w.calm.Add(calmBefore); earliest.After(from) {
			from = earliest
		}
		if !a.lost && now.Sub(from) >= idleBound {
			a.lost = true
			w.report("job %s has had nothing running for %.1f s (%d of %d tasks are done; %d of %d milli-CPU are in use)",
				a.job.id, now.Sub(a.idle).Seconds(), done, a.job.tasks(), used, total)
		}
	}
}

// report records that LOST was broken. The lock must be held.
func (w *idleWatch) report(format string, args ...any) { w.broken("LOST: "+format, args...) }

// broken records that a rule was broken. The lock must be held.
func (w *idleWatch) broken(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.found = append(w.found, text)
	w.records.note("%s", text)
}

// askAll asks for the states of all accepted jobs at the same time, as clients do finish_s after the traffic.
func (w *idleWatch) askAll(ctx context.Context, c *client) {
	w.mu.Lock()
	watched := slices.Clone(w.jobs)
	w.mu.Unlock()
	states := make([]string, len(watched))
	var wg sync.WaitGroup
	for index, a := range watched {
		wg.Go(func() { states[index] = c.state(ctx, w.d.gateways, a.job.id) })
	}
	wg.Wait()
	if ctx.Err() != nil {
		return // The calls were broken off here.
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	counts := map[string]int{}
	for index, a := range watched {
		w.judgeState(a.job.id, states[index])
		counts[states[index]]++
	}
	w.records.note("states %v after the traffic", counts)
}

// judgeState applies LOST to the state of an accepted job. The lock must be held.
func (w *idleWatch) judgeState(id, state string) {
	if state != "completed" {
		w.records.note("GET job %s: %s", id, state)
	}
	switch state {
	case "failed", "cancelled":
		w.report("job %s is shown as %s, though none of its runs has failed and nobody has cancelled it", id, state)
	case noAnswer, unknownJob:
		w.report("finish_s after the traffic, job %s: %s", id, state)
	}
}

// usage returns the processors in use, and those of all workers.
func (d *deployment) usage() (used, total int64) {
	for _, w := range d.workers {
		used += w.usage()
		total += w.cpu
	}
	return used, total
}

// mostFree returns the most processors that are free on one worker with a label.
func (d *deployment) mostFree(label string) int64 {
	most := int64(0)
	for _, w := range d.workers {
		if free, has := w.offers(label); has {
			most = max(most, free)
		}
	}
	return most
}
