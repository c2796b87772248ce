package overload

import "time"

// timeUntilAdmission returns how long it takes until a job can be admitted. There must be room for the jobs ahead of
// it, and for a job as large as the largest that called lately. Otherwise small jobs would take all room before a
// large one fits.
func (entry *tableEntry) timeUntilAdmission(ahead workAhead, request *Request, now time.Time) time.Duration {
	end := request.End + request.drainTime(max(ahead.largest-entry.coreMs, 0))
	wait := request.sharedDrainTime(ahead.unreported + ahead.refused)
	// At most one target duration is reserved, so that short jobs are not refused only because of the reserve.
	reserve := min(ahead.reserve+request.otherOwnersReserve(), request.Useful/usefulTargets)
	return end + wait + reserve - entry.usefulUntil.Sub(now)
}

// workAhead is the work ahead of a job that the forecast does not include, in ms of one core.
type workAhead struct {
	unreported float64 // admitted too recently for the forecast
	refused    float64 // of refused jobs that are admitted first
	largest    float64 // of the largest job that called lately
	// reserve is the time reserved for classes that have had less than their share.
	reserve time.Duration
}

// workAhead returns the work ahead of a job. Refused jobs are ahead of it if they called first and can still end in
// time. If the job's class has had less than its share, only refused jobs of the same class are ahead of it, and jobs
// of the other classes leave a reserve for it.
func (table *Table) workAhead(entry *tableEntry, request *Request, now time.Time) workAhead {
	ahead := workAhead{largest: entry.pool.largest()}
	withinShare := entry.pool.classesWithinShare(now)
	backlog := request.End - request.drainTime(entry.coreMs)
	if !withinShare[entry.class] && len(withinShare) > 0 {
		ahead.reserve = shareReserve
	}
	for _, other := range table.entries {
		if other == entry || other.pool != entry.pool {
			continue
		}
		if !other.isRefused() {
			if now.Sub(other.admittedAt) < reportDelay {
				ahead.unreported += other.coreMs
			}
			continue
		}
		if withinShare[entry.class] && other.class != entry.class {
			continue
		}
		end := backlog + request.drainTime(max(ahead.largest, other.coreMs))
		canBeInTime := end <= other.usefulUntil.Sub(now)
		if canBeInTime && other.order < entry.order {
			ahead.refused += other.coreMs
		}
	}
	return ahead
}
