package overload

import "time"

// maxTrackedAppends bounds the jobs that an AppendTracker keeps. With more of them, every job counts as one that may be
// in the store.
const maxTrackedAppends = 8192

// AppendTracker tracks the jobs that may be in the store because a gateway has tried to append them. It must not be
// used by several goroutines at a time.
type AppendTracker struct {
	appends map[string]*appendState // by job ID
	// overflowUntil is the time until which appends may lack jobs that may be in the store.
	overflowUntil time.Time
}

// appendState is what is known of the appends of one job.
type appendState struct {
	inFlight       int
	unsettledUntil time.Time
}

// NewAppendTracker returns an AppendTracker without jobs.
func NewAppendTracker() *AppendTracker {
	return &AppendTracker{appends: map[string]*appendState{}}
}

// BeginAppend records that an append of a job begins.
func (tracker *AppendTracker) BeginAppend(id string, now time.Time) {
	if tracker.appends[id] == nil {
		if len(tracker.appends) >= maxTrackedAppends {
			tracker.prune(now)
		}
		if len(tracker.appends) >= maxTrackedAppends {
			tracker.overflowUntil = now.Add(maxAppendDelay)
			return
		}
		tracker.appends[id] = &appendState{}
	}
	tracker.appends[id].inFlight++
}

// EndAppend records that an append of a job has ended. It is unsettled if it is not known whether the store has the
// job.
func (tracker *AppendTracker) EndAppend(id string, unsettled bool, now time.Time) {
	state := tracker.appends[id]
	if state == nil {
		if unsettled {
			tracker.overflowUntil = now.Add(maxAppendDelay)
		}
		return
	}
	state.inFlight = max(state.inFlight-1, 0)
	if unsettled {
		state.unsettledUntil = now.Add(maxAppendDelay)
	}
	if state.isDone(now) {
		delete(tracker.appends, id)
	}
}

// MayBeStored reports whether a job may be in the store.
func (tracker *AppendTracker) MayBeStored(id string, now time.Time) bool {
	state := tracker.appends[id]
	return now.Before(tracker.overflowUntil) || state != nil && !state.isDone(now)
}

func (tracker *AppendTracker) prune(now time.Time) {
	for id, state := range tracker.appends {
		if state.isDone(now) {
			delete(tracker.appends, id)
		}
	}
}

// isDone reports whether the job is certainly not in the store, or known to its owner.
func (state *appendState) isDone(now time.Time) bool {
	return state.inFlight == 0 && !now.Before(state.unsettledUntil)
}
