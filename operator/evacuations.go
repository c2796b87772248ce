// Package operator follows what operators write into the platform's store: the
// configuration, and the failure domains that they evacuate.
//
// # Evacuations
//
// No task may be started in an evacuated failure domain. Whoever starts tasks must not
// only know which domains are evacuated, but also as of when it knows: a process that
// hears nothing knows of no evacuation either. So Knowledge keeps both, and permits a
// start only while it is fresh. What is known can be told to other processes, with the
// moment translated to their clocks by PeerUptime.
//
// # Usage
//
//	reader := operator.NewReader(store, clock)
//	news, err := reader.Read(ctx)
//	known.Note(news.Evacuations, news.AsOf)
//	if known.Judge("milano-a", now, 4*time.Second) == operator.Permitted { ... }
package operator

import "slices"

// Evacuations are the failure domains that are evacuated as of one version of what
// operators wrote: the number of their records that are taken account of.
type Evacuations struct {
	version int64
	domains []string
}

// NewEvacuations returns the failure domains that are evacuated as of a version.
func NewEvacuations(version int64, domains []string) Evacuations {
	sorted := slices.Clone(domains)
	slices.Sort(sorted)
	return Evacuations{version: version, domains: slices.Compact(sorted)}
}

// Version returns how many of the operators' records are taken account of.
func (of Evacuations) Version() int64 { return of.version }

// Domains returns the failure domains in the order of their names. They must not be
// changed.
func (of Evacuations) Domains() []string { return of.domains }

// Has reports whether a failure domain is evacuated.
func (of Evacuations) Has(domain string) bool {
	_, found := slices.BinarySearch(of.domains, domain)
	return found
}

// Difference returns the failure domains of these that are not evacuated in others.
func (of Evacuations) Difference(others Evacuations) []string {
	var missing []string
	for _, domain := range of.domains {
		if !others.Has(domain) {
			missing = append(missing, domain)
		}
	}
	return missing
}
