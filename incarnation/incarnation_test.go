package incarnation_test

import (
	"testing"

	"ambertiller.example/ambertiller/incarnation"
)

// TestCompare checks that both comparisons are symmetric and treat an unknown start time as possibly equal.
func TestCompare(t *testing.T) {
	tests := map[string]struct {
		one, other       incarnation.ID
		mayEqual         bool
		otherIncarnation bool
	}{
		"same incarnation":                {incarnation.New("i-1", 7), incarnation.New("i-1", 7), true, false},
		"other incarnation":               {incarnation.New("i-1", 7), incarnation.New("i-1", 8), false, true},
		"other worker":                    {incarnation.New("i-1", 7), incarnation.New("i-2", 7), false, false},
		"one start time unknown":          {incarnation.New("i-1", 7), incarnation.New("i-1", 0), true, false},
		"both start times unknown":        {incarnation.New("i-1", 0), incarnation.New("i-1", 0), true, false},
		"both zero":                       {incarnation.ID{}, incarnation.ID{}, true, false},
		"zero and a worker":               {incarnation.ID{}, incarnation.New("i-1", 7), false, false},
		"two workers without start times": {incarnation.New("i-1", 0), incarnation.New("i-2", 0), false, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for _, swapped := range []bool{false, true} {
				one, other := test.one, test.other
				if swapped {
					one, other = other, one
				}
				if got := one.MayEqual(other); got != test.mayEqual {
					t.Errorf("swapped %v: MayEqual = %v", swapped, got)
				}
				if got := one.IsOtherIncarnationOf(other); got != test.otherIncarnation {
					t.Errorf("swapped %v: IsOtherIncarnationOf = %v", swapped, got)
				}
			}
		})
	}
}
