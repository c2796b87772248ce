package report

import (
	"fmt"
	"strings"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/relocation"
)

// Moves summarizes the slowed runs that agents offered to owners for a move, and the evictions.
type Moves struct {
	Offered int `json:"offered"`
	// Answers counts closed offers by outcome. Declined offers have the owner's reason if the logs have it, which
	// owners log at level debug.
	Answers []Count `json:"answers"`
	// Reserved counts the reservations of destinations, and ReservationEnds how they ended.
	Reserved        int     `json:"reserved"`
	ReservationEnds []Count `json:"reservation_ends"`
	// Moved counts the runs that were evicted after an accepted offer, EvictedWithoutDestination all others that
	// were evicted.
	Moved                     int `json:"moved"`
	EvictedWithoutDestination int `json:"evicted_without_destination"`
}

// runKey identifies a run.
type runKey struct {
	task    string
	attempt int32
}

// offerKey identifies an offer of a run.
type offerKey struct {
	run    runKey
	number int64
}

func (ln *line) runKey() runKey     { return runKey{task: ln.Task, attempt: ln.Attempt} }
func (ln *line) offerKey() offerKey { return offerKey{run: ln.runKey(), number: ln.Offer} }

// moveHistory holds what is known of offers, reservations and evictions.
type moveHistory struct {
	isShown         bool // whether the logs have events of moves
	offered         int
	outcomes        map[offerKey]string // of closed offers
	declineReasons  map[offerKey]string // the reasons of owners
	accepted        map[runKey]bool     // runs with an accepted offer
	evicted         map[runKey]bool
	reserved        int
	reservationEnds map[string]int
}

func newMoveHistory() moveHistory {
	return moveHistory{
		outcomes: map[offerKey]string{}, declineReasons: map[offerKey]string{}, accepted: map[runKey]bool{},
		evicted: map[runKey]bool{}, reservationEnds: map[string]int{},
	}
}

// apply updates the history from a log line.
func (moves *moveHistory) apply(ln *line) {
	moves.isShown = moves.isShown || ln.Event >= event.MoveOffered && ln.Event <= event.MoveReservationEnded
	switch ln.Event {
	case event.MoveOffered:
		moves.offered++
	case event.MoveAnswered:
		moves.outcomes[ln.offerKey()] = ln.Outcome
		if ln.Outcome == string(relocation.Accepted) {
			moves.accepted[ln.runKey()] = true
		}
	case event.MoveReserved:
		moves.reserved++
	case event.MoveDeclined:
		moves.declineReasons[ln.offerKey()] = ln.Reason
	case event.MoveReservationEnded:
		moves.reservationEnds[ln.Reason]++
	case event.RunEvicted:
		moves.evicted[ln.runKey()] = true
	}
}

// summary returns the moves, or nil if the logs have none of their events.
func (moves *moveHistory) summary() *Moves {
	if !moves.isShown {
		return nil
	}
	summary := &Moves{Offered: moves.offered, Reserved: moves.reserved, ReservationEnds: sortedCounts(moves.reservationEnds)}
	answers := map[string]int{}
	for offer, outcome := range moves.outcomes {
		if reason := moves.declineReasons[offer]; reason != "" && outcome == string(relocation.Declined) {
			outcome += ": " + reason
		}
		answers[outcome]++
	}
	summary.Answers = sortedCounts(answers)
	for run := range moves.evicted {
		if moves.accepted[run] {
			summary.Moved++
		} else {
			summary.EvictedWithoutDestination++
		}
	}
	return summary
}

func (r *Report) moveLines() []string {
	moves := r.Moves
	if moves == nil {
		return nil
	}
	return []string{
		"MOVES",
		fmt.Sprintf("offers: %d made; %s", moves.Offered, formatCounts(moves.Answers)),
		fmt.Sprintf("reservations: %d made; %s", moves.Reserved, formatCounts(moves.ReservationEnds)),
		fmt.Sprintf("evictions: %d moves after an accepted offer, %d without a destination", moves.Moved, moves.EvictedWithoutDestination),
	}
}

// formatCounts formats counts in their order, separated by commas.
func formatCounts(counts []Count) string {
	if len(counts) == 0 {
		return "none ended"
	}
	var parts []string
	for _, count := range counts {
		parts = append(parts, fmt.Sprintf("%d %s", count.Value, count.Label))
	}
	return strings.Join(parts, ", ")
}
