package share

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// countInterval is the minimum time between two counts of what the queues use and want.
	countInterval = 100 * time.Millisecond
	// maxLagInterval is the longest time between two counts for which the use of the first one is taken to last.
	maxLagInterval = time.Second
)

// Key identifies a queue among those of all services.
type Key struct {
	Service string
	Queue   Queue
}

// contentionGroup returns the queues that the queue competes with.
func (key Key) contentionGroup() contentionGroup {
	return contentionGroup{service: key.Service, priority: key.Queue.Priority}
}

// compareKeys orders queues by service, priority and name.
func compareKeys(a, b Key) int {
	return cmp.Or(strings.Compare(a.Service, b.Service), compareQueues(a.Queue, b.Queue))
}

// queueState is what a Table knows of a queue.
type queueState struct {
	// demand is that of all owners as of the last count, plus what this owner has started since.
	demand Demand
	// lag is that of all owners' tasks together.
	lag Lag
	// overdueTurns holds the IDs of the jobs that have a turn for being overdue; startsSinceOldest counts the starts
	// since such a job was started.
	overdueTurns      map[string]bool
	startsSinceOldest int
}

// Table keeps the use and the share of each queue, as one owner knows them, and orders the owner's jobs while
// there are too few workers. It needn't be stored: the first count of a new table restores all but the lags and
// the starts since an overdue job had its turn.
type Table struct {
	shortages shortageSet
	queues    map[Key]*queueState
	divisions map[string]*Division // by service
	countedAt time.Time
}

// NewTable returns a table without queues.
func NewTable() *Table {
	return &Table{
		shortages: shortageSet{unplacedAt: map[Key]time.Time{}, until: map[contentionGroup]time.Time{}},
		queues:    map[Key]*queueState{}, divisions: map[string]*Division{},
	}
}

// state returns what is known of a queue. It adds the queue if it is new.
func (table *Table) state(key Key) *queueState {
	known, found := table.queues[key]
	if !found {
		known = &queueState{demand: Demand{Queue: key.Queue}}
		table.queues[key] = known
	}
	return known
}

// NoteUnplaced records that a task of a queue is without a worker for lack of resources.
func (table *Table) NoteUnplaced(key Key, now time.Time) { table.shortages.note(key, now) }

// IsNoted reports whether NoteUnplaced has been called for a queue in the same pass, that is with the same time.
func (table *Table) IsNoted(key Key, now time.Time) bool {
	return table.shortages.unplacedAt[key].Equal(now)
}

// ContendedPriority returns the most urgent priority whose queues compete for too few workers of a service, and
// whether there is one.
func (table *Table) ContendedPriority(service string, now time.Time) (priority int32, contended bool) {
	return table.shortages.priority(service, now)
}

// Expire removes the shortages that are over, and all queues once none lacks resources. It reports whether any does.
func (table *Table) Expire(now time.Time) bool {
	if table.shortages.expire(now) {
		return true
	}
	clear(table.queues)
	clear(table.divisions)
	table.countedAt = time.Time{}
	return false
}

// IsCountDue reports whether the use of the queues has to be counted again.
func (table *Table) IsCountDue(now time.Time) bool { return now.Sub(table.countedAt) >= countInterval }

// BeginCount sets the demand of all queues to 0. The caller then adds jobs and other owners' demands.
func (table *Table) BeginCount(now time.Time) {
	table.updateLags(min(now.Sub(table.countedAt), maxLagInterval))
	table.countedAt = now
	for key, known := range table.queues {
		known.demand = Demand{Queue: key.Queue}
	}
}

// updateLags adds the time since the last count to the lags of the queues that compete. Shares are scaled to what the
// queues of a group use together: processors that none could use cause no lag. If no queue of a group has a positive
// lag, none has a negative one.
func (table *Table) updateLags(elapsed time.Duration) {
	shortest, lagging := table.shortestTargets(), map[contentionGroup]bool{}
	used, shares := table.sums()
	for key, known := range table.queues {
		group := key.contentionGroup()
		if _, competes := table.shortages.until[group]; !competes || shares[group] == 0 {
			known.lag = 0
			continue
		}
		usableShare := table.shareMilliCPU(key) * used[group] / shares[group]
		known.lag = known.lag.Add(usableShare, known.demand, shortest[group], elapsed)
		lagging[group] = lagging[group] || known.lag > 0
	}
	for key, known := range table.queues {
		if !lagging[key.contentionGroup()] {
			known.lag = 0
		}
	}
}

