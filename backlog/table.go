package backlog

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"ambertiller.example/ambertiller/wire"
)

// MaxAge is how old the backlog of an owner may be to count. Owners report once a second, so two reports may be lost.
// The target durations of jobs are several seconds, compared to which a backlog changes little within MaxAge.
const MaxAge = 3 * time.Second

// Table holds the backlogs of owners.
type Table struct {
	parts map[string]part
}

type part struct {
	backlog *wire.OwnerBacklog
	// asOf is the time that the backlog describes, on the clock of this process.
	asOf time.Time
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{parts: map[string]part{}} }

// Put replaces the backlog of an owner, unless the one held describes a later time. receivedAt is when the backlog had
// the age that it states. For a reply, callers pass the time of the request, so that the age is not underestimated.
func (table *Table) Put(owner string, backlog *wire.OwnerBacklog, receivedAt time.Time) {
	age := time.Duration(max(backlog.GetAgeMs(), 0)) * time.Millisecond
	asOf := receivedAt.Add(-age)
	if held, found := table.parts[owner]; found && held.asOf.After(asOf) {
		return
	}
	table.parts[owner] = part{backlog: backlog, asOf: asOf}
}

// Prune removes the backlogs that are too old to count.
func (table *Table) Prune(now time.Time) {
	for owner, held := range table.parts {
		if now.Sub(held.asOf) > MaxAge {
			delete(table.parts, owner)
		}
	}
}

// Backlogs returns copies of the backlogs of all owners but one, with their owners and their ages as of now.
func (table *Table) Backlogs(without string, now time.Time) []*wire.OwnerBacklog {
	var backlogs []*wire.OwnerBacklog
	for owner, held := range table.parts {
		if owner == without {
			continue
		}
		copied := proto.CloneOf(held.backlog)
		copied.Owner = owner
		copied.AgeMs = now.Sub(held.asOf).Milliseconds()
		backlogs = append(backlogs, copied)
	}
	return backlogs
}

// Sum is the sum of the backlogs in a table.
type Sum struct {
	summary *Summary
	age     time.Duration
	covered []int32
	missing []int
}

// Summary returns the sum of the rows. It must not be changed if others use it.
func (sum Sum) Summary() *Summary { return sum.summary }

// Age returns the age of the oldest backlog in the sum.
func (sum Sum) Age() time.Duration { return sum.age }

// Covered returns the shards that the sum covers.
func (sum Sum) Covered() []int32 { return sum.covered }

// Missing returns the shards that no backlog covers.
func (sum Sum) Missing() []int { return sum.missing }

// IsKnown reports whether the sum covers all shards.
func (sum Sum) IsKnown() bool { return sum.summary != nil && len(sum.missing) == 0 }

// Sum adds up the backlogs that are not older than MaxAge. Of two that cover the same shard, only the younger one
// counts, because the rows of a backlog can't be divided by shard. The other shards of the older one are missing
// until its owner reports again.
func (table *Table) Sum(shards int, now time.Time) Sum {
	sum := Sum{summary: NewSummary()}
	covered := make([]bool, shards)
	for _, held := range table.byAge() {
		age := now.Sub(held.asOf)
		if age > MaxAge || !cover(covered, held.backlog.GetShards()) {
			continue
		}
		sum.age = max(sum.age, age)
		sum.covered = append(sum.covered, held.backlog.GetShards()...)
		for _, message := range held.backlog.GetQueues() {
			sum.summary.AddMessage(message)
		}
	}
	for shard, found := range covered {
		if !found {
			sum.missing = append(sum.missing, shard)
		}
	}
	return sum
}

// byAge returns the parts, the youngest first.
func (table *Table) byAge() []part {
	parts := make([]part, 0, len(table.parts))
	for _, held := range table.parts {
		parts = append(parts, held)
	}
	slices.SortFunc(parts, func(a, b part) int {
		return cmp.Or(b.asOf.Compare(a.asOf), cmp.Compare(a.backlog.GetOwner(), b.backlog.GetOwner()))
	})
	return parts
}

// cover marks shards as covered. It reports false, and changes nothing, if there are none or one of them is
// covered already or doesn't exist.
func cover(covered []bool, shards []int32) bool {
	for index, shard := range shards {
		if shard < 0 || int(shard) >= len(covered) || covered[shard] || slices.Contains(shards[:index], shard) {
			return false
		}
	}
	for _, shard := range shards {
		covered[shard] = true
	}
	return len(shards) > 0
}
