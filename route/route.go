// Package route picks the backend server for a request.
//
// A Table keeps, for each service, the backend servers that could take a
// request and what is known of each one's load: what its guard said last, and
// what this entry has sent since. Pick takes the one that is least full,
// where a server in another failure domain counts as fuller by the price of
// distance, so that the near ones are preferred until that costs more than it
// saves. Backend servers that fail are left out for a while, but never more
// than a bounded part of a service.
//
// # Usage
//
//	table := route.NewTable("milano-a")
//	table.Update(guard, false)
//	picked, err := table.Pick("verbale", nil, now)
//	table.Done(picked, route.Answered, load, took, now)
//
// # Errors
//
// [ErrFull] says that every usable server is believed to be full, [ErrNoneReady]
// that there is none.
package route

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"ambertiller.example/ambertiller/membership"
	"ambertiller.example/ambertiller/wire"
)

// ErrFull says that every usable backend server is believed to be full.
var ErrFull = errors.New("every backend server of the service is full")

// ErrNoneReady says that no backend server of the service can be used.
var ErrNoneReady = errors.New("no backend server of the service is known to be ready")

const (
	// crossDomainPenalty is how much fuller a server in another failure domain
	// counts, as a share of its slots.
	crossDomainPenalty = 0.25
	// failuresToEject is how many failures in a row put a server aside.
	failuresToEject = 3
	ejectionTime    = 5 * time.Second
	// defaultLatency stands in for the time of a server that has answered
	// nothing yet.
	defaultLatency = 100 * time.Millisecond
	// maxEjectedRatio bounds the part of a service that is put aside.
	maxEjectedRatio = 0.34
)

// Outcome says how a request to a backend server ended.
type Outcome int

// The outcomes.
const (
	Answered Outcome = iota
	Refused
	Failed
)

// server is one backend server; the table's lock guards it.
type server struct {
	name          string
	address       string
	domain        string
	incarnation   string
	slots         int
	otherInFlight int
	loadUpdatedAt time.Time
	inFlight      int
	ready         bool
	failures      int
	ejectedUntil  time.Time
	latency       time.Duration
}

// PickResult is a backend server that was given a request, as it was known then.
type PickResult struct {
	server       *server
	worker       string
	address      string
	service      string
	utilisation  float64
	serverCount  int
	fullCount    int
	unreadyCount int
	ejectedCount int
}

// Worker returns the name of the picked server's worker.
func (picked *PickResult) Worker() string { return picked.worker }

// Address returns where the picked server's guard is reached.
func (picked *PickResult) Address() string { return picked.address }

// Utilisation returns how full the target was believed to be, 0 to 1.
func (picked *PickResult) Utilisation() float64 { return picked.utilisation }

// ServerCount returns how many targets the service has.
func (picked *PickResult) ServerCount() int { return picked.serverCount }

// FullCount returns how many targets were passed over as full.
func (picked *PickResult) FullCount() int { return picked.fullCount }

// UnreadyCount returns how many were passed over as not ready or already tried.
func (picked *PickResult) UnreadyCount() int { return picked.unreadyCount }

// EjectedCount returns how many were passed over for failing.
func (picked *PickResult) EjectedCount() int { return picked.ejectedCount }

// Table holds the targets of every service. It may be used by many goroutines.
type Table struct {
	mu       sync.Mutex
	domain   string
	services map[string]*service
}

type service struct {
	servers []*server
	queue   queue
	latency time.Duration
}

// NewTable returns an empty table for an entry in a failure domain.
func NewTable(domain string) *Table {
	return &Table{domain: domain, services: map[string]*service{}}
}

func (table *Table) ensureService(name string) *service {
	named, found := table.services[name]
	if !found {
		named = &service{}
		table.services[name] = named
	}
	return named
}

// Update takes in what a guard said. Silent tells that nothing was heard of it
// for too long.
func (table *Table) Update(guard *membership.Guard, silent bool) {
	if guard.Service() == "" {
		return
	}
	table.mu.Lock()
	defer table.mu.Unlock()
	named := table.ensureService(guard.Service())
	target := named.ensureServer(guard.Name())
	if target.incarnation != guard.Incarnation() {
		target.failures, target.ejectedUntil = 0, time.Time{}
	}
	target.address = guard.Address()
	target.domain = guard.FailureDomain()
	target.incarnation = guard.Incarnation()
	target.ready = guard.IsReady() && !silent
	target.updateLoad(guard.Load(), guard.LastReportAt())
	named.wakeWaiters(guard.LastReportAt())
}

