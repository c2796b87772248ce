package overload

import (
	"time"
)

const (
	// maxEntries bounds the table to about one megabyte. Beyond it newcomers are not kept.
	maxEntries = 4096
	// settledMaxAge is how long a job counts as one that may be in the store. By then the owner has read it, or
	// every attempt to append it has ended.
	settledMaxAge = 30 * time.Second
	// returnTolerance is how long after the time that its caller was told an entry is kept.
	returnTolerance = 3 * time.Second
	// reportDelay is how long admitted work is missing from forecasts, because owners report their backlogs
	// once a second.
	reportDelay = time.Second
	// minRetryAfter is the least that callers are told.
	minRetryAfter = time.Second
	// keptForShares is how much room the other classes leave for those that have had less than their share. It
	// covers what is admitted since the last forecast and until the next.
	keptForShares = 2 * reportDelay
	// returns is how many times a caller may come back while its job can still end in time.
	returns = 2
	// retrySpread is the part of the time told by which callers are spread.
	retrySpread = 0.25
)

// Request describes a job whose caller asks for admission.
type Request struct {
	ID string
	// Pool names what the job competes for: jobs of one pool wait for each other.
	Pool  string
	Queue string
	// CoreMs is the estimated work, in ms of one core.
	CoreMs int64
	// End is the forecast time until the job ends, if it is admitted now, and Useful that until its end is of
	// no use any more.
	End, Useful time.Duration
	// DrainedCoreMsPerS is the rate at which work of the pool is done, and Share the part of it that is due to
	// the jobs of this table.
	DrainedCoreMsPerS, Share float64
}

// lineTime returns how long it takes until work of this table's jobs has been done.
func (request *Request) lineTime(coreMs float64) time.Duration {
	return time.Duration(coreMs / (request.DrainedCoreMsPerS * request.Share) * float64(time.Second))
}

// ownTime returns by how much the work of a job delays its own end.
func (request *Request) ownTime(coreMs float64) time.Duration {
	return time.Duration(coreMs / request.DrainedCoreMsPerS * float64(time.Second))
}

// unseenTime returns the time kept for jobs that other owners admit before forecasts include them. Their number is
// estimated by that of this table's jobs, which may be too few by chance.
func (request *Request) unseenTime() time.Duration {
	return time.Duration(float64(reportDelay) * (1 - min(request.Share, 1)))
}

// lineEntry is a job whose caller was refused or admitted, or that may be in the store.
type lineEntry struct {
	// pool and class are nil for a job that was only reported as one that may be in the store.
	pool        *classPool
	class       *sizeClass
	coreMs      float64
	order       int64 // by first call
	firstCallAt time.Time
	usefulUntil time.Time     // the job's end is of some use to its caller until then
	told        time.Duration // after which time the caller was last told to come back
	toldAt      time.Time     // when that time is over
	refusals    int
	// settledAt is when the job was admitted, or when it became known that it may be in the store. It is the
	// zero time while the job is refused.
	settledAt time.Time
	// hasArrived is set once the owner has read the job. Then it only counts until forecasts include it.
	hasArrived bool
}

// hasLapsed reports whether the entry has no effect any more.
func (entry *lineEntry) hasLapsed(now time.Time) bool {
	if entry.hasArrived {
		return now.Sub(entry.settledAt) > reportDelay
	}
	if !entry.settledAt.IsZero() {
		return now.Sub(entry.settledAt) > settledMaxAge
	}
	return now.Sub(entry.toldAt) > returnTolerance
}

// Table holds the callers that an owner has refused or admitted lately. It must not be used by several
// goroutines at a time.
type Table struct {
	entries map[string]*lineEntry // by job ID
	pools   map[string]*classPool
	calls   int64
	// overflowUntil is until when the table lacks jobs that must not be refused.
	overflowUntil time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: map[string]*lineEntry{}, pools: map[string]*classPool{}}
}

// Len returns the number of jobs that the table holds.
func (table *Table) Len() int { return len(table.entries) }

