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
// [ErrFull] says that every usable server is believed to be full, [ErrNone]
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

// ErrNone says that no backend server of the service can be used.
var ErrNone = errors.New("no backend server of the service is known to be ready")

const (
	// distancePrice is how much fuller a server in another failure domain
	// counts, as a share of its slots.
	distancePrice = 0.25
	// failuresToEject is how many failures in a row put a server aside.
	failuresToEject = 3
	ejectTime       = 5 * time.Second
	// unknownLatency stands in for the time of a server that has answered
	// nothing yet.
	unknownLatency = 100 * time.Millisecond
	// mostEjected bounds the part of a service that is put aside.
	mostEjected = 0.34
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
	name        string
	address     string
	domain      string
	incarnation string
	slots       int
	others      int
	learnedAt   time.Time
	inFlight    int
	ready       bool
	failures    int
	ejectedTill time.Time
	latency     time.Duration
}

// Picked is a backend server that was given a request, as it was known then.
type Picked struct {
	target     *server
	worker     string
	address    string
	service    string
	fullness   float64
	considered int
	full       int
	unready    int
	ejected    int
}

// Worker returns the name of the picked server's worker.
func (picked *Picked) Worker() string { return picked.worker }

// Address returns where the picked server's guard is reached.
func (picked *Picked) Address() string { return picked.address }

// Fullness returns how full the target was believed to be, 0 to 1.
func (picked *Picked) Fullness() float64 { return picked.fullness }

// Considered returns how many targets the service has.
func (picked *Picked) Considered() int { return picked.considered }

// Full returns how many targets were passed over as full.
func (picked *Picked) Full() int { return picked.full }

// Unready returns how many were passed over as not ready or already tried.
func (picked *Picked) Unready() int { return picked.unready }

// Ejected returns how many were passed over for failing.
func (picked *Picked) Ejected() int { return picked.ejected }

// Table holds the targets of every service. It may be used by many goroutines.
type Table struct {
	mu       sync.Mutex
	domain   string
	services map[string]*service
}

type service struct {
	targets []*server
	queue   queue
	latency time.Duration
}

// NewTable returns an empty table for an entry in a failure domain.
func NewTable(domain string) *Table {
	return &Table{domain: domain, services: map[string]*service{}}
}

func (table *Table) service(name string) *service {
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
	named := table.service(guard.Service())
	target := named.target(guard.Name())
	if target.incarnation != guard.Incarnation() {
		target.failures, target.ejectedTill = 0, time.Time{}
	}
	target.address = guard.Address()
	target.domain = guard.FailureDomain()
	target.incarnation = guard.Incarnation()
	target.ready = guard.Ready() && !silent
	target.learn(guard.Load(), guard.HeardAt())
	named.wakeFree(guard.HeardAt())
}

func (named *service) target(name string) *server {
	for _, target := range named.targets {
		if target.name == name {
			return target
		}
	}
	target := &server{name: name}
	named.targets = append(named.targets, target)
	return target
}

// learn takes in a load that the guard stated. What it counts beyond this
// entry's own requests is the work of others.
func (target *server) learn(load *wire.Load, now time.Time) {
	if load == nil {
		return
	}
	target.learnedAt = now
	target.slots = int(load.GetSlots())
	target.others = max(0, int(load.GetSlotsUsed())-target.inFlight)
	if load.GetLatencyNanos() > 0 {
		target.latency = time.Duration(load.GetLatencyNanos())
	}
}

// used is how many slots are believed to be taken. The requests of others are
// taken to end, one after the other, within the server's usual time: without
// that an entry none of whose own requests is there would believe a server
// full until its guard's next report.
func (target *server) used(now time.Time) int {
	usual := target.latency
	if usual == 0 {
		usual = unknownLatency
	}
	age := max(0, now.Sub(target.learnedAt))
	left := max(0, 1-float64(age)/float64(usual))
	return int(math.Ceil(float64(target.others)*left)) + target.inFlight
}

func (target *server) fullness(now time.Time) float64 {
	if target.slots == 0 {
		return 1
	}
	return float64(target.used(now)) / float64(target.slots)
}

// Pick takes the cheapest target that is not in tried and counts a request on
// it. Call Done once for each Picked.
func (table *Table) Pick(name string, tried []string, now time.Time) (*Picked, error) {
	table.mu.Lock()
	defer table.mu.Unlock()
	return table.pick(name, tried, now)
}

func (table *Table) pick(name string, tried []string, now time.Time) (*Picked, error) {
	named, found := table.services[name]
	if !found {
		return nil, ErrNone
	}
	picked := &Picked{service: name, considered: len(named.targets)}
	ejectable := int(mostEjected * float64(len(named.targets)))
	lowest := math.Inf(1)
	for _, target := range named.targets {
		switch {
		case !target.ready || contains(tried, target.name):
			picked.unready++
			continue
		case now.Before(target.ejectedTill) && picked.ejected < ejectable:
			picked.ejected++
			continue
		case target.used(now) >= target.slots:
			picked.full++
			continue
		}
		price := target.fullness(now)
		if target.domain != table.domain {
			price += distancePrice
		}
		if price < lowest {
			lowest, picked.target = price, target
		}
	}
	if picked.target == nil {
		if picked.full > 0 {
			return nil, ErrFull
		}
		return nil, ErrNone
	}
	picked.fullness = picked.target.fullness(now)
	picked.worker, picked.address = picked.target.name, picked.target.address
	picked.target.inFlight++
	return picked, nil
}

func contains(names []string, name string) bool {
	for _, each := range names {
		if each == name {
			return true
		}
	}
	return false
}

// Done counts the end of a request, with the load that came with its answer,
// if any, and the time it took.
func (table *Table) Done(picked *Picked, outcome Outcome, load *wire.Load, took time.Duration, now time.Time) {
	table.mu.Lock()
	defer table.mu.Unlock()
	named := table.services[picked.service]
	target := picked.target
	target.inFlight--
	target.learn(load, now)
	switch outcome {
	case Answered:
		target.failures = 0
		named.latency = smooth(named.latency, took)
	case Failed:
		target.failures++
		if target.failures >= failuresToEject {
			target.failures = 0
			target.ejectedTill = now.Add(ejectTime)
		}
	}
	named.wakeFree(now)
}

const smoothWeight = 0.05

func smooth(before, reading time.Duration) time.Duration {
	if before == 0 {
		return reading
	}
	return before + time.Duration(smoothWeight*float64(reading-before))
}

// Usable reports whether some backend server of the service is ready.
func (table *Table) Usable(name string) bool {
	table.mu.Lock()
	defer table.mu.Unlock()
	named, found := table.services[name]
	if !found {
		return false
	}
	return slices.ContainsFunc(named.targets, func(target *server) bool { return target.ready })
}
