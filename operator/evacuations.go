// Package operator follows the topic that operators write to. The topic holds the configuration and the
// failure domains that are evacuated.
//
// # Evacuations
//
// No task may be started in an evacuated failure domain. A process that starts tasks has to know which
// domains are evacuated and how old that information is, since a process that is cut off from the store
// misses new evacuations. EvacuationState holds both, and permits a start only if the information is recent
// enough. A process can forward its information to other processes: PeerUptime converts the time of the
// information to their clocks.
//
// # Usage
//
//	reader := operator.NewReader(store, clock)
//	update, err := reader.Read(ctx)
//	state.Update(update.Evacuations, update.AsOf)
//	if state.Check("milano-a", now, 4*time.Second) == operator.Permitted { ... }
package operator

import "slices"

// Evacuations is the set of evacuated failure domains at a version of the operator topic. The version is the
// number of records in the topic that the set reflects.
type Evacuations struct {
	version int64
	domains []string
}

// NewEvacuations returns the set of evacuated failure domains at a version.
func NewEvacuations(version int64, domains []string) Evacuations {
	sorted := slices.Clone(domains)
	slices.Sort(sorted)
	return Evacuations{version: version, domains: slices.Compact(sorted)}
}

// Version returns the number of records in the operator topic that the set reflects.
func (evacuations Evacuations) Version() int64 { return evacuations.version }

// Domains returns the evacuated failure domains, sorted by name. The caller must not modify the slice.
func (evacuations Evacuations) Domains() []string { return evacuations.domains }

// Has reports whether a failure domain is evacuated.
func (evacuations Evacuations) Has(domain string) bool {
	_, found := slices.BinarySearch(evacuations.domains, domain)
	return found
}

// Difference returns the failure domains that are evacuated in this set but not in other.
func (evacuations Evacuations) Difference(other Evacuations) []string {
	var difference []string
	for _, domain := range evacuations.domains {
		if !other.Has(domain) {
			difference = append(difference, domain)
		}
	}
	return difference
}
