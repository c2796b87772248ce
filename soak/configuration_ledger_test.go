package soak

import (
	"sync"
	"time"
)

const (
	// inForceBound is the time after its acknowledgement by which a configuration must be in force on each
	// gateway that has been undisturbed for contactTime.
	inForceBound = 3 * time.Second
	contactTime  = 4 * time.Second
	// storeName is the name under which the disturbances of the whole store are recorded.
	storeName = "store"
)

// disturbances records when faults affected a process or the store. A process is named as in its settings.
type disturbances struct {
	mu     sync.Mutex
	active map[string]int
	last   map[string]time.Time // when the latest disturbance ended
}

func newDisturbances() *disturbances {
	return &disturbances{active: map[string]int{}, last: map[string]time.Time{}}
}

// begin records the begin of a disturbance and returns the function that records its end.
func (d *disturbances) begin(name string) (end func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.active[name]++
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.active[name]--
		d.last[name] = time.Now()
	}
}

// record records a disturbance that ends at once.
func (d *disturbances) record(name string) { d.begin(name)() }

// isCalmSince reports whether neither the process nor the store has been disturbed since a time.
func (d *disturbances) isCalmSince(name string, since time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, disturbed := range []string{name, storeName} {
		if d.active[disturbed] > 0 || !d.last[disturbed].Before(since) {
			return false
		}
	}
	return true
}

// publication is a version of the configuration and when the store acknowledged it.
type publication struct {
	version        int
	acknowledgedAt time.Time
}

// publications records the published versions, and which of them gateways have been seen to use.
type publications struct {
	mu   sync.Mutex
	list []publication
	// used holds the highest version that a process has used, by the name of the gateway and the number of its
	// process.
	used map[gatewayProcess]int
}

type gatewayProcess struct {
	gateway string
	process int
}

func newPublications() *publications { return &publications{used: map[gatewayProcess]int{}} }

// add records that the store has acknowledged a version.
func (p *publications) add(version int, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = append(p.list, publication{version, now})
}

// due returns the newest version that must be in force on an undisturbed gateway, or 0 if there is none.
func (p *publications) due(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	version := 0
	for _, published := range p.list {
		if now.Sub(published.acknowledgedAt) > inForceBound {
			version = published.version
		}
	}
	return version
}

// probe is a request by which it shows whether a gateway uses a version or a later one.
type probe struct {
	process gatewayProcess
	version int
	sentAt  time.Time
	answer  probeAnswer
}

// probeAnswer is what the answer to a probe shows.
type probeAnswer int

const (
	usesVersion probeAnswer = iota
	usesOlderVersion
	// doesNotKnow is the answer of a gateway that has no configuration, or one that may be outdated.
	doesNotKnow
)

// check returns a description of the violation that a probe shows, or an empty string. A gateway that has been
// disturbed may use an older version, but no process may go back to a version older than one that it has used.
func (p *publications) check(seen probe, calm bool) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case seen.answer == usesVersion:
		p.used[seen.process] = max(p.used[seen.process], seen.version)
		return ""
	case seen.answer == usesOlderVersion && p.used[seen.process] >= seen.version:
		return "the process went back to an older version than it had used"
	case calm:
		return "the version is not in force in time"
	}
	return ""
}
