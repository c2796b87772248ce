package overload

import (
	"math"
	"math/bits"
	"strconv"
	"time"
)

const (
	// shareHalfLife is the time after which admitted work counts half in the shares of classes. Shares follow a burst
	// within seconds, and last for the time for which callers are told to wait.
	shareHalfLife = 15 * time.Second
	// guaranteedShare is the part of an equal share up to which the jobs of a class don't wait for those of other
	// classes. It is below 1 because the admitted work of classes with few large jobs varies most, and would often be
	// below an equal share by chance.
	guaranteedShare = 0.9
)

// jobPool is the jobs that compete for the same workers, see [PoolName].
type jobPool struct {
	classes map[string]*sizeClass
}

// addJob returns the class of a job whose caller calls for the first time, and records the call.
func (pool *jobPool) addJob(request *Request, now time.Time) *sizeClass {
	name := className(request.Queue, request.CoreMs)
	class := pool.classes[name]
	if class == nil {
		class = &sizeClass{decayedAt: now}
		pool.classes[name] = class
	}
	class.lastCallAt = now
	work := float64(request.CoreMs)
	if request.DrainedCoreMsPerS > 0 && request.drainTime(work) <= request.Useful/usefulTargets {
		// A larger job is not recorded: to keep room for it would delay the others for too long.
		class.largest = max(class.largest, work)
	}
	return class
}

// largest returns the work of the largest job that called lately.
func (pool *jobPool) largest() float64 {
	largest := 0.0
	for _, class := range pool.classes {
		largest = max(largest, class.largest)
	}
	return largest
}

// prune removes the classes of which no job has called lately, except those in use.
func (pool *jobPool) prune(used map[*sizeClass]bool, now time.Time) {
	for name, class := range pool.classes {
		if !used[class] && now.Sub(class.lastCallAt) > 2*shareHalfLife {
			delete(pool.classes, name)
		}
	}
}

// classesWithinShare returns the classes that have had less than their guaranteed share of the admitted work. The rest
// goes to jobs in the order of their first calls.
func (pool *jobPool) classesWithinShare(now time.Time) map[*sizeClass]bool {
	admitted := 0.0
	for _, class := range pool.classes {
		class.decay(now)
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

// sizeClass is the jobs of one queue that are of similar size.
type sizeClass struct {
	admitted   float64 // admitted work, in ms of one core, which decays with shareHalfLife
	largest    float64 // work of the largest job
	decayedAt  time.Time
	lastCallAt time.Time // when the caller of a new job of the class called last
}

// className returns the name of a job's class. Sizes within a factor of four are in one class.
func className(queue string, coreMs int64) string {
	return queue + "/" + strconv.Itoa(bits.Len64(uint64(max(coreMs, 0)))/2)
}

// decay reduces the admitted work for the time that has passed.
func (class *sizeClass) decay(now time.Time) {
	class.admitted *= math.Exp2(-now.Sub(class.decayedAt).Seconds() / shareHalfLife.Seconds())
	class.decayedAt = now
}

// PoolName names the jobs that compete for the same workers: those of one service, need and priority. The priority is
// part of it because less urgent jobs are never ahead of more urgent ones.
func PoolName(service, need string, priority int32) string {
	return service + "/" + need + "/" + strconv.Itoa(int(priority))
}