func (named *service) ensureServer(name string) *server {
	for _, target := range named.servers {
		if target.name == name {
			return target
		}
	}
	target := &server{name: name}
	named.servers = append(named.servers, target)
	return target
}

// updateLoad takes in a load that the guard stated. What it counts beyond this
// entry's own requests is the work of others.
func (target *server) updateLoad(load *wire.Load, now time.Time) {
	if load == nil {
		return
	}
	target.loadUpdatedAt = now
	target.slots = int(load.GetSlots())
	target.otherInFlight = max(0, int(load.GetSlotsUsed())-target.inFlight)
	if load.GetLatencyNanos() > 0 {
		target.latency = time.Duration(load.GetLatencyNanos())
	}
}

// usedSlots is how many slots are believed to be taken. The requests of others are
// taken to end, one after the other, within the server's usual time: without
// that an entry none of whose own requests is there would believe a server
// full until its guard's next report.
func (target *server) usedSlots(now time.Time) int {
	usual := target.latency
	if usual == 0 {
		usual = defaultLatency
	}
	age := max(0, now.Sub(target.loadUpdatedAt))
	left := max(0, 1-float64(age)/float64(usual))
	return int(math.Ceil(float64(target.otherInFlight)*left)) + target.inFlight
}

func (target *server) utilisation(now time.Time) float64 {
	if target.slots == 0 {
		return 1
	}
	return float64(target.usedSlots(now)) / float64(target.slots)
}

// Pick takes the cheapest target that is not in tried and counts a request on
// it. Call Done once for each Picked.
func (table *Table) Pick(name string, tried []string, now time.Time) (*PickResult, error) {
	table.mu.Lock()
	defer table.mu.Unlock()
	return table.pick(name, tried, now)
}

func (table *Table) pick(name string, tried []string, now time.Time) (*PickResult, error) {
	named, found := table.services[name]
	if !found {
		return nil, ErrNoneReady
	}
	picked := &PickResult{service: name, serverCount: len(named.servers)}
	ejectable := int(maxEjectedRatio * float64(len(named.servers)))
	lowest := math.Inf(1)
	for _, target := range named.servers {
		switch {
		case !target.ready || containsName(tried, target.name):
			picked.unreadyCount++
			continue
		case now.Before(target.ejectedUntil) && picked.ejectedCount < ejectable:
			picked.ejectedCount++
			continue
		case target.usedSlots(now) >= target.slots:
			picked.fullCount++
			continue
		}
		price := target.utilisation(now)
		if target.domain != table.domain {
			price += crossDomainPenalty
		}
		if price < lowest {
			lowest, picked.server = price, target
		}
	}
	if picked.server == nil {
		if picked.fullCount > 0 {
			return nil, ErrFull
		}
		return nil, ErrNoneReady
	}
	picked.utilisation = picked.server.utilisation(now)
	picked.worker, picked.address = picked.server.name, picked.server.address
	picked.server.inFlight++
	return picked, nil
}

func containsName(names []string, name string) bool {
	for _, each := range names {
		if each == name {
			return true
		}
	}
	return false
}

// Done counts the end of a request, with the load that came with its answer,
// if any, and the time it took.
func (table *Table) Done(picked *PickResult, outcome Outcome, load *wire.Load, took time.Duration, now time.Time) {
	table.mu.Lock()
	defer table.mu.Unlock()
	named := table.services[picked.service]
	target := picked.server
	target.inFlight--
	target.updateLoad(load, now)
	switch outcome {
	case Answered:
		target.failures = 0
		named.latency = movingAverage(named.latency, took)
	case Failed:
		target.failures++
		if target.failures >= failuresToEject {
			target.failures = 0
			target.ejectedUntil = now.Add(ejectionTime)
		}
	}
	named.wakeWaiters(now)
}

const latencySmoothing = 0.05

func movingAverage(before, reading time.Duration) time.Duration {
	if before == 0 {
		return reading
	}
	return before + time.Duration(latencySmoothing*float64(reading-before))
}

// HasReadyServer reports whether some backend server of the service is ready.
func (table *Table) HasReadyServer(name string) bool {
	table.mu.Lock()
	defer table.mu.Unlock()
	named, found := table.services[name]
	if !found {
		return false
	}
	return slices.ContainsFunc(named.servers, func(target *server) bool { return target.ready })
}
