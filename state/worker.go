package state

import (
	"ambertiller.example/ambertiller/record"
)

// IsDraining reports whether an operator is emptying the worker.
func (folded *State) IsDraining(worker string) bool { return folded.workers[worker].GetDraining() }

// ActiveSuspicion returns the number of the suspicion that the worker is under, zero
// when it is under none. While it is, nobody renews leases on the worker.
func (folded *State) ActiveSuspicion(worker string) uint64 {
	if !folded.workers[worker].GetSuspected() {
		return 0
	}
	return folded.workers[worker].GetSuspicions()
}

// SuspicionCount returns how many suspicions the worker has been under.
func (folded *State) SuspicionCount(worker string) uint64 {
	return folded.workers[worker].GetSuspicions()
}

// HasWorker reports whether any record spoke of the worker.
func (folded *State) HasWorker(worker string) bool {
	_, marked := folded.workers[worker]
	_, held := folded.tasksByWorker[worker]
	return marked || held
}

func (folded *State) ensureWorker(name string) *record.WorkerState {
	worker, found := folded.workers[name]
	if !found {
		worker = &record.WorkerState{Worker: name}
		folded.workers[name] = worker
	}
	return worker
}

func (folded *State) drainWorker(drain *record.WorkerDrain) Reason {
	if !isValidName(drain.GetWorker()) {
		return ReasonInvalid
	}
	if folded.IsDraining(drain.GetWorker()) == drain.GetDraining() {
		return ReasonPhase
	}
	folded.ensureWorker(drain.GetWorker()).Draining = drain.GetDraining()
	return ""
}

func (folded *State) suspectWorker(suspect *record.WorkerSuspect) Reason {
	if !isValidName(suspect.GetWorker()) {
		return ReasonInvalid
	}
	present := folded.ActiveSuspicion(suspect.GetWorker())
	if suspect.GetCleared() {
		if present == 0 || present != suspect.GetSuspicion() {
			return ReasonStale
		}
		folded.ensureWorker(suspect.GetWorker()).Suspected = false
		return ""
	}
	if present != 0 {
		return ReasonExists
	}
	worker := folded.ensureWorker(suspect.GetWorker())
	worker.Suspected = true
	worker.Suspicions++
	return ""
}
