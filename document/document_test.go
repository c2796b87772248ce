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
		offers  []document.Copy
		version uint64
		fails   bool
	}{
		"first":                        {[]document.Copy{{policyName, 1, []byte("1")}}, 1, false},
		"an older one changes nothing": {[]document.Copy{{policyName, 2, []byte("2")}, {policyName, 1, []byte("1")}}, 2, false},
		"a faulty one is passed over":  {[]document.Copy{{policyName, 1, []byte("1")}, {policyName, 2, []byte("worker.nam")}}, 1, true},
		"and the next one is taken":    {[]document.Copy{{policyName, 2, []byte("worker.nam")}, {policyName, 3, []byte("3")}}, 3, false},
		"an unknown name":              {[]document.Copy{{"poem", 1, []byte("x")}}, 0, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			shelf := document.NewActiveSet()
			var last error
			for _, offered := range test.offers {
				_, last = shelf.Activate(offered)
			}
			var version uint64
			for _, each := range shelf.Versions() {
				version = each.Version
			}
			if version != test.version || (last != nil) != test.fails {
				t.Errorf("version %d, %v", version, last)
			}
		})
	}
}

// TestVersionNeverDecreases offers copies in any order: the version in force only grows.
func TestVersionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shelf := document.NewActiveSet()
		var before uint64
		for _, version := range rapid.SliceOf(rapid.Uint64Range(1, 9)).Draw(t, "versions") {
			source := "1"
			if rapid.Bool().Draw(t, "faulty") {
				source = "worker.nam"
			}
			_, _ = shelf.Activate(document.Copy{Name: policyName, Version: version, Content: []byte(source)})
			for _, each := range shelf.Versions() {
				if each.Version < before {
					t.Fatalf("went back from %d to %d", before, each.Version)
				}
				before = each.Version
			}
		}
	})
}

func TestNewerThan(t *testing.T) {
	content, err := examples.Files.ReadFile("verbalia/config.yaml")
	if err != nil {
		t.Fatal(err)
	}
	shelf := document.NewActiveSet()
	for _, offered := range []document.Copy{{config.DocumentName, 4, content}, {policyName, 2, []byte("1")}} {
		if _, err := shelf.Activate(offered); err != nil {
			t.Fatal(err)
		}
	}
	newer := shelf.NewerThan([]document.Version{{Name: config.DocumentName, Version: 4}, {Name: policyName, Version: 1}})
	if len(newer) != 1 || newer[0].Name != policyName {
		t.Errorf("got %v", newer)
	}
}
