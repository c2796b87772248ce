package incarnation_test

import (
	"testing"

	"ambertiller.example/ambertiller/incarnation"
)

func TestCompare(t *testing.T) {
	tests := map[string]struct {
		one, other  incarnation.ID
		mayBe       bool
		anotherLife bool
	}{
		"the same life":           {incarnation.New("i-1", 7), incarnation.New("i-1", 7), true, false},
		"another life":            {incarnation.New("i-1", 7), incarnation.New("i-1", 8), false, true},
		"another worker":          {incarnation.New("i-1", 7), incarnation.New("i-2", 7), false, false},
		"one start is not known":  {incarnation.New("i-1", 7), incarnation.New("i-1", 0), true, false},
		"no start is known":       {incarnation.New("i-1", 0), incarnation.New("i-1", 0), true, false},
		"no worker":               {incarnation.ID{}, incarnation.ID{}, true, false},
		"no worker and a worker":  {incarnation.ID{}, incarnation.New("i-1", 7), false, false},
		"two ids without a start": {incarnation.New("i-1", 0), incarnation.New("i-2", 0), false, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for _, turned := range []bool{false, true} {
				one, other := test.one, test.other
				if turned {
					one, other = other, one
				}
				if got := one.MayEqual(other); got != test.mayBe {
					t.Errorf("turned %v: may be: %v", turned, got)
				}
				if got := one.IsOtherIncarnationOf(other); got != test.anotherLife {
					t.Errorf("turned %v: another life: %v", turned, got)
				}
			}
		})
	}
}
