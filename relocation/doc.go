// Package relocation decides when a fill run moves to another worker. A run is stopped only once a worker that
// tolerates it has been found and reserved, so that it isn't stopped in vain.
//
// It is for the case that fill runs are slowed because the serving runs beside them tolerate little interference,
// while other workers may or may not tolerate them. A run that is stopped without a destination waits, is placed where
// it is not tolerated, and is slowed and stopped again.
//
// # Gain
//
// A move has to save more time than it costs. [TimeSaved] is how much sooner a run would end if it went on at once at
// the pace that the other worker tolerates, where its present pace counts for a few seconds only, since the load of the
// serving runs changes. The cost is the time until the run goes on elsewhere, with the work that it repeats. For each
// earlier interruption of its task, the minimum gain grows by the cost once more, so that a task is not moved
// repeatedly while the tolerance of workers fluctuates; see [MinGain].
//
// # Offers
//
// The agent beside the run's worker makes an offer to the run's owner, and keeps it in an [OfferTracker]: one at a
// time, each with a number and the time at which it lapses. The run goes on meanwhile. An answer has an effect only if
// it arrives before that time, and only once. A run whose offer was declined or not answered is passed over for a time
// that grows; see [Backoff]. Until then other runs have their turn.
//
// # Reservations
//
// The owner keeps the reserved destinations in a [ReservationSet]: at most one for each task and for each worker. A
// reservation ends once it is used, can't be used any more, or has lasted for [ReservationTime].
//
// Nothing here is stored. If an agent is lost, its offers are lost and nothing is stopped for them. If an owner
// is lost, its reservations are lost, and a run that has been stopped for one is placed like any other task.
//
// # Usage
//
//	// At the agent:
//	if tracker.MayOffer(now) && backoff.IsOver(now) {
//		offer := tracker.Open(task, attempt, now)
//	}
//	offer, outcome := tracker.Answer(number, task, attempt, accepted, now)
//
//	// At the owner:
//	if relocation.TimeSaved(remaining, here, there) >= relocation.MinGain(cost, interruptions) {
//		reserved := reservations.Reserve(relocation.NewReservation(task, attempt, offer, destination, now))
//	}
package relocation
