package overload

import (
	"math"
	"math/bits"
	"strconv"
	"time"
)

// tallyHalfLife is the time after which work counts half in the shares of classes. Shares follow a burst within
// seconds, and hold over the time for which callers are told to wait.
const tallyHalfLife = 15 * time.Second

// class is the jobs of one queue that are of similar size. Its tally fades with tallyHalfLife.
type class struct {
	admitted  float64 // work, in ms of one core
	updatedAt time.Time
}

// className returns the name of a job's class. Sizes within a factor of four are in one class.
func className(queue string, coreMs int64) string {
	return queue + "/" + strconv.Itoa(bits.Len64(uint64(max(coreMs, 0)))/2)
}

// fade reduces the tally for the time that has passed.
func (c *class) fade(now time.Time) {
	c.admitted *= math.Exp2(-now.Sub(c.updatedAt).Seconds() / tallyHalfLife.Seconds())
	c.updatedAt = now
}

// PoolName names the jobs that compete for the same: those of one service, need and priority. Less urgent jobs
// are never ahead of more urgent ones.
func PoolName(service, need string, priority int32) string {
	return service + "/" + need + "/" + strconv.Itoa(int(priority))
}
