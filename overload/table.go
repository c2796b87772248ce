package overload

import "time"

const (
	// maxEntries bounds the table to about one megabyte.
	maxEntries = 4096
	// maxAppendDelay is how long a job counts as one that may be in the store. By then the owner has read it, or every
	// attempt to append it has ended without effect.
	maxAppendDelay = 30 * time.Second
	// returnTolerance is how late a refused caller may come back before its entry expires.
	returnTolerance = 3 * time.Second
	// reportDelay is how long admitted work is missing from forecasts, because owners report their backlogs
	// once a second.
	reportDelay = time.Second
	// minRetryAfter is the shortest time after which callers are told to come back.
	minRetryAfter = time.Second
	// shareReserve is the time that other classes leave free for classes that have had less than their share. It covers
	// the jobs admitted since the last forecast and until the next one.
	shareReserve = 2 * reportDelay
	// maxReturns is how many times a caller may come back while its job can still end in time.
	maxReturns = 2
	// retrySpread is the part of its waiting time by which a caller's return is delayed at most, see spread.
	retrySpread = 0.25
)

// Table holds the jobs that an owner has refused or admitted lately. It must not be used by several goroutines at a
// time.
type Table struct {
	entries map[string]*tableEntry // by job ID
	pools   map[string]*jobPool
	calls   int64 // first calls so far
	// overflowUntil is the time until which the table may lack jobs that must not be refused.
	overflowUntil time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: map[string]*tableEntry{}, pools: map[string]*jobPool{}}
}

// Len returns the number of jobs that the table holds.
func (table *Table) Len() int { return len(table.entries) }

// MarkMayBeStored records that a job may be in the store, so that it is not refused.
func (table *Table) MarkMayBeStored(id string, now time.Time) {
	table.prune(now)
	if entry, known := table.entries[id]; known && entry.isRefused() {
		entry.admit(now)
		return
	}
	table.putAdmitted(id, &tableEntry{admittedAt: now})
}

// MarkStored records that the owner has read a job from the store. If the job was refused before, and its gateway has
// accepted it without asking the owner again, MarkStored returns how its caller came back; otherwise it reports false.
// In request, only the ID, the pool, the queue and the work must be set.
func (table *Table) MarkStored(request Request, now time.Time) (Return, bool) {
	entry, known := table.entries[request.ID]
	if !known {
		table.addStored(&request, now)
		return Return{}, false
	}
	entry.isStored = true
	if !entry.isRefused() {
		return Return{}, false
	}
	caller := newReturn(entry, now)
	entry.admit(now)
	return caller, true
}

// addStored adds a job that its gateway has accepted without asking the owner. While its pool is in the table, the job
// counts in the shares of classes, and as unreported work until forecasts include it. If the table is full, the job
// gets no entry, since an owner never refuses a job that it has read.
func (table *Table) addStored(request *Request, now time.Time) {
	if table.pools[request.Pool] == nil || request.CoreMs == 0 {
		return
	}
	table.prune(now)
	if table.pools[request.Pool] == nil {
		return
	}
	entry := table.newEntry(request, now)
	entry.isStored = true
	entry.admit(now)
	if len(table.entries) < maxEntries {
		table.entries[request.ID] = entry
	}
}

// Decide decides whether a job is admitted, and otherwise when its caller may come back. It makes no decision if the
// rate at which work is done is not known, or if the table may lack jobs that must not be refused.
func (table *Table) Decide(request Request, now time.Time) Decision {
	table.prune(now)
	entry, known := table.entries[request.ID]
	if known && !entry.isRefused() {
		return Decision{decided: true, admitted: true, reason: ReasonMayBeStored}
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
	wait := entry.timeUntilAdmission(table.workAhead(entry, &request, now), &request, now)
	if wait <= 0 {
		entry.admit(now)
		table.putAdmitted(request.ID, entry)
		decision.admitted, decision.reason = true, ReasonInTime
		return decision
	}
	decision.retryAfter = entry.refuse(&request, wait, now)
	table.putRefused(request.ID, entry)
	return decision
}

// putRefused adds the entry of a refused job, unless the table is full.
func (table *Table) putRefused(id string, entry *tableEntry) {
	if len(table.entries) < maxEntries {
		table.entries[id] = entry
	}
}

// putAdmitted adds the entry of a job that must not be refused. If the table is full, the entry replaces that of the
// refused job that called last. If there is none, no job is refused until the entries have expired.
func (table *Table) putAdmitted(id string, entry *tableEntry) {
	if _, known := table.entries[id]; !known && len(table.entries) >= maxEntries && !table.dropNewestRefused() {
		table.overflowUntil = entry.admittedAt.Add(maxAppendDelay)
		return
	}
	table.entries[id] = entry
}

// dropNewestRefused removes the refused job that called last, and reports whether there was one.
func (table *Table) dropNewestRefused() bool {
	newest := ""
	for id, entry := range table.entries {
		if entry.isRefused() && (newest == "" || entry.firstCallAt.After(table.entries[newest].firstCallAt)) {
			newest = id
		}
	}
	delete(table.entries, newest)
	return newest != ""
}

// newEntry returns an entry for a job whose caller calls for the first time.
func (table *Table) newEntry(request *Request, now time.Time) *tableEntry {
	pool := table.pools[request.Pool]
	if pool == nil {
		pool = &jobPool{classes: map[string]*sizeClass{}}
		table.pools[request.Pool] = pool
	}
	table.calls++
	return &tableEntry{
		pool: pool, class: pool.addJob(request, now),
		coreMs: float64(request.CoreMs), order: table.calls, firstCallAt: now, usefulUntil: now.Add(request.Useful),
	}
}

// prune removes expired entries, and the classes and pools without use.
func (table *Table) prune(now time.Time) {
	used := map[*sizeClass]bool{}
	for id, entry := range table.entries {
		if entry.isExpired(now) {
			delete(table.entries, id)
			continue
		}
		used[entry.class] = true
	}
	for name, pool := range table.pools {
		pool.prune(used, now)
		if len(pool.classes) == 0 {
			delete(table.pools, name)
		}
	}
}
