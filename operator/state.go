package operator

import (
	"time"

	"ambertiller.example/ambertiller/lease"
)

// Verdict is the result of checking whether a task may be started in a failure domain.
type Verdict int

const (
	// Permitted means that the failure domain is not evacuated, by information that is recent enough.
	Permitted Verdict = iota
	// Evacuated means that the failure domain is evacuated.
	Evacuated
	// Outdated means that the information is too old to permit a start.
	Outdated
)

// EvacuationState is what a process knows of evacuations, and as of when. The zero value knows nothing.
type EvacuationState struct {
	evacuations Evacuations
	asOf        time.Time
}

// Evacuations returns the known evacuations.
func (state *EvacuationState) Evacuations() Evacuations { return state.evacuations }

// AsOf returns the time up to which the known evacuations reflect all records of operators. It is zero as
// long as no such time is known.
func (state *EvacuationState) AsOf() time.Time { return state.asOf }

// Update adds the evacuations that this or another process read from the store, which reflected all records
// at the time asOf. The state keeps the higher version and, independently of it, the later time. That is
// correct because a process that found only a lower version at a later time proves that the higher version
// was written after that time.
func (state *EvacuationState) Update(evacuations Evacuations, asOf time.Time) {
	if state.asOf.IsZero() || evacuations.version > state.evacuations.version {
		state.evacuations = evacuations
	}
	if asOf.After(state.asOf) {
		state.asOf = asOf
	}
}

// Backdate moves the time of the information back by a duration that the clock did not count, such as a
// suspension of the machine.
func (state *EvacuationState) Backdate(uncounted time.Duration) {
	if !state.asOf.IsZero() {
		state.asOf = state.asOf.Add(-uncounted)
	}
}

// Check reports whether a task may be started in a failure domain, based on information that is at most
// maxAge old.
func (state *EvacuationState) Check(domain string, now time.Time, maxAge time.Duration) Verdict {
	switch {
	case state.evacuations.Has(domain):
		return Evacuated
	case state.asOf.IsZero() || now.Sub(state.asOf) > maxAge:
		return Outdated
	}
	return Permitted
}

// maxClockDrift is the maximum relative drift between two clocks. The rate of each is off by less than the
// bound that leases assume.
const maxClockDrift = 2 * lease.MaxClockDriftRate

// PeerUptime converts a time of this process's clock to the uptime of a peer. At receivedAt, this process
// received a message from the peer, whose uptime was at least uptime then. The result is never later than
// the true uptime of the peer at that time, so the peer never takes information with that time for newer
// than it is.
func PeerUptime(at, receivedAt time.Time, uptime time.Duration) time.Duration {
	since := at.Sub(receivedAt)
	if since < 0 {
		return uptime + time.Duration(float64(since)*(1+maxClockDrift))
	}
	return uptime + time.Duration(float64(since)*(1-maxClockDrift))
}
