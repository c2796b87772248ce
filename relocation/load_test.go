package relocation_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"ambertiller.example/ambertiller/relocation"
)

const (
	loadStep    = 100 * time.Millisecond
	loadWorkers = 30
	// taskWork is the work of a task at full pace, saveInterval the work between two checkpoints, and
	// stopCost what a move costs apart from repeated work.
	taskWork     = 12 * time.Second
	saveInterval = time.Second
	stopCost     = 800 * time.Millisecond
	// maxRestart is the work up to which a run without checkpoints moves, and maxMoves how often a task does.
	maxRestart = taskWork * 7 / 10
	maxMoves   = 8
	// lostAnswers is the share of answers that never arrive.
	lostAnswers = 0.1
)

// fillTask is a fill task of the load. Its worker is -1 while it waits.
type fillTask struct {
	name         string
	saves        bool
	worker       int
	last         int // the worker that it ran on before
	earlier      int // the one before that
	moves        int
	done, saved  time.Duration
	slowedSteps  int
	waitingSince time.Time
	startedAt    time.Time // after the restore
	endedAt      time.Time
	backoff      relocation.Backoff
}

// load is a fleet whose workers tolerate a changing number of fill tasks. With offers, runs move as this
// package decides; otherwise they are stopped once they have been slowed for long, and then look for a place.
type load struct {
	random       *rand.Rand
	offers       bool
	now          time.Time
	phases       [loadWorkers]float64
	tasks        []*fillTask
	trackers     [loadWorkers]relocation.OfferTracker
	reservations *relocation.ReservationSet

	stops, returns int // returns to one of the last two workers
	gap, wasted    time.Duration
}

// tolerance returns how many fill tasks a worker tolerates now.
func (load *load) tolerance(worker int) float64 {
	seconds := load.now.Sub(epoch).Seconds()
	return max(0, 1.8+2*math.Sin(2*math.Pi*(seconds/25+load.phases[worker])))
}

func (load *load) countRuns(worker int) int {
	count := 0
	for _, task := range load.tasks {
		if task.worker == worker {
			count++
		}
	}
	if _, reserved := load.reservations.ByDestination(fmt.Sprint(worker)); reserved {
		count++
	}
	return count
}

func (load *load) pace(worker int) float64 {
	return min(1, max(0.05, load.tolerance(worker)/float64(max(load.countRuns(worker), 1))))
}

// destination returns the worker that tolerates a further run best, and whether it does so in full.
func (load *load) destination(source int) (int, bool) {
	best, most := -1, math.Inf(-1)
	for worker := range loadWorkers {
		_, reserved := load.reservations.ByDestination(fmt.Sprint(worker))
		if spare := load.tolerance(worker) - float64(load.countRuns(worker)); worker != source && !reserved && spare > most {
			best, most = worker, spare
		}
	}
	return best, most >= 1
}

func (load *load) start(task *fillTask, worker int) {
	load.gap += load.now.Sub(task.waitingSince)
	if worker == task.last || worker == task.earlier {
		load.returns++
	}
	task.worker, task.slowedSteps, task.startedAt = worker, 0, load.now.Add(stopCost)
	task.backoff = relocation.Backoff{}
}

func (load *load) stop(task *fillTask) {
	load.stops++
	task.moves++
	load.wasted += task.done - task.saved
	task.earlier, task.last = task.last, task.worker
	task.done, task.worker, task.waitingSince = task.saved, -1, load.now
}

// decide moves a slowed run or stops it.
func (load *load) decide(task *fillTask) {
	remaining, percent := taskWork-task.done, int32(load.pace(task.worker)*100)
	cost := stopCost + task.done - task.saved
	saved := relocation.TimeSaved(remaining, percent, relocation.FullPercent)
	if !load.offers {
		saved = remaining * time.Duration(100-percent) / time.Duration(percent) // As agents compute it without offers.
	}
	if task.slowedSteps < 15 || saved < cost || task.moves >= maxMoves || !task.saves && task.done > maxRestart {
		return
	}
	tracker := &load.trackers[task.worker]
	switch {
	case !load.offers:
		load.stop(task)
	case tracker.MayOffer(load.now) && task.backoff.IsOver(load.now):
		load.negotiate(task, tracker, saved, cost)
	}
}