// Settle notes that a job may be in the store, so that it is not refused.
func (table *Table) Settle(id string, now time.Time) {
	table.expire(now)
	if entry, known := table.entries[id]; known && entry.settledAt.IsZero() {
		entry.admit(now)
		return
	}
	table.keepSettled(id, &lineEntry{settledAt: now})
}

// Arrive notes that the owner has read a job from the store. It returns how its caller came back, if it had been
// refused before and came in without asking. Of request only what the job is has to be set. While others ask, a job
// that came in unasked counts in the shares, and until forecasts include it.
func (table *Table) Arrive(request Request, now time.Time) (Return, bool) {
	entry, known := table.entries[request.ID]
	if !known {
		table.arriveUnasked(&request, now)
		return Return{}, false
	}
	entry.hasArrived = true
	if !entry.settledAt.IsZero() {
		return Return{}, false
	}
	caller := newReturn(entry, now)
	entry.admit(now)
	return caller, true
}

// arriveUnasked counts a job that came in because its forecast was in time. Its entry may be missing, since an owner
// never refuses a job that it has read.
func (table *Table) arriveUnasked(request *Request, now time.Time) {
	if table.pools[request.Pool] == nil || request.CoreMs == 0 {
		return
	}
	table.expire(now)
	if table.pools[request.Pool] == nil {
		return
	}
	entry := table.newEntry(request, now)
	entry.hasArrived = true
	entry.admit(now)
	if len(table.entries) < maxEntries {
		table.entries[request.ID] = entry
	}
}

// Decide decides whether a job is admitted, and otherwise when its caller may come back. Without the rate at
// which work is done the decision is not made.
func (table *Table) Decide(request Request, now time.Time) Decision {
	table.expire(now)
	entry, known := table.entries[request.ID]
	if known && !entry.settledAt.IsZero() {
		return Decision{decided: true, admitted: true, reason: ReasonSettled}
	}
	if request.DrainedCoreMsPerS <= 0 || request.Share <= 0 || now.Before(table.overflowUntil) {
		return Decision{}
	}
	decision := Decision{decided: true, reason: ReasonTooLate}
	if known {
		decision.caller, decision.hasReturned = newReturn(entry, now), true
	} else {
		entry = table.newEntry(&request, now)
	}
	wait := table.turn(entry, &request, now)
	if wait <= 0 {
		entry.admit(now)
		table.keepSettled(request.ID, entry)
		decision.admitted, decision.reason = true, ReasonInTime
		return decision
	}
	decision.retryAfter = table.refuse(entry, &request, wait, now)
	table.keepRefused(request.ID, entry)
	return decision
}

// newEntry returns an entry for a newcomer.
func (table *Table) newEntry(request *Request, now time.Time) *lineEntry {
	competitors := table.pools[request.Pool]
	if competitors == nil {
		competitors = &classPool{classes: map[string]*sizeClass{}}
		table.pools[request.Pool] = competitors
	}
	table.calls++
	return &lineEntry{
		pool: competitors, class: competitors.class(request, now),
		coreMs: float64(request.CoreMs), order: table.calls, firstCallAt: now, usefulUntil: now.Add(request.Useful),
	}
}

// turn returns how long it takes until there is room for a job: room for those ahead of it, and for a job as large
// as the largest that called lately. Without the latter small jobs would take all room before a large one fits.
func (table *Table) turn(entry *lineEntry, request *Request, now time.Time) time.Duration {
	ahead := table.workAhead(entry, request, now)
	end := request.End + request.ownTime(max(ahead.largest-entry.coreMs, 0))
	wait := request.lineTime(ahead.unreported + ahead.line)
	// Not more than a target duration is kept free, so that short jobs are not refused for it alone.
	kept := min(ahead.kept+request.unseenTime(), request.Useful/usefulTargets)
	return end + wait + kept - entry.usefulUntil.Sub(now)
}

