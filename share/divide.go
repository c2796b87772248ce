package share

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// noticeableChange is the relative change of a demand, or of the capacity, that changes the shares at once.
	// It is greater than the difference between two values that deviate from the same mean by 10%.
	noticeableChange = 0.25
	// returnFraction is the share of the shortest target duration after which shares follow smaller changes.
	// Tasks that wait for a share that other queues have used then still have most of their target duration.
	returnFraction = 0.25
	// minReturnTime and maxReturnTime limit that period. Shares are of no use for longer than a caller of
	// a short task waits, and reports of other owners arrive no more often than once a second.
	minReturnTime = 100 * time.Millisecond
	maxReturnTime = time.Second
)

// Queue identifies a queue of a service. Jobs of one queue with different priorities count as those of
// different queues.
type Queue struct {
	Name string
	// Priority is 0 for the most urgent queues.
	Priority int32
}

// compareQueues orders queues by priority and name.
func compareQueues(a, b Queue) int {
	if order := cmp.Compare(a.Priority, b.Priority); order != 0 {
		return order
	}
	return strings.Compare(a.Name, b.Name)
}

// Demand is how much of the service's processors the jobs of a queue use and wait for.
type Demand struct {
	Queue Queue
	// UsedMilliCPU is what its running tasks asked for, WantedMilliCPU what its waiting tasks ask for.
	UsedMilliCPU, WantedMilliCPU int64
	// Target is the shortest target duration of its jobs, 0 if it is not known.
	Target time.Duration
}

// MilliCPU returns the whole demand of the queue.
func (demand Demand) MilliCPU() int64 { return demand.UsedMilliCPU + demand.WantedMilliCPU }

// Divide returns the max-min fair share of each demand, in the same order. Within a priority, the shares sum
// to the capacity that more urgent queues leave, or to all demands if that is less.
func Divide(capacityMilliCPU int64, demands []Demand) []int64 {
	order := make([]int, len(demands))
	for index := range order {
		order[index] = index
	}
	slices.SortFunc(order, func(a, b int) int { return compareDemands(demands[a], demands[b]) })
	shares := make([]int64, len(demands))
	left := max(capacityMilliCPU, 0)
	for first := 0; first < len(order); {
		end := first
		used := int64(0)
		for end < len(order) && demands[order[end]].Queue.Priority == demands[order[first]].Queue.Priority {
			used += demands[order[end]].UsedMilliCPU
			end++
		}
		fill(left, order[first:end], demands, shares)
		left = max(left-used, 0)
		first = end
	}
	return shares
}

// compareDemands orders demands by priority, then the smaller ones first.
func compareDemands(a, b Demand) int {
	if order := cmp.Compare(a.Queue.Priority, b.Queue.Priority); order != 0 {
		return order
	}
	if order := cmp.Compare(a.MilliCPU(), b.MilliCPU()); order != 0 {
		return order
	}
	return compareQueues(a.Queue, b.Queue)
}

// fill sets the shares of the demands whose indexes are given, the smallest demand first: each gets an equal
// part of what is left, or its demand if that is less.
func fill(left int64, indexes []int, demands []Demand, shares []int64) {
	for position, index := range indexes {
		equal := left / int64(len(indexes)-position)
		shares[index] = min(demands[index].MilliCPU(), equal)
		left -= shares[index]
	}
}

// Division is the current division of a service's capacity among its queues. The zero value has no shares.
// It needn't be stored: the next call of Update computes it again.
type Division struct {
	capacityMilliCPU int64
	demands          map[Queue]Demand
	shares           map[Queue]int64
	dividedAt        time.Time
}

// Update divides the capacity again if that is due. It reports whether any share has changed.
func (division *Division) Update(capacityMilliCPU int64, demands []Demand, now time.Time) bool {
	if !division.isDue(capacityMilliCPU, demands, now) {
		return false
	}
	shares := make(map[Queue]int64, len(demands))
	divided := make(map[Queue]Demand, len(demands))
	changed := len(demands) != len(division.shares)
	for index, milliCPU := range Divide(capacityMilliCPU, demands) {
		queue := demands[index].Queue
		shares[queue] = milliCPU
		divided[queue] = demands[index]
		before, known := division.shares[queue]
		changed = changed || !known || before != milliCPU
	}
	*division = Division{capacityMilliCPU: capacityMilliCPU, demands: divided, shares: shares, dividedAt: now}
	return changed
}

// ShareMilliCPU returns the share of a queue, 0 if it had no demand.
func (division *Division) ShareMilliCPU(queue Queue) int64 { return division.shares[queue] }

// CapacityMilliCPU returns the capacity that was divided.
func (division *Division) CapacityMilliCPU() int64 { return division.capacityMilliCPU }

// isDue reports whether the capacity has to be divided again.
func (division *Division) isDue(capacityMilliCPU int64, demands []Demand, now time.Time) bool {
	if len(demands) != len(division.demands) || hasChanged(division.capacityMilliCPU, capacityMilliCPU) {
		return true
	}
	for _, demand := range demands {
		before, known := division.demands[demand.Queue]
		if !known || hasChanged(before.MilliCPU(), demand.MilliCPU()) {
			return true
		}
	}
	return now.Sub(division.dividedAt) >= returnTime(demands)
}

// hasChanged reports whether a value has changed noticeably.
func hasChanged(before, after int64) bool {
	return float64(max(before, after)-min(before, after)) > noticeableChange*float64(before)
}

// returnTime returns the longest time for which shares are kept.
func returnTime(demands []Demand) time.Duration {
	shortest := time.Duration(0)
	for _, demand := range demands {
		if demand.Target > 0 && (shortest == 0 || demand.Target < shortest) {
			shortest = demand.Target
		}
	}
	if shortest == 0 {
		return maxReturnTime
	}
	return min(max(time.Duration(returnFraction*float64(shortest)), minReturnTime), maxReturnTime)
}
