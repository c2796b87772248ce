// Package uptime tells for how long the machine has been suspended.
//
// The steady clock that package time reads stands still while a machine is suspended, and so
// do its timers. A process that reckons how old a lease or a grant is by that clock alone
// takes it for younger than it is, by seconds or more. The clock of the time since boot goes
// on; what it is ahead of the steady clock is the time that the machine was suspended.
//
// # Usage
//
//	clocks, err := uptime.New()
//	before := clocks.Suspended()
//	...
//	slept := clocks.Suspended() - before
//
// # Errors
//
// New fails where the system has no such clock. One that was there at the start stays.
package uptime

import (
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// readTries is how often the clocks are read until nothing came between the readings.
	readTries = 4
	// readSpread is what two readings of the steady clock, around that of the other one, may
	// be apart: the result is wrong by no more.
	readSpread = time.Millisecond
)

// Clocks reads the machine's clocks. It may be used by many goroutines.
type Clocks struct {
	mu   sync.Mutex
	last time.Duration
}

// New returns the machine's clocks, or an error if one of them can't be read.
func New() (*Clocks, error) {
	for _, clock := range []int32{unix.CLOCK_MONOTONIC, unix.CLOCK_BOOTTIME} {
		if _, err := read(clock); err != nil {
			return nil, errors.Wrap(err, "read the clock that counts suspension; Linux 2.6.39 or a later one has it")
		}
	}
	made := &Clocks{}
	made.Suspended()
	return made, nil
}

// Suspended returns for how long the machine has been suspended since it was booted.
func (clocks *Clocks) Suspended() time.Duration {
	clocks.mu.Lock()
	defer clocks.mu.Unlock()
	for range readTries {
		before, steadyErr := read(unix.CLOCK_MONOTONIC)
		sinceBoot, bootErr := read(unix.CLOCK_BOOTTIME)
		after, afterErr := read(unix.CLOCK_MONOTONIC)
		if steadyErr != nil || bootErr != nil || afterErr != nil {
			// New has read them: this can't be, and what was read before still holds.
			return clocks.last
		}
		if total, exact := suspended(before, sinceBoot, after); exact {
			clocks.last = max(clocks.last, total)
			return clocks.last
		}
	}
	return clocks.last
}

// suspended returns what the clock since boot is ahead of the steady one, and whether the
// readings of the steady one around it lie close together.
func suspended(before, sinceBoot, after time.Duration) (total time.Duration, exact bool) {
	return sinceBoot - after, after-before <= readSpread
}

func read(clock int32) (time.Duration, error) {
	var now unix.Timespec
	if err := unix.ClockGettime(clock, &now); err != nil {
		return 0, errors.Wrap(err, "read a clock")
	}
	return time.Duration(now.Nano()), nil
}
