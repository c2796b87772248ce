package report

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"ambertiller.example/ambertiller/event"
)

// UnconfirmedOwner says how often and how long the store had not confirmed the ownership of a gateway's shards.
// The gateway takes no run for lost in such a time.
type UnconfirmedOwner struct {
	Owner string `json:"owner"`
	Times int    `json:"times"`
	// Total and Longest are measured from event 1050 to event 1051, or to the last line of a process that has not
	// logged that.
	Total   time.Duration `json:"total"`
	Longest time.Duration `json:"longest"`
	// Open counts the times without event 1051: the process ended first, or the logs do.
	Open int `json:"open"`
}

// unconfirmedPeriod is a time in which an owner was unconfirmed.
type unconfirmedPeriod struct {
	from, to time.Time
	isOpen   bool
}

// ownershipHistory holds the unconfirmed periods of each owner, in order. Only the last one may be ongoing.
type ownershipHistory struct {
	periods map[string][]*unconfirmedPeriod
	ongoing map[string]*unconfirmedPeriod
}

func newOwnershipHistory() ownershipHistory {
	return ownershipHistory{periods: map[string][]*unconfirmedPeriod{}, ongoing: map[string]*unconfirmedPeriod{}}
}

// apply updates the history from a log line.
func (ownership *ownershipHistory) apply(ln *line) {
	if ln.Event == event.OwnershipUnconfirmed {
		period := &unconfirmedPeriod{from: ln.At, to: ln.At, isOpen: true}
		ownership.periods[ln.Name] = append(ownership.periods[ln.Name], period)
		ownership.ongoing[ln.Name] = period
		return
	}
	period := ownership.ongoing[ln.Name]
	if period == nil {
		return
	}
	if ln.Event == event.ProcessStarted {
		// The process that was unconfirmed has ended since its last line.
		delete(ownership.ongoing, ln.Name)
		return
	}
	period.to = ln.At
	if ln.Event == event.OwnershipConfirmed {
		period.isOpen = false
		delete(ownership.ongoing, ln.Name)
	}
}

// summary returns the owners that were unconfirmed, sorted by name.
func (ownership *ownershipHistory) summary() []UnconfirmedOwner {
	var owners []UnconfirmedOwner
	for _, name := range slices.Sorted(maps.Keys(ownership.periods)) {
		owner := UnconfirmedOwner{Owner: name, Times: len(ownership.periods[name])}
		for _, period := range ownership.periods[name] {
			duration := period.to.Sub(period.from)
			owner.Total += duration
			owner.Longest = max(owner.Longest, duration)
			if period.isOpen {
				owner.Open++
			}
		}
		owners = append(owners, owner)
	}
	return owners
}

func (r *Report) ownershipLines() []string {
	if len(r.UnconfirmedOwners) == 0 {
		return nil
	}
	lines := []string{"OWNER UNCONFIRMED\tTIMES\tIN TOTAL\tLONGEST\tNOT CONFIRMED AGAIN"}
	for _, owner := range r.UnconfirmedOwners {
		lines = append(lines, fmt.Sprintf("%s\t%d\t%s\t%s\t%d", owner.Owner, owner.Times, formatSeconds(owner.Total),
			formatSeconds(owner.Longest), owner.Open))
	}
	return lines
}
