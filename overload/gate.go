package overload

import "time"

// maxUnsettled bounds the IDs that a gate keeps. Beyond it every job is taken for one that may be in the store.
const maxUnsettled = 8192

// Gate is what one gateway knows: which jobs may be in the store. It must not be used by several goroutines at a
// time.
type Gate struct {
	appends map[string]*appendState // by job ID
	// overflowUntil is until when the IDs of some jobs that may be in the store are missing.
	overflowUntil time.Time
}

// appendState says whether a job may be in the store.
type appendState struct {
	inFlight       int
	unsettledUntil time.Time
}

// NewGate returns a gate that knows of no jobs.
func NewGate() *Gate {
	return &Gate{appends: map[string]*appendState{}}
}

// BeginAppend notes that an append of a job begins.
func (gate *Gate) BeginAppend(id string, now time.Time) {
	if gate.appends[id] == nil {
		if len(gate.appends) >= maxUnsettled {
			gate.expire(now)
		}
		if len(gate.appends) >= maxUnsettled {
			gate.overflowUntil = now.Add(settledMaxAge)
			return
		}
		gate.appends[id] = &appendState{}
	}
	gate.appends[id].inFlight++
}

// EndAppend notes that an append of a job has ended, and whether the job may be in the store without the caller
// knowing.
func (gate *Gate) EndAppend(id string, unsettled bool, now time.Time) {
	state := gate.appends[id]
	if state == nil {
		if unsettled {
			gate.overflowUntil = now.Add(settledMaxAge)
		}
		return
	}
	state.inFlight = max(state.inFlight-1, 0)
	if unsettled {
		state.unsettledUntil = now.Add(settledMaxAge)
	}
	if state.isOver(now) {
		delete(gate.appends, id)
	}
}

// MayBeStored reports whether a job may be in the store.
func (gate *Gate) MayBeStored(id string, now time.Time) bool {
	state := gate.appends[id]
	return now.Before(gate.overflowUntil) || state != nil && !state.isOver(now)
}

func (gate *Gate) expire(now time.Time) {
	for id, state := range gate.appends {
		if state.isOver(now) {
			delete(gate.appends, id)
		}
	}
}

// isOver reports whether the job is certainly not in the store, or known to its owner.
func (state *appendState) isOver(now time.Time) bool {
	return state.inFlight == 0 && !now.Before(state.unsettledUntil)
}
