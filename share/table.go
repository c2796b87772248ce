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

// competition returns the competition that the queue takes part in.
func (key Key) competition() competition {
	return competition{service: key.Service, priority: key.Queue.Priority}
}

// compareKeys orders queues by service, priority and name.
func compareKeys(a, b Key) int {
	return cmp.Or(strings.Compare(a.Service, b.Service), compareQueues(a.Queue, b.Queue))
}

// state is what a Table knows of a queue.
type state struct {
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
// there are too few workers. Nothing of it has to be stored: the first count of a new table has all but the
// starts since a job that had waited longest, and what queues are owed.
type Table struct {
	short     shortages
	queues    map[Key]*state
	divisions map[string]*Division // by service
	countedAt time.Time
}

// NewTable returns a table without queues.
func NewTable() *Table {
	return &Table{
		short:  shortages{unplacedAt: map[Key]time.Time{}, until: map[competition]time.Time{}},
		queues: map[Key]*state{}, divisions: map[string]*Division{},
	}
}

// state returns what is known of a queue. It adds the queue if it is new.
func (table *Table) state(key Key) *state {
	known, found := table.queues[key]
	if !found {
		known = &state{demand: Demand{Queue: key.Queue}}
		table.queues[key] = known
	}
	return known
}

// NoteUnplaced records that a task of a queue is without a worker for lack of resources.
func (table *Table) NoteUnplaced(key Key, now time.Time) { table.short.note(key, now) }

// IsNoted reports whether NoteUnplaced has been called for a queue at this very time.
func (table *Table) IsNoted(key Key, now time.Time) bool {
	return table.short.unplacedAt[key].Equal(now)
}

// ShortPriority returns the most urgent priority of which queues of a service compete for too few workers.
func (table *Table) ShortPriority(service string, now time.Time) (priority int32, isShort bool) {
	return table.short.priority(service, now)
}

// Expire forgets the shortages that are over, and all queues once none lacks resources. It reports whether any does.
func (table *Table) Expire(now time.Time) bool {
	if table.short.expire(now) {
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

// updateLags adds the time since the last count to the lags of the queues that compete. Shares count for the part of
// them that the queues use together: what none can use is owed to none. If no queue of a competition is owed anything,
// none owes anything.
func (table *Table) updateLags(elapsed time.Duration) {
	shortest, owed := table.shortestTargets(), map[competition]bool{}
	used, shares := table.sums()
	for key, known := range table.queues {
		competing := key.competition()
		if _, competes := table.short.until[competing]; !competes || shares[competing] == 0 {
			known.lag = 0
			continue
		}
		due := table.shareMilliCPU(key) * used[competing] / shares[competing]
		known.lag = known.lag.Add(due, known.demand, shortest[competing], elapsed)
		owed[competing] = owed[competing] || known.lag > 0
	}
	for key, known := range table.queues {
		if !owed[key.competition()] {
			known.lag = 0
		}
	}
}

// sums returns what the queues of each competition use, and the sum of their shares.
func (table *Table) sums() (used, shares map[competition]int64) {
	used, shares = map[competition]int64{}, map[competition]int64{}
	for key, known := range table.queues {
		used[key.competition()] += known.demand.UsedMilliCPU
		shares[key.competition()] += table.shareMilliCPU(key)
	}
	return used, shares
}

// shareMilliCPU returns the share of a queue, 0 if the room of its service is not divided.
func (table *Table) shareMilliCPU(key Key) int64 {
	if division := table.divisions[key.Service]; division != nil {
		return division.ShareMilliCPU(key.Queue)
	}
	return 0
}

// shortestTargets returns the shortest known target duration of the queues of each competition.
func (table *Table) shortestTargets() map[competition]time.Duration {
	shortest := map[competition]time.Duration{}
	for key, known := range table.queues {
		competing, target := key.competition(), known.demand.Target
		if before, found := shortest[competing]; target > 0 && (!found || target < before) {
			shortest[competing] = target
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

// EndCount divides the room of each service that has too few workers, and forgets the queues without demand. It
// reports whether any share has changed.
func (table *Table) EndCount(roomOf func(service string) int64, now time.Time) bool {
	table.beginShortages(roomOf, now)
	demands := map[string][]Demand{}
	for key, known := range table.queues {
		if known.demand.MilliCPU() == 0 {
			delete(table.queues, key)
			continue
		}
		if _, isShort := table.ShortPriority(key.Service, now); isShort {
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
		if table.divisions[service].Update(roomOf(service), ofService, now) {
			changed = true
		}
	}
	return changed
}

// beginShortages begins a shortage for each queue that lacks resources while it uses less than its share, though other
// queues have what they want: they use more than their shares, so that they lack nothing themselves.
func (table *Table) beginShortages(roomOf func(service string) int64, now time.Time) {
	lacking := map[string]bool{}
	for key := range table.queues {
		if table.short.lacks(key, now) {
			lacking[key.Service] = true
		}
	}
	for service := range lacking {
		demands := table.demandsOf(service)
		for index, shareMilliCPU := range Divide(roomOf(service), demands) {
			key := Key{Service: service, Queue: demands[index].Queue}
			if demands[index].UsedMilliCPU < shareMilliCPU && table.short.lacks(key, now) && hasCompetitor(key.Queue, demands) {
				table.short.begin(key.competition(), now)
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
	for competing := range table.short.until {
		var positions []int
		for position, job := range jobs {
			if job.Key.competition() == competing {
				positions = append(positions, position)
			}
		}
		lines := table.lines(jobs, competing)
		for turn, job := range Sequence(lines) {
			ordered[positions[turn]] = job
		}
		for _, line := range lines {
			table.state(Key{Service: competing.service, Queue: line.Queue}).overdueTurns = line.overdueTurns
		}
	}
	return ordered
}

// lines returns the queues of a competition with their jobs.
func (table *Table) lines(jobs []*Job, competing competition) []*Line {
	byKey := map[Key]*Line{}
	var lines []*Line
	for _, job := range jobs {
		if job.Key.competition() != competing {
			continue
		}
		line, known := byKey[job.Key]
		if !known {
			line = table.newLine(job.Key)
			byKey[job.Key] = line
			lines = append(lines, line)
		}
		line.Jobs = append(line.Jobs, job)
	}
	return lines
}

// newLine returns the line of a queue, without its jobs.
func (table *Table) newLine(key Key) *Line {
	known := table.state(key)
	line := &Line{Queue: key.Queue, ShareMilliCPU: table.shareMilliCPU(key), StartsSinceOldest: known.startsSinceOldest}
	line.UsedMilliCPU = known.demand.UsedMilliCPU - known.lag.MilliCPU(known.demand.Target)
	return line
}

// Row is the share and the use of one queue.
type Row struct {
	Key Key
	// RoomMilliCPU is that of the service.
	RoomMilliCPU, ShareMilliCPU, UsedMilliCPU, DemandMilliCPU int64
	Lag                                                       Lag
}

// Rows returns the queues with a demand whose service's room is divided, ordered by service, priority and name.
func (table *Table) Rows() []Row {
	var rows []Row
	for key, known := range table.queues {
		division := table.divisions[key.Service]
		if division == nil || known.demand.MilliCPU() == 0 {
			continue
		}
		rows = append(rows, Row{
			Key: key, RoomMilliCPU: division.RoomMilliCPU(), ShareMilliCPU: division.ShareMilliCPU(key.Queue),
			UsedMilliCPU: known.demand.UsedMilliCPU, DemandMilliCPU: known.demand.MilliCPU(),
			Lag: known.lag,
		})
	}
	slices.SortFunc(rows, func(a, b Row) int { return compareKeys(a.Key, b.Key) })
	return rows
}
