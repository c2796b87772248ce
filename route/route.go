// Package route picks the backend server for a request.
//
// A Table holds the backend servers of each service with the estimated load of
// each: the load that its guard reported last, and the requests that this entry
// has sent since. Pick chooses the server with the lowest utilization. It adds a
// constant penalty to servers in another failure domain, so that servers in the
// entry's own domain are preferred until they are busier by more than that.
// Servers that fail repeatedly are ejected for some time, but never more than a
// bounded share of the servers of a service.
//
// # Usage
//
//	table := route.NewTable("milano-a")
//	table.Update(guard, false)
//	result, err := table.Pick("verbale", nil, now)
//	table.Done(result, route.Answered, load, duration, now)
//
// # Errors
//
// [ErrFull] reports that every usable server is assumed to be full, [ErrNoneReady]
// that no server is usable.
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

// ErrFull reports that every usable backend server is assumed to be full.
var ErrFull = errors.New("every backend server of the service is full")

// ErrNoneReady reports that no backend server of the service can be used.
var ErrNoneReady = errors.New("no backend server of the service is known to be ready")

const (
	// crossDomainPenalty is added to the utilization of a server in another
	// failure domain, as a share of its slots, when servers are compared.
	crossDomainPenalty = 0.25
	// failuresToEject is the number of consecutive failures that eject a server.
	failuresToEject = 3
	// ejectionTime is how long a server stays ejected.
	ejectionTime = 5 * time.Second
	// defaultLatency is assumed for a server that has not reported a latency yet.
	defaultLatency = 100 * time.Millisecond
	// maxEjectedRatio bounds the share of a service's servers that are ejected.
	maxEjectedRatio = 0.34
)

// Outcome is how a request to a backend server ended.
type Outcome int

// The outcomes.
const (
	// Answered means that the server answered the request.
	Answered Outcome = iota
	// Refused means that the server did not take the request because it is full or
	// leaving. It does not count as a failure.
	Refused
	// Failed means that the request got no complete answer.
	Failed
)

// server is a backend server and the state by which it is picked. The table's lock
// guards it. The fields otherInFlight and inFlight count the requests of other
// entries and of this one.
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

// PickResult describes the backend server picked for a request, as it was known at
// that time, and how many servers were skipped for which reason.
type PickResult struct {
	server       *server
	worker       string
	address      string
	service      string
	utilization  float64
	serverCount  int
	fullCount    int
	unreadyCount int
	ejectedCount int
}

// Worker returns the name of the worker that runs the server.
func (result *PickResult) Worker() string { return result.worker }

// Address returns the address of the worker's guard.
func (result *PickResult) Address() string { return result.address }

// Utilization returns the estimated share of the server's slots in use, from 0 to 1,
// without the picked request.
func (result *PickResult) Utilization() float64 { return result.utilization }

// ServerCount returns the number of servers of the service.
func (result *PickResult) ServerCount() int { return result.serverCount }

// FullCount returns the number of servers that were skipped because they are full.
func (result *PickResult) FullCount() int { return result.fullCount }

// UnreadyCount returns the number of servers that were skipped because they are not
// ready or were tried before.
func (result *PickResult) UnreadyCount() int { return result.unreadyCount }

// EjectedCount returns the number of servers that were skipped because they are
// ejected after failures.
func (result *PickResult) EjectedCount() int { return result.ejectedCount }

// Table holds the servers of every service. It is safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	domain   string
	services map[string]*service
}

// service holds the servers of one service and the requests that wait for them.
type service struct {
	servers []*server
	queue   queue
	// latency is the moving average of the duration of answered requests.
	latency time.Duration
}

// NewTable returns an empty table for an entry in the given failure domain.
func NewTable(domain string) *Table {
	return &Table{domain: domain, services: map[string]*service{}}
}

// ensureService returns a service and creates it if needed.
func (t *Table) ensureService(name string) *service {
	svc, found := t.services[name]
	if !found {
		svc = &service{}
		t.services[name] = svc
	}
	return svc
}

// Update updates a server from what is known of its guard. silent marks the server
// as not ready because its guard has not reported for too long.
func (t *Table) Update(guard *membership.Guard, silent bool) {
	if guard.Service() == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	svc := t.ensureService(guard.Service())
	srv := svc.ensureServer(guard.Name())
	if srv.incarnation != guard.Incarnation() {
		srv.failures, srv.ejectedUntil = 0, time.Time{}
	}
	srv.address = guard.Address()
	srv.domain = guard.FailureDomain()
	srv.incarnation = guard.Incarnation()
	srv.ready = guard.IsReady() && !silent
	srv.updateLoad(guard.Load(), guard.LastReportAt())
	svc.wakeWaiters(guard.LastReportAt())
}

