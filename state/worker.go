package state

import (
	"ambertiller.example/ambertiller/record"
)

// Draining reports whether an operator is emptying the worker.
func (folded *State) Draining(worker string) bool { return folded.workers[worker].GetDraining() }

// Suspicion returns the number of the suspicion that the worker is under, zero
// when it is under none. While it is, nobody renews leases on the worker.
func (folded *State) Suspicion(worker string) uint64 {
	if !folded.workers[worker].GetSuspected() {
		return 0
	}
	return folded.workers[worker].GetSuspicions()
}

// Suspicions returns how many suspicions the worker has been under.
func (folded *State) Suspicions(worker string) uint64 {
	return folded.workers[worker].GetSuspicions()
}

// Knows reports whether any record spoke of the worker.
func (folded *State) Knows(worker string) bool {
	_, marked := folded.workers[worker]
	_, held := folded.byWorker[worker]
	return marked || held
}

func (folded *State) worker(name string) *record.WorkerState {
	worker, found := folded.workers[name]
	if !found {
		worker = &record.WorkerState{Worker: name}
		folded.workers[name] = worker
	}
	return worker
}

func (folded *State) drainWorker(drain *record.WorkerDrain) Reason {
	if !validName(drain.GetWorker()) {
		return ReasonInvalid
	}
	if folded.Draining(drain.GetWorker()) == drain.GetDraining() {
		return ReasonPhase
	}
	folded.worker(drain.GetWorker()).Draining = drain.GetDraining()
	return ""
}

func (folded *State) suspectWorker(suspect *record.WorkerSuspect) Reason {
	if !validName(suspect.GetWorker()) {
		return ReasonInvalid
	}
	present := folded.Suspicion(suspect.GetWorker())
	if suspect.GetCleared() {
		if present == 0 || present != suspect.GetSuspicion() {
			return ReasonStale
		}
		folded.worker(suspect.GetWorker()).Suspected = false
		return ""
	}
	if present != 0 {
		return ReasonExists
	}
	worker := folded.worker(suspect.GetWorker())
	worker.Suspected = true
	worker.Suspicions++
	return ""
}
