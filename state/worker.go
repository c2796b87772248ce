package state

import (
	"ambertiller.example/ambertiller/record"
)

// IsDraining reports whether an operator is draining the worker.
func (s *State) IsDraining(worker string) bool { return s.workers[worker].GetDraining() }

// ActiveSuspicion returns the number of the suspicion that the worker is under, or
// zero if it is under none. A worker is suspected to have failed when its guard has
// stopped reporting. Its suspicions are numbered from 1. No entry renews leases on a
// suspected worker.
func (s *State) ActiveSuspicion(worker string) uint64 {
	if !s.workers[worker].GetSuspected() {
		return 0
	}
	return s.workers[worker].GetSuspicions()
}

// SuspicionCount returns how many suspicions of the worker there have been,
// including the active one.
func (s *State) SuspicionCount(worker string) uint64 {
	return s.workers[worker].GetSuspicions()
}

// HasWorker reports whether any record has named the worker.
func (s *State) HasWorker(worker string) bool {
	_, hasState := s.workers[worker]
	_, hasTasks := s.tasksByWorker[worker]
	return hasState || hasTasks
}

// ensureWorker returns the state of a worker and creates it if needed.
func (s *State) ensureWorker(name string) *record.WorkerState {
	worker, found := s.workers[name]
	if !found {
		worker = &record.WorkerState{Worker: name}
		s.workers[name] = worker
	}
	return worker
}

func (s *State) drainWorker(drain *record.WorkerDrain) Reason {
	if !isValidName(drain.GetWorker()) {
		return ReasonInvalid
	}
	if s.IsDraining(drain.GetWorker()) == drain.GetDraining() {
		return ReasonPhase
	}
	s.ensureWorker(drain.GetWorker()).Draining = drain.GetDraining()
	return ""
}

func (s *State) suspectWorker(suspect *record.WorkerSuspect) Reason {
	if !isValidName(suspect.GetWorker()) {
		return ReasonInvalid
	}
	active := s.ActiveSuspicion(suspect.GetWorker())
	if suspect.GetCleared() {
		if active == 0 || active != suspect.GetSuspicion() {
			return ReasonStale
		}
		s.ensureWorker(suspect.GetWorker()).Suspected = false
		return ""
	}
	if active != 0 {
		return ReasonExists
	}
	worker := s.ensureWorker(suspect.GetWorker())
	worker.Suspected = true
	worker.Suspicions++
	return ""
}
