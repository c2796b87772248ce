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
	// maxReadAttempts is how often the clocks are read until nothing came between the readings.
	maxReadAttempts = 4
	// maxReadSpread is what two readings of the steady clock, around that of the other one, may
	// be apart: the result is wrong by no more.
	maxReadSpread = time.Millisecond
)

// SystemClocks reads the machine's clocks. It may be used by many goroutines.
type SystemClocks struct {
	mu        sync.Mutex
	lastTotal time.Duration
}

// New returns the machine's clocks, or an error if one of them can't be read.
func New() (*SystemClocks, error) {
	for _, clock := range []int32{unix.CLOCK_MONOTONIC, unix.CLOCK_BOOTTIME} {
		if _, err := readClock(clock); err != nil {
			return nil, errors.Wrap(err, "read the clock that counts suspension; Linux 2.6.39 or a later one has it")
		}
	}
	made := &SystemClocks{}
	made.SuspendedFor()
	return made, nil
}

// SuspendedFor returns for how long the machine has been suspended since it was booted.
func (clocks *SystemClocks) SuspendedFor() time.Duration {
	clocks.mu.Lock()
	defer clocks.mu.Unlock()
	for range maxReadAttempts {
		before, steadyErr := readClock(unix.CLOCK_MONOTONIC)
		sinceBoot, bootErr := readClock(unix.CLOCK_BOOTTIME)
		after, afterErr := readClock(unix.CLOCK_MONOTONIC)
		if steadyErr != nil || bootErr != nil || afterErr != nil {
			// New has read them: this can't be, and what was read before still holds.
			return clocks.lastTotal
		}
		if total, exact := suspendedTime(before, sinceBoot, after); exact {
			clocks.lastTotal = max(clocks.lastTotal, total)
			return clocks.lastTotal
		}
	}
	return clocks.lastTotal
}

// suspendedTime returns what the clock since boot is ahead of the steady one, and whether the
// readings of the steady one around it lie close together.
func suspendedTime(before, sinceBoot, after time.Duration) (total time.Duration, exact bool) {
	return sinceBoot - after, after-before <= maxReadSpread
}

func readClock(clock int32) (time.Duration, error) {
	var now unix.Timespec
	if err := unix.ClockGettime(clock, &now); err != nil {
		return 0, errors.Wrap(err, "read a clock")
	}
	return time.Duration(now.Nano()), nil
}
