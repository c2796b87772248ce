package operator

import (
	"time"

	"ambertiller.example/ambertiller/lease"
)

// Verdict says whether a task may be started in a failure domain.
type Verdict int

// The verdicts on a start.
const (
	// Permitted: the failure domain was not evacuated a short while ago.
	Permitted Verdict = iota
	// Evacuated: it is.
	Evacuated
	// Outdated: what is known is too old to say.
	Outdated
)

// EvacuationState is what a process knows of evacuations. The zero value knows nothing.
type EvacuationState struct {
	evacuations Evacuations
	asOf        time.Time
}

// Evacuations returns what is known.
func (known *EvacuationState) Evacuations() Evacuations { return known.evacuations }

// AsOf returns the moment up to which everything that operators wrote is taken account
// of; zero while nothing is known.
func (known *EvacuationState) AsOf() time.Time { return known.asOf }

// Update takes in what was found in the store as of a moment, here or by another process.
// Of two versions the higher one holds. The later moment holds in any case: whoever saw
// no more than a lower version then proves that the higher one was written after it.
func (known *EvacuationState) Update(told Evacuations, asOf time.Time) {
	if known.asOf.IsZero() || told.version > known.evacuations.version {
		known.evacuations = told
	}
	if asOf.After(known.asOf) {
		known.asOf = asOf
	}
}

// Backdate makes what is known older by a time that the clock did not count.
func (known *EvacuationState) Backdate(uncounted time.Duration) {
	if !known.asOf.IsZero() {
		known.asOf = known.asOf.Add(-uncounted)
	}
}

// Check says whether a task may be started in a failure domain by what was known at most
// so long ago.
func (known *EvacuationState) Check(domain string, now time.Time, oldest time.Duration) Verdict {
	switch {
	case known.evacuations.Has(domain):
		return Evacuated
	case known.asOf.IsZero() || now.Sub(known.asOf) > oldest:
		return Outdated
	}
	return Permitted
}

// maxClockDrift is what two clocks may differ by over a while: each runs wrong by less than
// the bound that leases assume.
const maxClockDrift = 2 * lease.MaxClockDriftRate

// PeerUptime translates a moment of this process's clock to the uptime of a peer, which
// was at least uptime when it was heard. The result is never later than the moment was
// on the peer's clock, so what is known as of it is not taken for fresher than it is.
func PeerUptime(moment, heardAt time.Time, uptime time.Duration) time.Duration {
	since := moment.Sub(heardAt)
	if since < 0 {
		return uptime + time.Duration(float64(since)*(1+maxClockDrift))
	}
	return uptime + time.Duration(float64(since)*(1-maxClockDrift))
}