// ensureServer returns a server of the service and creates it if needed.
func (svc *service) ensureServer(name string) *server {
	for _, srv := range svc.servers {
		if srv.name == name {
			return srv
		}
	}
	srv := &server{name: name}
	svc.servers = append(svc.servers, srv)
	return srv
}

// updateLoad updates the load of a server from what its guard reported. The used
// slots in excess of this entry's own requests belong to other entries.
func (srv *server) updateLoad(load *wire.Load, now time.Time) {
	if load == nil {
		return
	}
	srv.loadUpdatedAt = now
	srv.slots = int(load.GetSlots())
	srv.otherInFlight = max(0, int(load.GetSlotsUsed())-srv.inFlight)
	if load.GetLatencyNanos() > 0 {
		srv.latency = time.Duration(load.GetLatencyNanos())
	}
}

// usedSlots returns the estimated number of slots in use. The requests of other
// entries are assumed to end at a constant rate within the server's latency.
// Otherwise an entry that has no requests of its own on a full server would
// assume it to be full until its guard reports again.
func (srv *server) usedSlots(now time.Time) int {
	latency := srv.latency
	if latency == 0 {
		latency = defaultLatency
	}
	age := max(0, now.Sub(srv.loadUpdatedAt))
	remaining := max(0, 1-float64(age)/float64(latency))
	return int(math.Ceil(float64(srv.otherInFlight)*remaining)) + srv.inFlight
}

// utilization returns the estimated share of slots in use. It is 1 for a server
// without slots.
func (srv *server) utilization(now time.Time) float64 {
	if srv.slots == 0 {
		return 1
	}
	return float64(srv.usedSlots(now)) / float64(srv.slots)
}

// Pick picks the server with the lowest cost that is not in tried, and counts a
// request on it. The caller must call Done once for each result.
func (t *Table) Pick(name string, tried []string, now time.Time) (*PickResult, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pick(name, tried, now)
}

// pick implements Pick. The caller holds the lock.
func (t *Table) pick(name string, tried []string, now time.Time) (*PickResult, error) {
	svc, found := t.services[name]
	if !found {
		return nil, ErrNoneReady
	}
	result := &PickResult{service: name, serverCount: len(svc.servers)}
	maxEjected := int(maxEjectedRatio * float64(len(svc.servers)))
	lowestCost := math.Inf(1)
	for _, srv := range svc.servers {
		switch {
		case !srv.ready || containsName(tried, srv.name):
			result.unreadyCount++
			continue
		case now.Before(srv.ejectedUntil) && result.ejectedCount < maxEjected:
			result.ejectedCount++
			continue
		case srv.usedSlots(now) >= srv.slots:
			result.fullCount++
			continue
		}
		cost := srv.utilization(now)
		if srv.domain != t.domain {
			cost += crossDomainPenalty
		}
		if cost < lowestCost {
			lowestCost, result.server = cost, srv
		}
	}
	if result.server == nil {
		if result.fullCount > 0 {
			return nil, ErrFull
		}
		return nil, ErrNoneReady
	}
	result.utilization = result.server.utilization(now)
	result.worker, result.address = result.server.name, result.server.address
	result.server.inFlight++
	return result, nil
}

func containsName(names []string, name string) bool {
	for _, other := range names {
		if other == name {
			return true
		}
	}
	return false
}

// Done records the end of a request, with the load that the server reported with its
// answer, if any, and the duration of the request.
func (t *Table) Done(result *PickResult, outcome Outcome, load *wire.Load, duration time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	svc := t.services[result.service]
	srv := result.server
	srv.inFlight--
	srv.updateLoad(load, now)
	switch outcome {
	case Answered:
		srv.failures = 0
		svc.latency = movingAverage(svc.latency, duration)
	case Failed:
		srv.failures++
		if srv.failures >= failuresToEject {
			srv.failures = 0
			srv.ejectedUntil = now.Add(ejectionTime)
		}
	}
	svc.wakeWaiters(now)
}

// latencySmoothing is the weight of a new sample in the average latency of a service.
const latencySmoothing = 0.05

// movingAverage returns the exponentially weighted moving average with a new sample.
// The first sample is taken as it is.
func movingAverage(average, sample time.Duration) time.Duration {
	if average == 0 {
		return sample
	}
	return average + time.Duration(latencySmoothing*float64(sample-average))
}

// HasReadyServer reports whether any backend server of the service is ready.
func (t *Table) HasReadyServer(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	svc, found := t.services[name]
	if !found {
		return false
	}
	return slices.ContainsFunc(svc.servers, func(srv *server) bool { return srv.ready })
}
