// Package feature selects optional behavior of the roles on the users' platform. Every feature is off unless
// it is enabled.
//
// A feature that needs two processes takes effect only where both have it enabled. If one of them lacks it, or is of
// an earlier build, they work as if neither had it.
//
// # Usage
//
//	enabled, err := feature.Parse([]string{"backlog", "admission"})
//	if enabled.Has(feature.Admission) { ... }
package feature

import (
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// Feature is one feature, by the name under which it is enabled.
type Feature string

// The features.
const (
	// Backlog makes entries exchange the backlogs of their queues, and forecast when a job would end.
	Backlog Feature = "backlog"
	// Admission refuses a job at once if its forecast end is too late to be of use to its caller.
	Admission Feature = "admission"
	// Shares divides a service's processors among queues of one priority while they want more than there is.
	Shares Feature = "shares"
	// Offers makes agents offer a slowed fill run to its owner in place of evicting it. An offered run is stopped only
	// once the owner has reserved room on another worker.
	Offers Feature = "offers"
	// Confirmation makes an owner decide nothing for shards that the store may have assigned to another entry.
	Confirmation Feature = "confirmation"
	// DividedProgress makes owners store the progress of a job with many tasks in several records. Owners of earlier
	// builds don't read these: enable it once all entries can.
	DividedProgress Feature = "divided-progress"
)

// requirements holds the features that a feature needs.
var requirements = map[Feature][]Feature{
	Backlog: nil, Admission: {Backlog}, Shares: {Backlog}, Offers: nil, Confirmation: nil,
	DividedProgress: nil,
}

// Names returns the names of all features, sorted.
func Names() []string {
	var names []string
	for feature := range requirements {
		names = append(names, string(feature))
	}
	slices.Sort(names)
	return names
}

// Set is a set of enabled features. The zero value has none.
type Set struct {
	enabled []Feature
}

// Parse returns the set of the features named. The error lists every unknown name, and every feature whose
// requirements are not enabled.
func Parse(names []string) (Set, error) {
	set := Set{}
	var faults []string
	for _, name := range names {
		feature := Feature(strings.TrimSpace(name))
		if _, known := requirements[feature]; !known {
			faults = append(faults, "there is no feature "+string(feature))
			continue
		}
		set.enabled = append(set.enabled, feature)
	}
	for _, feature := range set.enabled {
		for _, required := range requirements[feature] {
			if !set.Has(required) {
				faults = append(faults, string(feature)+" needs "+string(required))
			}
		}
	}
	if len(faults) > 0 {
		return Set{}, errors.New(strings.Join(faults, "; "))
	}
	return set, nil
}

// Has reports whether a feature is enabled.
func (set Set) Has(feature Feature) bool { return slices.Contains(set.enabled, feature) }
