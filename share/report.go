package share

import (
	"cmp"
	"slices"
	"time"
)

// MaxReportAge is the age above which a report of another owner does not count. Reports arrive every second,
// so two in a row have been lost.
const MaxReportAge = 3 * time.Second

// Report says which shards another owner's report of its queues covers.
type Report struct {
	Shards []int32
	Age    time.Duration
}

// Fractions returns the fraction of each report that counts, in the same order. A shard that
// the caller owns counts in no report, any other one only in the most recent report: a shard that has just moved is
// reported twice. A report does not say how much each shard has, so all its shards count for equal parts.
func Fractions(reports []Report, owned func(shard int32) bool) []float64 {
	order := make([]int, len(reports))
	for index := range order {
		order[index] = index
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(reports[a].Age, reports[b].Age) })
	fractions := make([]float64, len(reports))
	counted := map[int32]bool{}
	for _, index := range order {
		report := reports[index]
		if report.Age > MaxReportAge || len(report.Shards) == 0 {
			continue
		}
		counting := 0
		for _, shard := range report.Shards {
			if !counted[shard] && !owned(shard) {
				counting++
			}
			counted[shard] = true
		}
		fractions[index] = float64(counting) / float64(len(report.Shards))
	}
	return fractions
}