// negotiate offers a run, decides for its owner, and applies the answer unless that is lost.
func (load *load) negotiate(task *fillTask, tracker *relocation.OfferTracker, saved, cost time.Duration) {
	offer := tracker.Open(task.name, 1, load.now)
	destination, tolerated := load.destination(task.worker)
	accepted := tolerated && saved >= relocation.MinGain(cost, task.moves)
	if accepted {
		load.reservations.Release(task.name)
		load.reservations.Reserve(relocation.NewReservation(task.name, 1, offer.Number(), fmt.Sprint(destination), load.now))
	}
	if load.random.Float64() < lostAnswers {
		return
	}
	_, outcome := tracker.Answer(offer.Number(), task.name, 1, accepted, load.now.Add(loadStep))
	if outcome != relocation.Accepted {
		task.backoff.Extend(load.now)
		return
	}
	load.stop(task)
	load.reservations.Release(task.name)
	load.start(task, destination)
}

// step lets all runs go on for loadStep.
func (load *load) step() {
	load.now = load.now.Add(loadStep)
	for _, reservation := range load.reservations.All() {
		if _, ended := reservation.CheckEnd(relocation.Situation{Running: true}, load.now); ended {
			load.reservations.Release(reservation.Task())
		}
	}
	for worker := range load.trackers {
		load.trackers[worker].Lapse(load.now)
	}
	for _, task := range load.tasks {
		switch {
		case !task.endedAt.IsZero():
		case task.worker < 0:
			if worker, tolerated := load.destination(-1); tolerated || load.now.Sub(task.waitingSince) >= 1500*time.Millisecond {
				load.start(task, worker)
			}
		case !load.now.Before(task.startedAt):
			load.run(task)
		}
	}
}

// run lets a run go on for loadStep, and decides about it.
func (load *load) run(task *fillTask) {
	pace := load.pace(task.worker)
	task.done += time.Duration(pace * float64(loadStep))
	task.slowedSteps++
	if task.saves {
		task.saved = task.done.Truncate(saveInterval)
	}
	if pace >= 0.6 {
		task.slowedSteps = 0
	}
	if task.done >= taskWork {
		task.endedAt, task.worker = load.now, -1
		return
	}
	load.decide(task)
}

// play plays the load of a seed to its end, and returns it with the mean time that callers waited for a task.
// spread is the share of a swing by which workers lag behind others.
func play(seed uint64, tasks int, spread float64, offers bool) (*load, time.Duration) {
	load := &load{
		random: rand.New(rand.NewPCG(seed, 45)), offers: offers, now: epoch,
		reservations: relocation.NewReservationSet(),
	}
	for worker := range load.phases {
		load.phases[worker] = load.random.Float64() * spread
	}
	for i := range tasks {
		load.tasks = append(load.tasks, &fillTask{
			name: fmt.Sprint("t", i), saves: i%2 == 0, worker: -1, last: -1, earlier: -1, waitingSince: epoch,
		})
	}
	for load.now.Sub(epoch) < 2*time.Minute {
		load.step()
	}
	waited := time.Duration(0)
	for _, task := range load.tasks {
		if task.endedAt.IsZero() {
			task.endedAt = load.now
		}
		waited += task.endedAt.Sub(epoch) / time.Duration(tasks)
	}
	return load, waited
}

// TestMovesUnderChangingTolerance checks that callers wait no longer with offers than with evictions as they are
// without them, that tasks are without a run for less time, that less work is thrown away, that runs are stopped
// less often, and that fewer return to a worker that they have just left. It compares means over several fleets: in
// single ones, either may be better by chance.
func TestMovesUnderChangingTolerance(t *testing.T) {
	tests := map[string]struct {
		tasks  int
		spread float64
	}{
		"enough room, workers swing apart":        {45, 1},
		"too little room, workers swing apart":    {70, 1},
		"enough room, workers swing together":     {45, 0.3},
		"too little room, workers swing together": {70, 0.3},
	}
	const fleets = 20
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var waited, gap, wasted [2]time.Duration
			var stops, returns [2]int
			for seed := range uint64(fleets) {
				for i, offers := range []bool{true, false} {
					load, wait := play(seed, test.tasks, test.spread, offers)
					waited[i] += wait / fleets
					gap[i] += load.gap / fleets
					wasted[i] += load.wasted / fleets
					stops[i] += load.stops
					returns[i] += load.returns
				}
			}
			if waited[0] > waited[1] || gap[0] > gap[1] || wasted[0] > wasted[1] || stops[0] > stops[1] ||
				returns[0] > returns[1] {
				t.Errorf("offers, evictions: waited %v, without a run %v, wasted %v, stopped %v, returned %v",
					waited, gap, wasted, stops, returns)
			}
		})
	}
}
