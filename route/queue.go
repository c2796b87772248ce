package route

import (
	"context"
	"fmt"
	"time"
)

// ShedError says that a request was given up before it was sent anywhere.
type ShedError struct {
	reason     string
	retryAfter time.Duration
}

// Error implements error.
func (shed *ShedError) Error() string { return shed.reason }

// RetryAfter returns when it is worth coming back.
func (shed *ShedError) RetryAfter() time.Duration { return shed.retryAfter }

// minRetryAfter keeps callers from coming back at once.
const minRetryAfter = 100 * time.Millisecond

// queue holds the requests of one service that wait for a free slot, oldest
// first.
type queue struct {
	waiters []chan struct{}
}

// PickOrWait picks a target, and waits for a free slot when there is none. It gives
// up at once when the queue is full, or when the wait is expected to leave the
// request no time, and says when to come back.
func (table *Table) PickOrWait(ctx context.Context, name string, tried []string, bounds WaitOptions) (*PickResult, error) {
	for {
		ticket, picked, err := table.pickOrEnqueue(name, tried, bounds)
		if ticket == nil {
			return picked, err
		}
		picked, err = table.awaitTurn(ctx, name, ticket, tried, bounds)
		if picked != nil || err != nil {
			return picked, err
		}
		bounds.woken = true
	}
}

// awaitTurn waits for the ticket's turn. The first in the queue looks again by
// itself now and then, because nothing tells an entry of the slots that the
// requests of other entries give back. Without a result the turn has come.
func (table *Table) awaitTurn(ctx context.Context, name string, ticket chan struct{}, tried []string, bounds WaitOptions) (*PickResult, error) {
	for {
		select {
		case <-ticket:
			return nil, nil
		case <-bounds.After(table.recheckInterval(name)):
			if picked := table.pickIfFirst(name, ticket, tried, bounds.Now()); picked != nil {
				return picked, nil
			}
		case <-ctx.Done():
			table.removeWaiter(name, ticket)
			return nil, &ShedError{reason: "the deadline passed while the request waited for a slot", retryAfter: minRetryAfter}
		}
	}
}

const (
	minRecheckInterval = time.Millisecond
	rechecksPerLatency = 4
)

// recheckInterval is how long the first in the queue waits before it looks again.
func (table *Table) recheckInterval(name string) time.Duration {
	table.mu.Lock()
	defer table.mu.Unlock()
	return max(minRecheckInterval, table.services[name].latency/rechecksPerLatency)
}

// pickIfFirst picks for the ticket if it is the first in the queue.
func (table *Table) pickIfFirst(name string, ticket chan struct{}, tried []string, now time.Time) *PickResult {
	table.mu.Lock()
	defer table.mu.Unlock()
	waiting := table.services[name].queue.waiters
	if len(waiting) == 0 || waiting[0] != ticket {
		return nil
	}
	picked, err := table.pick(name, tried, now)
	if err != nil {
		return nil
	}
	table.services[name].queue.waiters = waiting[1:]
	return picked
}

// WaitOptions limits one wait.
type WaitOptions struct {
	// MaxQueued is how many requests of the service may wait.
	MaxQueued int
	// Deadline is when the request's time ends.
	Deadline time.Time
	// Now returns the present time, After waits.
	Now   func() time.Time
	After func(wait time.Duration) <-chan time.Time
	// Requeued marks a request that has waited before and goes first.
	Requeued bool

	woken bool
}

func (table *Table) pickOrEnqueue(name string, tried []string, bounds WaitOptions) (chan struct{}, *PickResult, error) {
	table.mu.Lock()
	defer table.mu.Unlock()
	now := bounds.Now()
	named, found := table.services[name]
	if found && !bounds.woken && !bounds.Requeued && len(named.queue.waiters) > 0 {
		// Those who wait go first.
		return table.enqueue(named, bounds, now)
	}
	picked, err := table.pick(name, tried, now)
	if err != ErrFull {
		return nil, picked, err
	}
	return table.enqueue(named, bounds, now)
}

func (table *Table) enqueue(named *service, bounds WaitOptions, now time.Time) (chan struct{}, *PickResult, error) {
	if bounds.woken || bounds.Requeued {
		// It has waited its turn; what took the slot away was not its fault.
		ticket := make(chan struct{})
		named.queue.waiters = append([]chan struct{}{ticket}, named.queue.waiters...)
		return ticket, nil, nil
	}
	waiting := len(named.queue.waiters)
	expected := named.expectedWait(waiting + 1)
	if waiting >= bounds.MaxQueued {
		return nil, nil, &ShedError{
			reason:     fmt.Sprintf("%d requests wait already", waiting),
			retryAfter: max(minRetryAfter, expected),
		}
	}
	if now.Add(expected + named.latency).After(bounds.Deadline) {
		return nil, nil, &ShedError{
			reason:     fmt.Sprintf("the expected wait of %s leaves no time before the deadline", expected.Round(time.Millisecond)),
			retryAfter: max(minRetryAfter, expected),
		}
	}
	ticket := make(chan struct{})
	named.queue.waiters = append(named.queue.waiters, ticket)
	return ticket, nil, nil
}

// expectedWait is how long the request at a place in the queue waits, at the
// pace at which slots have come free lately.
func (named *service) expectedWait(place int) time.Duration {
	slots := 0
	for _, target := range named.servers {
		if target.ready {
			slots += target.slots
		}
	}
	if slots == 0 {
		return 0
	}
	return time.Duration(float64(named.latency) * float64(place) / float64(slots))
}

// wakeWaiters wakes as many of those who wait as there are free slots.
func (named *service) wakeWaiters(now time.Time) {
	if len(named.queue.waiters) == 0 {
		return
	}
	free := 0
	for _, target := range named.servers {
		if target.ready {
			free += max(0, target.slots-target.usedSlots(now))
		}
	}
	for ; free > 0 && len(named.queue.waiters) > 0; free-- {
		close(named.queue.waiters[0])
		named.queue.waiters = named.queue.waiters[1:]
	}
}

func (table *Table) removeWaiter(name string, ticket chan struct{}) {
	table.mu.Lock()
	defer table.mu.Unlock()
	named := table.services[name]
	for index, each := range named.queue.waiters {
		if each == ticket {
			named.queue.waiters = append(named.queue.waiters[:index], named.queue.waiters[index+1:]...)
			return
		}
	}
}

// QueueLength returns how many requests of a service wait.
func (table *Table) QueueLength(name string) int {
	table.mu.Lock()
	defer table.mu.Unlock()
	if named, found := table.services[name]; found {
		return len(named.queue.waiters)
	}
	return 0
}

// ExpectedWait returns how long a request that came now would wait.
func (table *Table) ExpectedWait(name string) time.Duration {
	table.mu.Lock()
	defer table.mu.Unlock()
	named, found := table.services[name]
	if !found {
		return 0
	}
	return named.expectedWait(len(named.queue.waiters) + 1)
}
