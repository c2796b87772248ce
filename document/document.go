// Package document keeps the configuration and policies that are in force on
// one instance.
//
// Documents reach an entry through the log and a guard through the entries. A
// version is only ever replaced by a higher one, whatever the order in which
// copies arrive and whoever sends them, so an instance never goes back. A
// version that this build can't use is passed over and noted; the one before
// it stays in force.
//
// # Usage
//
//	shelf := document.NewActiveSet()
//	changed, err := shelf.Offer(document.Copy{Name: "config", Version: 3, Content: content})
//	settings := shelf.Config()
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

// Copy is one version of a document.
type Copy struct {
	Name    string
	Version uint64
	Content []byte
}

// Version names a version of a document.
type Version struct {
	Name    string
	Version uint64
}

// Policy is a policy in force.
type Policy struct {
	program *policy.Program
	name    string
	version uint64
}

// Program returns the compiled program.
func (inForce Policy) Program() *policy.Program { return inForce.program }

// String returns the name and version, such as placement@3.
func (inForce Policy) String() string { return fmt.Sprintf("%s@%d", inForce.name, inForce.version) }

// ActiveSet holds the documents in force. It may be used by many goroutines.
type ActiveSet struct {
	mu            sync.RWMutex
	copies        map[string]Copy
	rejected      map[string]uint64
	settings      *config.Config
	policies      map[string]Policy
	builtInPolicy Policy
}

// NewActiveSet returns a shelf on which only the built-in placement policy stands.
func NewActiveSet() *ActiveSet {
	program, err := policy.Compile(policy.BuiltInPlacement)
	if err != nil {
		// The built-in policy is a constant that a test compiles.
		panic(err)
	}
	return &ActiveSet{
		copies:        map[string]Copy{},
		rejected:      map[string]uint64{},
		policies:      map[string]Policy{},
		builtInPolicy: Policy{program: program, name: "built-in", version: 0},
	}
}

// Activate puts a copy in force if it is newer than what stands there, and
// reports whether it did. The error says why a newer copy can't be used.
func (shelf *ActiveSet) Activate(offered Copy) (bool, error) {
	shelf.mu.Lock()
	defer shelf.mu.Unlock()
	if offered.Version <= shelf.copies[offered.Name].Version || offered.Version <= shelf.rejected[offered.Name] {
		return false, nil
	}
	if err := shelf.apply(offered); err != nil {
		shelf.rejected[offered.Name] = offered.Version
		return false, errors.Wrapf(err, "%s version %d can't be used", offered.Name, offered.Version)
	}
	shelf.copies[offered.Name] = offered
	return true, nil
}

func (shelf *ActiveSet) apply(offered Copy) error {
	if offered.Name == config.DocumentName {
		parsed, err := config.Parse(offered.Content)
		if err != nil {
			return err
		}
		shelf.settings = parsed
		return nil
	}
	name, isPolicy := strings.CutPrefix(offered.Name, config.PolicyDocumentName(""))
	if !isPolicy {
		return errors.New("no document of that name is known")
	}
	program, err := policy.Compile(string(offered.Content))
	if err != nil {
		return err
	}
	shelf.policies[name] = Policy{program: program, name: name, version: offered.Version}
	return nil
}

// Check reports whether a document of that name could be put in force.
func Check(name string, content []byte) error {
	return NewActiveSet().apply(Copy{Name: name, Version: 1, Content: content})
}

// Config returns the configuration in force, nil when there is none yet.
func (shelf *ActiveSet) Config() *config.Config {
	shelf.mu.RLock()
	defer shelf.mu.RUnlock()
	return shelf.settings
}

// PlacementPolicy returns the placement policy in force, the built-in one when none
// was published.
func (shelf *ActiveSet) PlacementPolicy() Policy {
	shelf.mu.RLock()
	defer shelf.mu.RUnlock()
	inForce, published := shelf.policies[policy.Placement]
	if !published {
		return shelf.builtInPolicy
	}
	return inForce
}

// BuiltInPolicy returns the policy that decides when another one fails.
func (shelf *ActiveSet) BuiltInPolicy() Policy { return shelf.builtInPolicy }

// Versions returns what is in force, by name.
func (shelf *ActiveSet) Versions() []Version {
	shelf.mu.RLock()
	defer shelf.mu.RUnlock()
	versions := make([]Version, 0, len(shelf.copies))
	for name, kept := range shelf.copies {
		versions = append(versions, Version{Name: name, Version: kept.Version})
	}
	slices.SortFunc(versions, func(a, b Version) int { return cmp.Compare(a.Name, b.Name) })
	return versions
}

// NewerThan returns the copies that one who has the given versions lacks.
func (shelf *ActiveSet) NewerThan(have []Version) []Copy {
	held := map[string]uint64{}
	for _, each := range have {
		held[each.Name] = each.Version
	}
	shelf.mu.RLock()
	defer shelf.mu.RUnlock()
	var newer []Copy
	for name, kept := range shelf.copies {
		if kept.Version > held[name] {
			newer = append(newer, kept)
		}
	}
	slices.SortFunc(newer, func(a, b Copy) int { return cmp.Compare(a.Name, b.Name) })
	return newer
}
