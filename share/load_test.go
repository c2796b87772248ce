package share_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"ambertiller.example/ambertiller/share"
)

const (
	loadCapacity = 20_000
	loadTick     = 100 * time.Millisecond
	loadArrivals = 300 // ticks
	shortRuns    = 2   // ticks
	longRuns     = 40  // ticks
	shortTarget  = time.Second
	longTarget   = 8 * time.Second
)

// task is one job of a single task. Ticks are counted from the start.
type task struct {
	queue                  string
	arrived, started, runs int
	milliCPU               int64
	target                 time.Duration
}

// load is a service with two queues, of which one has tasks that run 20 times as long as those of the other.
type load struct {
	table *share.Table
	tasks []*task
	// shortArriving and longArriving return the number of tasks of a queue that arrive in a tick. A short task a tick
	// wants 0.05 of the capacity, a long one in two seconds a tenth of it.
	shortArriving, longArriving func(tick int) int
}

// arrive adds the tasks of a tick.
func (load *load) arrive(tick int) {
	for range load.shortArriving(tick) {
		load.tasks = append(load.tasks, &task{
			queue: "short", arrived: tick, started: -1, runs: shortRuns, milliCPU: 500, target: shortTarget,
		})
	}
	for range load.longArriving(tick) {
		load.tasks = append(load.tasks, &task{
			queue: "long", arrived: tick, started: -1, runs: longRuns, milliCPU: 1000, target: longTarget,
		})
	}
}

// jobs returns the tasks that have not ended, in the order without shares: the long ones first.
func (load *load) jobs(tick int) []*share.Job {
	var jobs []*share.Job
	for index, queued := range load.tasks {
		job := &share.Job{
			ID: fmt.Sprintf("%05d", index), Index: index, Target: queued.target, Work: int64(queued.runs) * queued.milliCPU,
			Key: share.Key{Queue: share.Queue{Name: queued.queue}},
		}
		if queued.started < 0 {
			job.Waited = time.Duration(tick-queued.arrived) * loadTick
			job.Late = job.Waited+time.Duration(queued.runs)*loadTick > queued.target
			job.WantedMilliCPU = queued.milliCPU
		} else if tick < queued.started+queued.runs {
			job.UsedMilliCPU = queued.milliCPU
		} else {
			continue
		}
		jobs = append(jobs, job)
	}
	slices.SortStableFunc(jobs, func(a, b *share.Job) int { return strings.Compare(a.Key.Queue.Name, b.Key.Queue.Name) })
	return jobs
}

// place starts the tasks that fit in a tick.
func (load *load) place(tick int) {
	now := start.Add(time.Duration(tick) * loadTick)
	jobs := load.jobs(tick)
	if load.table.Expire(now) {
		load.table.BeginCount(now)
		for _, job := range jobs {
			load.table.AddJob(job)
		}
		load.table.EndCount(func(string) int64 { return loadCapacity }, now)
	}
	free := int64(loadCapacity)
	for _, job := range jobs {
		free -= job.UsedMilliCPU
	}
	for _, next := range load.table.Order(jobs) {
		switch {
		case next.WantedMilliCPU > free:
			load.table.NoteUnplaced(next.Key, now)
		case next.WantedMilliCPU > 0:
			load.tasks[next.Index].started = tick
			free -= next.WantedMilliCPU
			load.table.RecordStart(next.Key, next.ID, next.WantedMilliCPU)
		}
	}
}

// everyOtherTick returns arrivals of some tasks in two seconds, one in every other tick.
func everyOtherTick(tasks int) func(tick int) int {
	return func(tick int) int {
		if tick%2 == 0 && tick%20 < 2*tasks {
			return 1
		}
		return 0
	}
}

// twoEveryFiveTicks returns arrivals of eight tasks in two seconds, in pairs.
func twoEveryFiveTicks(tick int) int {
	if tick%5 == 0 {
		return 2
	}
	return 0
}

// play plays the load until all tasks must have started.
func (load *load) play(t *testing.T) {
	t.Helper()
	load.table = share.NewTable()
	for tick := range 2 * loadArrivals {
		if tick < loadArrivals {
			load.arrive(tick)
		}
		load.place(tick)
	}
	if slices.ContainsFunc(load.tasks, func(queued *task) bool { return queued.started < 0 }) {
		t.Error("a task never started")
	}
}

// longestWait returns the longest wait of the tasks of a queue that arrived in a tick or later.
func (load *load) longestWait(queue string, first int) time.Duration {
	longest := 0
	for _, queued := range load.tasks {
		if queued.queue == queue && queued.arrived >= first {
			longest = max(longest, queued.started-queued.arrived)
		}
	}
	return time.Duration(longest) * loadTick
}

// TestLoadOfLongAndShortTasks: at 1.3 times the capacity, each short task ends within its target, also while the
// shortage begins, and also if the short ones want all of their share. No long one waits longer by more than its target
// than if the long ones were served in the order of arrival, with the capacity that the short ones leave.
func TestLoadOfLongAndShortTasks(t *testing.T) {
	tests := map[string]struct {
		shortPerTick int
		longArriving func(tick int) int
		inOrder      time.Duration
	}{
		"0.5 and 0.8": {10, twoEveryFiveTicks, 18 * time.Second},
		"0.4 and 0.9": {8, everyOtherTick(9), 15 * time.Second},
		"0.3 and 1.0": {6, everyOtherTick(10), 13 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			played := &load{shortArriving: func(int) int { return test.shortPerTick }, longArriving: test.longArriving}
			played.play(t)
			if waited := played.longestWait("short", 0); waited > shortTarget-shortRuns*loadTick {
				t.Errorf("a short task waited %v", waited)
			}
			if waited := played.longestWait("long", 0); waited > test.inOrder+longTarget {
				t.Errorf("a long task waited %v", waited)
			}
		})
	}
}

// TestLoadAfterIdleTime: a queue that has been idle, while the other one used its share, uses its share once
// the tasks have ended that were running when it came back. Its tasks end within their target when those that had
// waited until then have caught up; it wants less than its share, or they never could.
func TestLoadAfterIdleTime(t *testing.T) {
	const idleFrom, idleUntil, caughtUp = 100, 200, 280
	played := &load{longArriving: everyOtherTick(9), shortArriving: func(tick int) int {
		if tick >= idleFrom && tick < idleUntil {
			return 0
		}
		return 8
	}}
	played.play(t)
	running := 0
	for _, queued := range played.tasks {
		if queued.queue == "short" && queued.started <= idleUntil+longRuns &&
			idleUntil+longRuns < queued.started+queued.runs {
			running++
		}
	}
	if want := 16; running < want {
		t.Errorf("%d short tasks run after the other queue used their share, want %d", running, want)
	}
	if waited := played.longestWait("short", caughtUp); waited > shortTarget-shortRuns*loadTick {
		t.Errorf("a short task waited %v after the others had caught up", waited)
	}
}

// TestLoadAfterIdleTimeAtItsShare: a queue that wants just its share, and has been idle, is served within its target
// once the tasks have ended that were running when it came back.
func TestLoadAfterIdleTimeAtItsShare(t *testing.T) {
	const idleFrom, idleUntil = 100, 200
	played := &load{longArriving: twoEveryFiveTicks, shortArriving: func(tick int) int {
		if tick >= idleFrom && tick < idleUntil {
			return 0
		}
		return 10
	}}
	played.play(t)
	if waited := played.longestWait("short", idleUntil+longRuns); waited > shortTarget-shortRuns*loadTick {
		t.Errorf("a short task waited %v after the other queue used their share", waited)
	}
}
