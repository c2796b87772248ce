package share_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"ambertiller.example/ambertiller/share"
)

const (
	loadRoom     = 20_000
	loadTick     = 100 * time.Millisecond
	loadArrivals = 300 // ticks
	shortRuns    = 2   // ticks
	longRuns     = 40  // ticks
	shortTarget  = time.Second
	longTarget   = 8 * time.Second
)

// task is one job of a single task. Ticks are counted from the start.
type task struct {
	arrived, started, runs int
	milliCPU               int64
	target                 time.Duration
}

// load is a room and two queues, of which one has tasks that run 20 times as long as those of the other.
type load struct {
	division    share.Division
	tasks       map[string][]*task
	sinceOldest map[string]int
	// shortArriving returns the number of short tasks that arrive in a tick.
	shortArriving func(tick int) int
}

// arrive adds the tasks of a tick. The long ones want 0.8 of the room, ten short ones a tick want half of it.
func (load *load) arrive(tick int) {
	for range load.shortArriving(tick) {
		load.add("short", &task{arrived: tick, started: -1, runs: shortRuns, milliCPU: 500, target: shortTarget})
	}
	if tick%5 == 0 {
		for range 2 {
			load.add("long", &task{arrived: tick, started: -1, runs: longRuns, milliCPU: 1000, target: longTarget})
		}
	}
}

func (load *load) add(queue string, queued *task) {
	load.tasks[queue] = append(load.tasks[queue], queued)
}

// line returns the demand of a queue, and its waiting tasks as jobs whose index is that of the task.
func (load *load) line(name string, tick int) (share.Demand, *share.Line) {
	demand := share.Demand{Queue: share.Queue{Name: name}}
	line := &share.Line{Queue: demand.Queue, StartsSinceOldest: load.sinceOldest[name]}
	for index, queued := range load.tasks[name] {
		demand.Target = queued.target
		if queued.started >= 0 {
			if tick < queued.started+queued.runs {
				demand.UsedMilliCPU += queued.milliCPU
			}
			continue
		}
		waited := time.Duration(tick-queued.arrived) * loadTick
		demand.WantedMilliCPU += queued.milliCPU
		line.Jobs = append(line.Jobs, &share.Job{
			ID: fmt.Sprintf("%05d", index), Index: index, Target: queued.target, Waited: waited, WantedMilliCPU: queued.milliCPU,
			Late: waited+time.Duration(queued.runs)*loadTick > queued.target, Work: int64(queued.runs) * queued.milliCPU,
		})
	}
	line.UsedMilliCPU = demand.UsedMilliCPU
	return demand, line
}

// place starts the tasks that fit in a tick.
func (load *load) place(tick int) {
	longDemand, long := load.line("long", tick)
	shortDemand, short := load.line("short", tick)
	load.division.Update(loadRoom, []share.Demand{longDemand, shortDemand}, start.Add(time.Duration(tick)*loadTick))
	free := int64(loadRoom) - longDemand.UsedMilliCPU - shortDemand.UsedMilliCPU
	queueOf := map[*share.Job]string{}
	for _, line := range []*share.Line{long, short} {
		line.ShareMilliCPU = load.division.ShareMilliCPU(line.Queue)
		for _, job := range line.Jobs {
			queueOf[job] = line.Queue.Name
		}
	}
	oldest := map[*share.Job]bool{long.Oldest(): true, short.Oldest(): true}
	for _, next := range share.Sequence([]*share.Line{long, short}) {
		name := queueOf[next]
		if next.WantedMilliCPU > free {
			continue
		}
		load.tasks[name][next.Index].started = tick
		free -= next.WantedMilliCPU
		load.sinceOldest[name]++
		if oldest[next] {
			load.sinceOldest[name] = 0
		}
	}
}

// play plays the load until all tasks must have started.
func (load *load) play(t *testing.T) {
	t.Helper()
	load.tasks, load.sinceOldest = map[string][]*task{}, map[string]int{}
	for tick := range 2 * loadArrivals {
		if tick < loadArrivals {
			load.arrive(tick)
		}
		load.place(tick)
	}
	for name, tasks := range load.tasks {
		if slices.ContainsFunc(tasks, func(queued *task) bool { return queued.started < 0 }) {
			t.Errorf("a task of queue %s never started", name)
		}
	}
}

// longestWait returns the longest wait of the tasks of a queue that arrived in some ticks.
func (load *load) longestWait(name string, first, end int) time.Duration {
	longest := 0
	for _, queued := range load.tasks[name] {
		if queued.arrived >= first && queued.arrived < end {
			longest = max(longest, queued.started-queued.arrived)
		}
	}
	return time.Duration(longest) * loadTick
}

// TestLoadOfLongAndShortTasks: at 1.3 times the room, each short task ends within its target, and no long one
// waits longer by more than its target than in the order of arrival, which is 18 s.
func TestLoadOfLongAndShortTasks(t *testing.T) {
	played := &load{shortArriving: func(int) int { return 10 }}
	played.play(t)
	if waited := played.longestWait("short", 0, loadArrivals); waited > shortTarget-shortRuns*loadTick {
		t.Errorf("a short task waited %v", waited)
	}
	if waited := played.longestWait("long", 0, loadArrivals); waited > 18*time.Second+longTarget {
		t.Errorf("a long task waited %v", waited)
	}
}

// TestLoadAfterIdleTime: a queue that has been idle, while the other one had borrowed its share, uses its share once
// the tasks have ended that were running when it came back. Its tasks end within their target when those that had
// waited until then have caught up; it wants less than its share, or they never could.
func TestLoadAfterIdleTime(t *testing.T) {
	const idleFrom, idleUntil, caughtUp = 100, 200, 280
	played := &load{shortArriving: func(tick int) int {
		if tick >= idleFrom && tick < idleUntil {
			return 0
		}
		return 8
	}}
	played.play(t)
	running := 0
	for _, queued := range played.tasks["short"] {
		if queued.started <= idleUntil+longRuns && idleUntil+longRuns < queued.started+queued.runs {
			running++
		}
	}
	if want := 16; running < want {
		t.Errorf("%d short tasks run after the borrowed time, want %d", running, want)
	}
	if waited := played.longestWait("short", caughtUp, loadArrivals); waited > shortTarget-shortRuns*loadTick {
		t.Errorf("a short task waited %v after the others had caught up", waited)
	}
}