// sums returns what the queues of each group use, and the sum of their shares.
func (table *Table) sums() (used, shares map[contentionGroup]int64) {
	used, shares = map[contentionGroup]int64{}, map[contentionGroup]int64{}
	for key, known := range table.queues {
		used[key.contentionGroup()] += known.demand.UsedMilliCPU
		shares[key.contentionGroup()] += table.shareMilliCPU(key)
	}
	return used, shares
}

// shareMilliCPU returns the share of a queue, 0 if the capacity of its service is not divided.
func (table *Table) shareMilliCPU(key Key) int64 {
	if division := table.divisions[key.Service]; division != nil {
		return division.ShareMilliCPU(key.Queue)
	}
	return 0
}

// shortestTargets returns the shortest known target duration of the queues of each group.
func (table *Table) shortestTargets() map[contentionGroup]time.Duration {
	shortest := map[contentionGroup]time.Duration{}
	for key, known := range table.queues {
		group, target := key.contentionGroup(), known.demand.Target
		if before, found := shortest[group]; target > 0 && (!found || target < before) {
			shortest[group] = target
		}
	}
	return shortest
}

// AddJob adds a job of this owner to the demand of its queue.
func (table *Table) AddJob(job *Job) {
	demand := &table.state(job.Key).demand
	demand.UsedMilliCPU += job.UsedMilliCPU
	demand.WantedMilliCPU += job.WantedMilliCPU
	if job.LongRunning || job.Target <= 0 {
		return
	}
	if demand.Target == 0 || job.Target < demand.Target {
		demand.Target = job.Target
	}
}

// AddPeerDemand adds what another owner has reported of a queue.
func (table *Table) AddPeerDemand(key Key, usedMilliCPU, wantedMilliCPU int64) {
	demand := &table.state(key).demand
	demand.UsedMilliCPU += max(usedMilliCPU, 0)
	demand.WantedMilliCPU += max(wantedMilliCPU, 0)
}

// EndCount divides the capacity of each service that has too few workers, and removes the queues without demand. It
// reports whether any share has changed.
func (table *Table) EndCount(capacityOf func(service string) int64, now time.Time) bool {
	table.beginShortages(capacityOf, now)
	demands := map[string][]Demand{}
	for key, known := range table.queues {
		if known.demand.MilliCPU() == 0 {
			delete(table.queues, key)
			continue
		}
		if _, contended := table.ContendedPriority(key.Service, now); contended {
			demands[key.Service] = append(demands[key.Service], known.demand)
		}
	}
	changed := false
	for service := range table.divisions {
		if demands[service] == nil {
			delete(table.divisions, service)
			changed = true
		}
	}
	for service, ofService := range demands {
		if table.divisions[service] == nil {
			table.divisions[service] = &Division{}
		}
		if table.divisions[service].Update(capacityOf(service), ofService, now) {
			changed = true
		}
	}
	return changed
}

// beginShortages begins a shortage for each queue that lacks resources while it uses less than its share, though other
// queues have what they want: they use more than their shares, so that they lack nothing themselves.
func (table *Table) beginShortages(capacityOf func(service string) int64, now time.Time) {
	lacking := map[string]bool{}
	for key := range table.queues {
		if table.shortages.lacks(key, now) {
			lacking[key.Service] = true
		}
	}
	for service := range lacking {
		demands := table.demandsOf(service)
		for index, shareMilliCPU := range Divide(capacityOf(service), demands) {
			key := Key{Service: service, Queue: demands[index].Queue}
			isBelowShare := demands[index].UsedMilliCPU < shareMilliCPU
			if isBelowShare && table.shortages.lacks(key, now) && hasCompetitor(key.Queue, demands) {
				table.shortages.begin(key.contentionGroup(), now)
			}
		}
	}
}

