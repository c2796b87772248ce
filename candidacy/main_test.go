package candidacy_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// seed makes the property tests draw the same values in each run, unless -rapid.seed is given on the command
// line.
const seed = "20261203"

// TestMain sets the seed of the property tests before flags are parsed.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", seed); err != nil {
		fmt.Fprintln(os.Stderr, "set rapid.seed:", err)
		os.Exit(1)
	}
	os.Exit(m.Run())
}
