package feature_test

import (
	"testing"

	"ambertiller.example/ambertiller/feature"
)

func TestParse(t *testing.T) {
	tests := map[string]struct {
		names   []string
		enabled []feature.Feature
		fault   string
	}{
		"none": {},
		"one":  {names: []string{"offers"}, enabled: []feature.Feature{feature.Offers}},
		"with its requirement": {
			names: []string{"shares", " backlog"}, enabled: []feature.Feature{feature.Backlog, feature.Shares},
		},
		"without a requirement": {names: []string{"admission"}, fault: "admission needs backlog"},
		"unknown":               {names: []string{"offer", "backlog"}, fault: "there is no feature offer"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			set, err := feature.Parse(test.names)
			if test.fault != "" {
				if err == nil || err.Error() != test.fault {
					t.Fatalf("got error %v, want %q", err, test.fault)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			for _, enabled := range test.enabled {
				if !set.Has(enabled) {
					t.Errorf("%s is not enabled", enabled)
				}
			}
			if len(test.names) == 0 && set.Has(feature.Backlog) {
				t.Error("a feature is enabled by default")
			}
		})
	}
}
