package relocation

import (
	"maps"
	"slices"
	"time"
)

// ReservationTime is the longest time for which a reservation lasts. It covers the answer to the agent, the stop
// of the run, which may have to be sent twice, and the message with its end.
const ReservationTime = 2 * time.Second

// Reservation is the reservation of a worker's resources for a run on another worker that its agent has offered.
type Reservation struct {
	task        string
	attempt     int32
	offer       int64
	destination string
	reservedAt  time.Time
}

// NewReservation returns a reservation for a run, in answer to the offer with a number. The destination is the
// address of the agent of the worker that will take it.
func NewReservation(task string, attempt int32, offer int64, destination string, now time.Time) Reservation {
	return Reservation{task: task, attempt: attempt, offer: offer, destination: destination, reservedAt: now}
}

// Task returns the task that the destination is reserved for.
func (reservation Reservation) Task() string { return reservation.task }

// Attempt returns the attempt of the run that is to be stopped.
func (reservation Reservation) Attempt() int32 { return reservation.attempt }

// Destination returns the address of the destination's agent.
func (reservation Reservation) Destination() string { return reservation.destination }

// Age returns how long ago the reservation was made.
func (reservation Reservation) Age(now time.Time) time.Duration {
	return now.Sub(reservation.reservedAt)
}

// IsFor reports whether the reservation was made for an offer, which may have been received twice.
func (reservation Reservation) IsFor(offer int64, attempt int32) bool {
	return reservation.offer == offer && reservation.attempt == attempt
}

// Situation is what the owner knows now of a reservation's task and destination.
type Situation struct {
	// Released is set if the shard of the task is no longer owned, Ended if the job of the task has ended.
	Released, Ended bool
	// Lost is set if the destination's agent is not connected or its worker is another incarnation, Draining
	// if the worker drains, and Evacuated if its failure domain is evacuated.
	Lost, Draining, Evacuated bool
	// Running is set while the run that is to be stopped has not ended, and Waiting if it was stopped and its
	// task waits for a worker.
	Running, Waiting bool
}

// EndReason is why a reservation ended.
type EndReason string

// The reasons.
const (
	// Used means that the task is to be placed on the destination now.
	Used                 EndReason = "used"
	Expired              EndReason = "expired"
	JobEnded             EndReason = "job ended"
	RunEnded             EndReason = "run ended by itself"
	ShardReleased        EndReason = "shard released"
	DestinationLost      EndReason = "destination lost"
	DestinationDrains    EndReason = "destination drains"
	DestinationEvacuated EndReason = "destination evacuated"
	// OfferedAgain means that the run has been offered again, under another number.
	OfferedAgain EndReason = "offered again"
	// PlacedElsewhere means that the destination can't take the task any more, and another worker has it.
	PlacedElsewhere EndReason = "placed elsewhere"
	// Unfit means that neither the destination nor any other worker can take the task any more.
	Unfit EndReason = "no longer fits"
)

// CheckEnd returns why the reservation ends in a situation, and false if it goes on.
func (reservation Reservation) CheckEnd(situation Situation, now time.Time) (EndReason, bool) {
	switch {
	case situation.Released:
		return ShardReleased, true
	case situation.Ended:
		return JobEnded, true
	case situation.Lost:
		return DestinationLost, true
	case situation.Draining:
		return DestinationDrains, true
	case situation.Evacuated:
		return DestinationEvacuated, true
	case situation.Waiting:
		return Used, true
	case !situation.Running:
		return RunEnded, true
	case reservation.Age(now) >= ReservationTime:
		return Expired, true
	}
	return "", false
}

// ReservationSet holds the reservations of an owner.
type ReservationSet struct {
	byTask        map[string]Reservation
	byDestination map[string]string // the task
}

// NewReservationSet returns a set without reservations.
func NewReservationSet() *ReservationSet {
	return &ReservationSet{byTask: map[string]Reservation{}, byDestination: map[string]string{}}
}

// Reserve adds a reservation. It returns false, and adds nothing, if the task or the destination has one.
func (set *ReservationSet) Reserve(reservation Reservation) bool {
	_, taskReserved := set.byTask[reservation.task]
	_, destinationReserved := set.byDestination[reservation.destination]
	if taskReserved || destinationReserved {
		return false
	}
	set.byTask[reservation.task] = reservation
	set.byDestination[reservation.destination] = reservation.task
	return true
}

// Release removes the reservation of a task, if it has one.
func (set *ReservationSet) Release(task string) {
	delete(set.byDestination, set.byTask[task].destination)
	delete(set.byTask, task)
}

// ByTask returns the reservation of a task, and whether there is one.
func (set *ReservationSet) ByTask(task string) (Reservation, bool) {
	reservation, found := set.byTask[task]
	return reservation, found
}

// ByDestination returns the reservation of a destination, and whether there is one.
func (set *ReservationSet) ByDestination(destination string) (Reservation, bool) {
	task, reserved := set.byDestination[destination]
	return set.byTask[task], reserved
}

// All returns all reservations, sorted by task.
func (set *ReservationSet) All() []Reservation {
	var reservations []Reservation
	for _, task := range slices.Sorted(maps.Keys(set.byTask)) {
		reservations = append(reservations, set.byTask[task])
	}
	return reservations
}