// work is what lies ahead of a job besides the backlog that the forecast includes.
type work struct {
	unreported float64 // admitted, and not in the forecast yet
	line       float64 // of the refused jobs that come in first
	largest    float64 // of all jobs that called lately
	// kept is for classes that have had less than their share.
	kept time.Duration
}

// workAhead returns the work ahead of a job. For a job of a class that has had less than its share that is the
// work of its class alone, and other jobs leave room for it.
func (table *Table) workAhead(entry *lineEntry, request *Request, now time.Time) work {
	ahead := work{largest: entry.pool.largest()}
	withinShare := entry.pool.classesWithinShare(now)
	backlog := request.End - request.ownTime(entry.coreMs)
	if !withinShare[entry.class] && len(withinShare) > 0 {
		ahead.kept = keptForShares
	}
	for _, other := range table.entries {
		if other == entry || other.pool != entry.pool {
			continue
		}
		if !other.settledAt.IsZero() {
			if now.Sub(other.settledAt) < reportDelay {
				ahead.unreported += other.coreMs
			}
			continue
		}
		if withinShare[entry.class] && other.class != entry.class {
			continue
		}
		// A job that can't end in time any more does not hold up others.
		end := backlog + request.ownTime(max(ahead.largest, other.coreMs))
		canBeInTime := end <= other.usefulUntil.Sub(now)
		if canBeInTime && other.order < entry.order {
			ahead.line += other.coreMs
		}
	}
	return ahead
}

// admit notes that a job has been admitted.
func (entry *lineEntry) admit(now time.Time) {
	entry.settledAt = now
	entry.class.fade(now)
	entry.class.admitted += entry.coreMs
}

// refuse notes that a job has been refused, and returns when its caller may come back: once there is room, but not
// more often than its useful time allows for a change of the forecast. Time passes as fast as the backlog shrinks,
// so that coming back sooner would not help.
func (table *Table) refuse(entry *lineEntry, request *Request, wait time.Duration, now time.Time) time.Duration {
	longest := longestWait(request.Useful)
	left := longest - now.Sub(entry.firstCallAt)
	retryAfter := min(max(wait, longest/returns), left)
	if left < minRetryAfter {
		retryAfter = entry.usefulUntil.Sub(now)
	}
	retryAfter = max(retryAfter, minRetryAfter)
	retryAfter += spread(request.ID, time.Duration(float64(retryAfter)*retrySpread))
	entry.refusals++
	entry.told = retryAfter
	entry.toldAt = now.Add(retryAfter)
	return retryAfter
}

// keepRefused adds the entry of a refused job, unless the table is full.
func (table *Table) keepRefused(id string, entry *lineEntry) {
	if len(table.entries) < maxEntries {
		table.entries[id] = entry
	}
}

// keepSettled adds the entry of a job that must not be refused. If the table is full, it takes the space of the
// refused job that called last. If there is none, nothing is refused until the entries have lapsed.
func (table *Table) keepSettled(id string, entry *lineEntry) {
	if _, known := table.entries[id]; !known && len(table.entries) >= maxEntries && !table.dropYoungest() {
		table.overflowUntil = entry.settledAt.Add(settledMaxAge)
		return
	}
	table.entries[id] = entry
}

// dropYoungest removes the refused job that called last, and reports whether there was one.
func (table *Table) dropYoungest() bool {
	youngest := ""
	for id, entry := range table.entries {
		if entry.settledAt.IsZero() && (youngest == "" || entry.firstCallAt.After(table.entries[youngest].firstCallAt)) {
			youngest = id
		}
	}
	delete(table.entries, youngest)
	return youngest != ""
}

// expire removes what has no effect any more.
func (table *Table) expire(now time.Time) {
	used := map[*sizeClass]bool{}
	for id, entry := range table.entries {
		if entry.hasLapsed(now) {
			delete(table.entries, id)
			continue
		}
		used[entry.class] = true
	}
	for name, competitors := range table.pools {
		competitors.removeUnused(used, now)
		if len(competitors.classes) == 0 {
			delete(table.pools, name)
		}
	}
}
