// Package uptime measures for how long the machine has been suspended.
//
// The monotonic clock that package time reads stops while a machine is suspended, and so
// do timers. A process that computes the age of a lease or a grant from that clock alone
// underestimates it, by seconds or more. CLOCK_BOOTTIME continues during suspension. Its
// lead over CLOCK_MONOTONIC is the total time for which the machine was suspended.
//
// # Usage
//
//	clocks, err := uptime.New()
//	before := clocks.SuspendedFor()
//	...
//	slept := clocks.SuspendedFor() - before
//
// # Errors
//
// New fails if the system lacks one of the clocks. A clock that New could read stays
// available.
package uptime

import (
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// maxReadAttempts bounds how often the clocks are read until their readings are
	// close together.
	maxReadAttempts = 4
	// maxReadSpread bounds the difference between the readings of the monotonic clock
	// before and after that of the boot-time clock, and so the error of the result.
	maxReadSpread = time.Millisecond
)

// SystemClocks reads the machine's clocks. It is safe for concurrent use.
type SystemClocks struct {
	mu        sync.Mutex
	lastTotal time.Duration
}

// New returns the machine's clocks, or an error if one of them can't be read.
func New() (*SystemClocks, error) {
	for _, clockID := range []int32{unix.CLOCK_MONOTONIC, unix.CLOCK_BOOTTIME} {
		if _, err := readClock(clockID); err != nil {
			return nil, errors.Wrap(err, "read CLOCK_MONOTONIC and CLOCK_BOOTTIME, which needs Linux 2.6.39 or later")
		}
	}
	clocks := &SystemClocks{}
	clocks.SuspendedFor()
	return clocks, nil
}

// SuspendedFor returns for how long the machine has been suspended since it was booted.
// The result never decreases. If no exact reading succeeds, it is the previous one.
func (clocks *SystemClocks) SuspendedFor() time.Duration {
	clocks.mu.Lock()
	defer clocks.mu.Unlock()
	for range maxReadAttempts {
		before, beforeErr := readClock(unix.CLOCK_MONOTONIC)
		bootTime, bootErr := readClock(unix.CLOCK_BOOTTIME)
		after, afterErr := readClock(unix.CLOCK_MONOTONIC)
		if beforeErr != nil || bootErr != nil || afterErr != nil {
			// New has read these clocks, so this is not expected. The last total is still
			// a lower bound.
			return clocks.lastTotal
		}
		if total, exact := suspendedTime(before, bootTime, after); exact {
			clocks.lastTotal = max(clocks.lastTotal, total)
			return clocks.lastTotal
		}
	}
	return clocks.lastTotal
}

// suspendedTime returns the lead of the boot-time clock over the monotonic clock, and
// whether the two readings of the monotonic clock around it are close enough together.
func suspendedTime(before, bootTime, after time.Duration) (total time.Duration, exact bool) {
	return bootTime - after, after-before <= maxReadSpread
}

// readClock returns the time of a clock of the kernel.
func readClock(clockID int32) (time.Duration, error) {
	var now unix.Timespec
	if err := unix.ClockGettime(clockID, &now); err != nil {
		return 0, errors.Wrap(err, "clock_gettime")
	}
	return time.Duration(now.Nano()), nil
}
