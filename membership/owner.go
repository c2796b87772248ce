package membership

import "github.com/cespare/xxhash/v2"

// Owner shares subjects out among the live entries, by the highest hash of
// subject and name. All entries that know the same names agree; while they
// don't, two may act for one subject, and the log lets one of them win.
func Owner(subject string, names []string) string {
	var owner string
	var highest uint64
	for _, name := range names {
		hash := xxhash.New()
		// A hash's writes never fail.
		_, _ = hash.WriteString(name)
		_, _ = hash.WriteString("\x00")
		_, _ = hash.WriteString(subject)
		if sum := hash.Sum64(); owner == "" || sum > highest {
			owner, highest = name, sum
		}
	}
	return owner
}
