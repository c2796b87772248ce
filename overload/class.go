package overload

import (
	"math"
	"math/bits"
	"strconv"
	"time"
)

const (
	// tallyHalfLife is the time after which work counts half in the shares of classes. Shares follow a burst within
	// seconds, and hold over the time for which callers are told to wait.
	tallyHalfLife = 15 * time.Second
	// guaranteedShare is the part of an equal share that each class gets ahead of the line. It is below 1 so that
	// classes of few and large jobs, whose tallies vary most, don't pass the others by chance.
	guaranteedShare = 0.9
)

// classPool is the jobs that compete for the same.
type classPool struct {
	classes map[string]*sizeClass
}

// class returns the class of a job that calls first now. It is added if it is new.
func (pool *classPool) class(request *Request, now time.Time) *sizeClass {
	name := className(request.Queue, request.CoreMs)
	class := pool.classes[name]
	if class == nil {
		class = &sizeClass{updatedAt: now}
		pool.classes[name] = class
	}
	class.calledAt = now
	work := float64(request.CoreMs)
	if request.DrainedCoreMsPerS > 0 && request.ownTime(work) <= request.Useful/usefulTargets {
		// No room is kept for a larger job: it would hold up the others for too long.
		class.largest = max(class.largest, work)
	}
	return class
}

// largest returns the work of the largest job.
func (pool *classPool) largest() float64 {
	largest := 0.0
	for _, class := range pool.classes {
		largest = max(largest, class.largest)
	}
	return largest
}

// removeUnused removes the classes in which nothing has been asked for lately, unless they are in use.
func (pool *classPool) removeUnused(used map[*sizeClass]bool, now time.Time) {
	for name, class := range pool.classes {
		if !used[class] && now.Sub(class.calledAt) > 2*tallyHalfLife {
			delete(pool.classes, name)
		}
	}
}

// classesWithinShare returns the classes that have had less than their share of the work that was admitted. What
// they leave of it goes to whoever called first.
func (pool *classPool) classesWithinShare(now time.Time) map[*sizeClass]bool {
	admitted := 0.0
	for _, class := range pool.classes {
		class.fade(now)
		admitted += class.admitted
	}
	share := guaranteedShare * admitted / float64(len(pool.classes))
	within := map[*sizeClass]bool{}
	for _, class := range pool.classes {
		if class.admitted < share {
			within[class] = true
		}
	}
	return within
}

// sizeClass is the jobs of one queue that are of similar size. Its tally fades with tallyHalfLife.
type sizeClass struct {
	admitted  float64 // work, in ms of one core
	largest   float64 // work of the largest job
	updatedAt time.Time
	calledAt  time.Time // when a newcomer of the class called last
}

// className returns the name of a job's class. Sizes within a factor of four are in one class.
func className(queue string, coreMs int64) string {
	return queue + "/" + strconv.Itoa(bits.Len64(uint64(max(coreMs, 0)))/2)
}

// fade reduces the tally for the time that has passed.
func (class *sizeClass) fade(now time.Time) {
	class.admitted *= math.Exp2(-now.Sub(class.updatedAt).Seconds() / tallyHalfLife.Seconds())
	class.updatedAt = now
}

// PoolName names the jobs that compete for the same: those of one service, need and priority. Less urgent jobs
// are never ahead of more urgent ones.
func PoolName(service, need string, priority int32) string {
	return service + "/" + need + "/" + strconv.Itoa(int(priority))
}
