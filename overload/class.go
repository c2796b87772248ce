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

// class returns a class of the pool, which is added if it is new.
func (pool *classPool) class(name string, now time.Time) *sizeClass {
	if pool.classes[name] == nil {
		pool.classes[name] = &sizeClass{updatedAt: now}
	}
	pool.classes[name].calledAt = now
	return pool.classes[name]
}

// removeUnused removes the classes in which nothing has been asked for lately, unless they are in use.
func (pool *classPool) removeUnused(used map[*sizeClass]bool, now time.Time) {
	for name, class := range pool.classes {
		if !used[class] && now.Sub(class.calledAt) > 2*tallyHalfLife {
			delete(pool.classes, name)
		}
	}
}

// isWithinShare reports whether a class has had less than its share of the work that was admitted. What other
// classes leave of their shares goes to whoever has waited longest.
func (pool *classPool) isWithinShare(candidate *sizeClass, now time.Time) bool {
	admitted := 0.0
	for _, class := range pool.classes {
		class.fade(now)
		admitted += class.admitted
	}
	return candidate.admitted < guaranteedShare*admitted/float64(len(pool.classes))
}

// sizeClass is the jobs of one queue that are of similar size. Its tally fades with tallyHalfLife.
type sizeClass struct {
	admitted  float64 // work, in ms of one core
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
