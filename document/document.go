// Package document holds the configuration and the policies that are active on one
// instance.
//
// Documents reach an entry through the log and a guard through the entries. A
// version is only ever replaced by a higher one, regardless of the order in which
// copies arrive and of their senders, so an instance never returns to an older
// version. A version that this build can't use is rejected and remembered as
// rejected; the previous version stays active.
//
// # Usage
//
//	set := document.NewActiveSet()
//	changed, err := set.Activate(document.Copy{Name: "config", Version: 3, Content: content})
//	settings := set.Config()
package document

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"ambertiller.example/ambertiller/config"
	"ambertiller.example/ambertiller/policy"
)

// Copy is one version of a document with its content.
type Copy struct {
	Name    string
	Version uint64
	Content []byte
}

// Version identifies one version of a document.
type Version struct {
	Name    string
	Version uint64
}

// Policy is a compiled policy with the name and version of its document.
type Policy struct {
	program *policy.Program
	name    string
	version uint64
}

// Program returns the compiled program.
func (p Policy) Program() *policy.Program { return p.program }

// String returns the name and version, such as placement@3.
func (p Policy) String() string { return fmt.Sprintf("%s@%d", p.name, p.version) }

// ActiveSet holds the active documents. It is safe for concurrent use.
type ActiveSet struct {
	mu            sync.RWMutex
	copies        map[string]Copy
	rejected      map[string]uint64
	settings      *config.Config
	policies      map[string]Policy
	builtInPolicy Policy
}

// NewActiveSet returns a set that contains only the built-in placement policy.
func NewActiveSet() *ActiveSet {
	program, err := policy.Compile(policy.BuiltInPlacement)
	if err != nil {
		// The built-in policy is a constant, and a test checks that it compiles.
		panic(err)
	}
	return &ActiveSet{
		copies:        map[string]Copy{},
		rejected:      map[string]uint64{},
		policies:      map[string]Policy{},
		builtInPolicy: Policy{program: program, name: "built-in", version: 0},
	}
}

// Activate activates a copy if it is newer than the active version and than the
// last rejected one, and reports whether it did. The error says why a newer copy
// can't be used.
func (set *ActiveSet) Activate(candidate Copy) (bool, error) {
	set.mu.Lock()
	defer set.mu.Unlock()
	if candidate.Version <= set.copies[candidate.Name].Version || candidate.Version <= set.rejected[candidate.Name] {
		return false, nil
	}
	if err := set.apply(candidate); err != nil {
		set.rejected[candidate.Name] = candidate.Version
		return false, errors.Wrapf(err, "%s version %d can't be used", candidate.Name, candidate.Version)
	}
	set.copies[candidate.Name] = candidate
	return true, nil
}

// apply parses a copy and replaces the settings or the policy that it defines.
func (set *ActiveSet) apply(candidate Copy) error {
	if candidate.Name == config.DocumentName {
		parsed, err := config.Parse(candidate.Content)
		if err != nil {
			return err
		}
		set.settings = parsed
		return nil
	}
	name, isPolicy := strings.CutPrefix(candidate.Name, config.PolicyDocumentName(""))
	if !isPolicy {
		return errors.New("no document of that name is known")
	}
	program, err := policy.Compile(string(candidate.Content))
	if err != nil {
		return err
	}
	set.policies[name] = Policy{program: program, name: name, version: candidate.Version}
	return nil
}

// Check returns an error if a document of that name and content can't be activated.
func Check(name string, content []byte) error {
	return NewActiveSet().apply(Copy{Name: name, Version: 1, Content: content})
}

// Config returns the active configuration, or nil if there is none yet.
func (set *ActiveSet) Config() *config.Config {
	set.mu.RLock()
	defer set.mu.RUnlock()
	return set.settings
}

// PlacementPolicy returns the active placement policy, which is the built-in one
// until another one is published.
func (set *ActiveSet) PlacementPolicy() Policy {
	set.mu.RLock()
	defer set.mu.RUnlock()
	active, published := set.policies[policy.Placement]
	if !published {
		return set.builtInPolicy
	}
	return active
}

// BuiltInPolicy returns the placement policy that is used if the active one fails.
func (set *ActiveSet) BuiltInPolicy() Policy { return set.builtInPolicy }

// Versions returns the active versions, ordered by name.
func (set *ActiveSet) Versions() []Version {
	set.mu.RLock()
	defer set.mu.RUnlock()
	versions := make([]Version, 0, len(set.copies))
	for name, document := range set.copies {
		versions = append(versions, Version{Name: name, Version: document.Version})
	}
	slices.SortFunc(versions, func(a, b Version) int { return cmp.Compare(a.Name, b.Name) })
	return versions
}

// NewerThan returns the active copies, ordered by name, whose versions are higher
// than the given ones or whose names are missing there.
func (set *ActiveSet) NewerThan(known []Version) []Copy {
	knownVersions := map[string]uint64{}
	for _, version := range known {
		knownVersions[version.Name] = version.Version
	}
	set.mu.RLock()
	defer set.mu.RUnlock()
	var newer []Copy
	for name, document := range set.copies {
		if document.Version > knownVersions[name] {
			newer = append(newer, document)
		}
	}
	slices.SortFunc(newer, func(a, b Copy) int { return cmp.Compare(a.Name, b.Name) })
	return newer
}
