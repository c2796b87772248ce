package membership

import "github.com/cespare/xxhash/v2"

// Owner returns the name that owns a subject, by rendezvous hashing: the name with
// the highest hash of name and subject wins. It returns "" if there are no names.
//
// Entries that know the same names agree on the owner. While they know different
// names, two of them may act for one subject, and the log accepts only one of them.
func Owner(subject string, names []string) string {
	var owner string
	var highest uint64
	for _, name := range names {
		hash := xxhash.New()
		// Writes to a hash never fail.
		_, _ = hash.WriteString(name)
		_, _ = hash.WriteString("\x00")
		_, _ = hash.WriteString(subject)
		if sum := hash.Sum64(); owner == "" || sum > highest {
			owner, highest = name, sum
		}
	}
	return owner
}
