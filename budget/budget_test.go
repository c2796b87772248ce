package budget_test

import (
	"fmt"
	"testing"

	"ambertiller.example/ambertiller/budget"
)

// TestRetriesStayAtRatio tests that when every request fails, the number of retries
// is the initial burst plus the ratio of the first attempts.
func TestRetriesStayAtRatio(t *testing.T) {
	tests := map[string]struct {
		ratio       float64
		burst, want int
	}{
		"a tenth": {0.1, 10, 110},
		"none":    {0, 0, 0},
		"a half":  {0.5, 1, 501},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			retries := budget.New(test.ratio, test.burst)
			sent := 0
			for range 1000 {
				retries.Deposit()
				for retries.Withdraw() {
					sent++
				}
			}
			if sent > test.want || sent < test.want-test.burst-2 {
				t.Errorf("%d retries are outside the expected range", sent)
			}
		})
	}
}

func ExampleBudget() {
	retries := budget.New(0.1, 1)
	fmt.Println(retries.Withdraw(), retries.Withdraw())
	// Output: true false
}
