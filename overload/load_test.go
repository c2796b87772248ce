package overload_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"ambertiller.example/ambertiller/overload"
)

// The load: jobs of three sizes and from three failure domains ask for more work than is done.
const (
	drainedPerS = 100_000.0 // ms of one core
	overloadX   = 1.6
	useful      = 12 * time.Second
	maxCalls    = 4
	stepLength  = 50 * time.Millisecond
	loadLength  = 6 * time.Minute
	owners      = 2
)

// sizes are the work of a job of each size. All sizes ask for the same amount of work together.
var sizes = []float64{2000, 9000, 40_000}

var domains = []string{"a", "b", "c"}

// caller submits one job, and comes back when it is told.
type caller struct {
	id                string
	size, domain      int
	calls             int
	admitted          bool
	firstCallAt, next time.Time
}

// load plays callers against gateways, owners and a backlog that is worked off in order.
type load struct {
	rng      *rand.Rand
	now      time.Time
	demand   [3]float64 // the part of the rate that jobs of each size ask for
	backlog  float64
	reported [3]float64 // the backlog that the gateway of each failure domain knows
	tables   [owners]*overload.Table
	callers  []*caller
	waiting  []*caller
	// withOneSecond makes all refused callers come back after a second, in no order.
	withOneSecond bool
	latestEnd     time.Duration
	idle          time.Duration // time in which nothing was in the backlog while callers waited
}

func newLoad(seed uint64) *load {
	l := &load{rng: rand.New(rand.NewPCG(seed, 1)), now: time.UnixMilli(1_800_000_000_000), demand: [3]float64{1. / 3, 1. / 3, 1. / 3}}
	for index := range l.tables {
		l.tables[index] = overload.NewTable()
	}
	return l
}

// run plays the load for a time. Arrivals stop at its end, and callers that wait are not served any more.
func (l *load) run(length time.Duration, rate float64) {
	for step := range int(length / stepLength) {
		l.now = l.now.Add(stepLength)
		l.backlog = max(0, l.backlog-drainedPerS*stepLength.Seconds())
		for domain := range domains {
			// Gateways learn the backlog once a second, each at another time.
			if (step+domain*7)%20 == 0 {
				l.reported[domain] = l.backlog
			}
		}
		if l.backlog == 0 && len(l.waiting) > 0 {
			l.idle += stepLength
		}
		l.arrive(rate)
		l.callAll()
	}
}

func (l *load) arrive(rate float64) {
	for size, coreMs := range sizes {
		expected := rate * l.demand[size] * drainedPerS / coreMs * stepLength.Seconds()
		for expected > 0 {
			if l.rng.Float64() < expected {
				c := &caller{id: fmt.Sprintf("%016x", l.rng.Uint64()), size: size, domain: l.rng.IntN(len(domains)), firstCallAt: l.now, next: l.now}
				l.callers = append(l.callers, c)
				l.waiting = append(l.waiting, c)
			}
			expected--
		}
	}
}

// callAll lets the callers call whose time has come.
func (l *load) callAll() {
	var waiting []*caller
	for _, c := range l.waiting {
		if !c.next.After(l.now) {
			l.call(c)
		}
		if !c.admitted && c.calls < maxCalls && c.next.Sub(c.firstCallAt) < useful {
			waiting = append(waiting, c)
		}
	}
	l.waiting = waiting
}

func (l *load) call(c *caller) {
	c.calls++
	end := seconds((l.reported[c.domain] + sizes[c.size]) / drainedPerS)
	l.ask(c, end)
	if l.withOneSecond {
		c.next = l.now.Add(time.Second)
	}
	if c.admitted {
		l.backlog += sizes[c.size]
		l.latestEnd = max(l.latestEnd, seconds(l.backlog/drainedPerS))
	}
}

