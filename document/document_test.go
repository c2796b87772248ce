package document_test

import (
	"testing"

	"pgregory.net/rapid"

	"ambertiller.example/ambertiller/config"
	"ambertiller.example/ambertiller/document"
	"ambertiller.example/ambertiller/examples"
)

const policyName = "policy-placement"

func TestActivate(t *testing.T) {
	tests := map[string]struct {
		copies      []document.Copy
		version     uint64
		expectError bool
	}{
		"first version":                      {[]document.Copy{{policyName, 1, []byte("1")}}, 1, false},
		"older version after a newer one":    {[]document.Copy{{policyName, 2, []byte("2")}, {policyName, 1, []byte("1")}}, 2, false},
		"invalid version after a valid one":  {[]document.Copy{{policyName, 1, []byte("1")}, {policyName, 2, []byte("worker.nam")}}, 1, true},
		"valid version after an invalid one": {[]document.Copy{{policyName, 2, []byte("worker.nam")}, {policyName, 3, []byte("3")}}, 3, false},
		"unknown name":                       {[]document.Copy{{"poem", 1, []byte("x")}}, 0, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			set := document.NewActiveSet()
			var lastErr error
			for _, candidate := range test.copies {
				_, lastErr = set.Activate(candidate)
			}
			var version uint64
			for _, active := range set.Versions() {
				version = active.Version
			}
			if version != test.version || (lastErr != nil) != test.expectError {
				t.Errorf("got active version %d, last error %v", version, lastErr)
			}
		})
	}
}

// TestVersionNeverDecreases checks that the active version never decreases, whatever the
// order in which valid and invalid copies arrive.
func TestVersionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := document.NewActiveSet()
		var previous uint64
		for _, version := range rapid.SliceOf(rapid.Uint64Range(1, 9)).Draw(t, "versions") {
			source := "1"
			if rapid.Bool().Draw(t, "faulty") {
				source = "worker.nam"
			}
			_, _ = set.Activate(document.Copy{Name: policyName, Version: version, Content: []byte(source)})
			for _, active := range set.Versions() {
				if active.Version < previous {
					t.Fatalf("active version went back from %d to %d", previous, active.Version)
				}
				previous = active.Version
			}
		}
	})
}

func TestNewerThan(t *testing.T) {
	content, err := examples.Files.ReadFile("verbalia/config.yaml")
	if err != nil {
		t.Fatal(err)
	}
	set := document.NewActiveSet()
	for _, candidate := range []document.Copy{{config.DocumentName, 4, content}, {policyName, 2, []byte("1")}} {
		if _, err := set.Activate(candidate); err != nil {
			t.Fatal(err)
		}
	}
	newer := set.NewerThan([]document.Version{{Name: config.DocumentName, Version: 4}, {Name: policyName, Version: 1}})
	if len(newer) != 1 || newer[0].Name != policyName {
		t.Errorf("got newer copies %v, want only the placement policy", newer)
	}
}
