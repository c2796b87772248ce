package candidacy_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// seed has the draws of properties be the same in each run; -rapid.seed on the command line goes before it.
const seed = "20261203"

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", seed); err != nil {
		fmt.Fprintln(os.Stderr, "seed the properties:", err)
		os.Exit(1)
	}
	os.Exit(m.Run())
}