// ask lets a gateway and the owner of the job's shard decide.
func (l *load) ask(c *caller, end time.Duration) {
	if !overload.ShouldAsk(end, useful) {
		c.admitted = true
		return
	}
	table := l.tables[int(c.id[0])%owners]
	decision := table.Decide(overload.Request{
		ID: c.id, Pool: "pool", Queue: "q", CoreMs: int64(sizes[c.size]), End: end, Useful: useful, DrainedCoreMsPerS: drainedPerS, Share: 1.0 / owners,
	}, l.now)
	c.admitted = !decision.IsDecided() || decision.IsAdmitted()
	if c.admitted {
		table.Arrive(c.id, l.now)
		return
	}
	c.next = l.now.Add(seconds(math.Ceil(decision.RetryAfter().Seconds())))
}

func seconds(count float64) time.Duration { return time.Duration(count * float64(time.Second)) }

// refusedShare returns the part of the callers chosen that were refused for good.
func (l *load) refusedShare(chosen func(c *caller) bool) float64 {
	refused, all := 0, 0
	for _, c := range l.callers {
		if !chosen(c) || l.now.Sub(c.firstCallAt) < useful {
			continue
		}
		all++
		if !c.admitted {
			refused++
		}
	}
	return float64(refused) / float64(all)
}

// callsPerJob returns how many calls were made for each job admitted.
func (l *load) callsPerJob() float64 {
	calls, done := 0, 0
	for _, c := range l.callers {
		calls += c.calls
		if c.admitted {
			done++
		}
	}
	return float64(calls) / float64(done)
}

func spreadOf(shares []float64) float64 { return slices.Max(shares) - slices.Min(shares) }

// TestOverload checks what callers get while more is asked for than can be done: those admitted end in time, the
// part refused is alike for all sizes and failure domains, and fewer calls are made for each job than if callers
// were told to come back after a second.
func TestOverload(t *testing.T) {
	for seed := range uint64(3) {
		l := newLoad(seed)
		l.run(loadLength, overloadX)
		var bySize, byDomain []float64
		for index := range sizes {
			bySize = append(bySize, l.refusedShare(func(c *caller) bool { return c.size == index }))
			byDomain = append(byDomain, l.refusedShare(func(c *caller) bool { return c.domain == index }))
		}
		if spreadOf(bySize) > 0.05 || spreadOf(byDomain) > 0.05 {
			t.Errorf("seed %d: refused by size %.3f, by failure domain %.3f", seed, bySize, byDomain)
		}
		if l.latestEnd > useful || l.idle > 0 {
			t.Errorf("seed %d: the latest job admitted ends after %v, workers idle for %v", seed, l.latestEnd, l.idle)
		}
		other := newLoad(seed)
		other.withOneSecond = true
		other.run(loadLength, overloadX)
		if l.callsPerJob() > 0.9*other.callsPerJob() {
			t.Errorf("seed %d: %.2f calls a job, %.2f if told a second", seed, l.callsPerJob(), other.callsPerJob())
		}
	}
}

// TestNoneRefusedWithRoom checks that nobody is refused while less is asked for than can be done.
func TestNoneRefusedWithRoom(t *testing.T) {
	l := newLoad(1)
	l.run(loadLength, 0.9)
	if calls := l.callsPerJob(); calls != 1 {
		t.Errorf("%.3f calls a job", calls)
	}
}

// TestFloodOfLargeJobs checks that jobs of a class that asks for less than its share are not refused because of
// others beyond theirs.
func TestFloodOfLargeJobs(t *testing.T) {
	l := newLoad(2)
	l.demand = [3]float64{0.2, 0.2, 2}
	l.run(loadLength, 1)
	small := l.refusedShare(func(c *caller) bool { return c.size < 2 })
	large := l.refusedShare(func(c *caller) bool { return c.size == 2 })
	if small > 0.02 || large < 0.5 {
		t.Errorf("refused: %.3f of the small jobs, %.3f of the large ones", small, large)
	}
}

// TestOwnerLost checks that callers whose place is lost with their owner are served as new ones.
func TestOwnerLost(t *testing.T) {
	l := newLoad(3)
	l.run(time.Minute, overloadX)
	for index := range l.tables {
		l.tables[index] = overload.NewTable()
	}
	l.run(time.Minute, overloadX)
	l.run(time.Minute, 0.1)
	if len(l.waiting) > 0 || l.latestEnd > useful+time.Second {
		t.Errorf("%d callers still wait, the latest job admitted ends after %v", len(l.waiting), l.latestEnd)
	}
}