// demandsOf returns the demands of the queues of a service.
func (table *Table) demandsOf(service string) []Demand {
	var demands []Demand
	for key, known := range table.queues {
		if key.Service == service && known.demand.MilliCPU() > 0 {
			demands = append(demands, known.demand)
		}
	}
	return demands
}

// hasCompetitor reports whether another queue with the priority of the one given has a demand.
func hasCompetitor(queue Queue, demands []Demand) bool {
	return slices.ContainsFunc(demands, func(demand Demand) bool {
		return demand.Queue != queue && demand.Queue.Priority == queue.Priority
	})
}

// RecordStart records that a task of a job has been placed.
func (table *Table) RecordStart(key Key, job string, milliCPU int64) {
	known, found := table.queues[key]
	if !found {
		return
	}
	known.demand.UsedMilliCPU += milliCPU
	known.demand.WantedMilliCPU -= min(milliCPU, known.demand.WantedMilliCPU)
	known.startsSinceOldest++
	if known.overdueTurns[job] {
		known.startsSinceOldest = 0
	}
}

// Order returns the jobs in the order in which they are to be placed. The jobs of queues that compete for too few
// workers take turns, within the positions that they have among all jobs. All others keep their positions.
func (table *Table) Order(jobs []*Job) []*Job {
	ordered := slices.Clone(jobs)
	for group := range table.shortages.until {
		var positions []int
		for position, job := range jobs {
			if job.Key.contentionGroup() == group {
				positions = append(positions, position)
			}
		}
		queues := table.placementQueues(jobs, group)
		for turn, job := range Sequence(queues) {
			ordered[positions[turn]] = job
		}
		for _, queue := range queues {
			table.state(Key{Service: group.service, Queue: queue.Queue}).overdueTurns = queue.overdueTurns
		}
	}
	return ordered
}

// placementQueues returns the queues of a group with their jobs.
func (table *Table) placementQueues(jobs []*Job, group contentionGroup) []*PlacementQueue {
	byKey := map[Key]*PlacementQueue{}
	var queues []*PlacementQueue
	for _, job := range jobs {
		if job.Key.contentionGroup() != group {
			continue
		}
		queue, known := byKey[job.Key]
		if !known {
			queue = table.newPlacementQueue(job.Key)
			byKey[job.Key] = queue
			queues = append(queues, queue)
		}
		queue.Jobs = append(queue.Jobs, job)
	}
	return queues
}

// newPlacementQueue returns a queue of the table without jobs.
func (table *Table) newPlacementQueue(key Key) *PlacementQueue {
	known := table.state(key)
	return &PlacementQueue{
		Queue: key.Queue, ShareMilliCPU: table.shareMilliCPU(key), StartsSinceOldest: known.startsSinceOldest,
		UsedMilliCPU: known.demand.UsedMilliCPU - known.lag.MilliCPU(known.demand.Target),
	}
}

// Row is the share and the use of one queue.
type Row struct {
	Key Key
	// CapacityMilliCPU is that of the service.
	CapacityMilliCPU, ShareMilliCPU, UsedMilliCPU, DemandMilliCPU int64
	Lag                                                           Lag
}

// Rows returns the queues with a demand whose service's capacity is divided, ordered by service, priority and name.
func (table *Table) Rows() []Row {
	var rows []Row
	for key, known := range table.queues {
		division := table.divisions[key.Service]
		if division == nil || known.demand.MilliCPU() == 0 {
			continue
		}
		rows = append(rows, Row{
			Key: key, CapacityMilliCPU: division.CapacityMilliCPU(), ShareMilliCPU: division.ShareMilliCPU(key.Queue),
			UsedMilliCPU: known.demand.UsedMilliCPU, DemandMilliCPU: known.demand.MilliCPU(),
			Lag: known.lag,
		})
	}
	slices.SortFunc(rows, func(a, b Row) int { return compareKeys(a.Key, b.Key) })
	return rows
}
