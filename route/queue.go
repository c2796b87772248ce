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

// leastRetryAfter keeps callers from coming back at once.
const leastRetryAfter = 100 * time.Millisecond

// queue holds the requests of one service that wait for a free slot, oldest
// first.
type queue struct {
	waiting []chan struct{}
}

// Wait picks a target, and waits for a free slot when there is none. It gives
// up at once when the queue is full, or when the wait is expected to leave the
// request no time, and says when to come back.
func (table *Table) Wait(ctx context.Context, name string, tried []string, bounds Bounds) (*Picked, error) {
	for {
		ticket, picked, err := table.pickOrQueue(name, tried, bounds)
		if ticket == nil {
			return picked, err
		}
		picked, err = table.await(ctx, name, ticket, tried, bounds)
		if picked != nil || err != nil {
			return picked, err
		}
		bounds.queued = true
	}
}

// await waits for the ticket's turn. The first in the queue looks again by
// itself now and then, because nothing tells an entry of the slots that the
// requests of other entries give back. Without a result the turn has come.
func (table *Table) await(ctx context.Context, name string, ticket chan struct{}, tried []string, bounds Bounds) (*Picked, error) {
	for {
		select {
		case <-ticket:
			return nil, nil
		case <-bounds.After(table.lookAgain(name)):
			if picked := table.pickFirst(name, ticket, tried, bounds.Now()); picked != nil {
				return picked, nil
			}
		case <-ctx.Done():
			table.leave(name, ticket)
			return nil, &ShedError{reason: "the deadline passed while the request waited for a slot", retryAfter: leastRetryAfter}
		}
	}
}

const (
	leastLookAgain = time.Millisecond
	lookAgainPart  = 4
)

// lookAgain is how long the first in the queue waits before it looks again.
func (table *Table) lookAgain(name string) time.Duration {
	table.mu.Lock()
	defer table.mu.Unlock()
	return max(leastLookAgain, table.services[name].latency/lookAgainPart)
}

// pickFirst picks for the ticket if it is the first in the queue.
func (table *Table) pickFirst(name string, ticket chan struct{}, tried []string, now time.Time) *Picked {
	table.mu.Lock()
	defer table.mu.Unlock()
	waiting := table.services[name].queue.waiting
	if len(waiting) == 0 || waiting[0] != ticket {
		return nil
	}
	picked, err := table.pick(name, tried, now)
	if err != nil {
		return nil
	}
	table.services[name].queue.waiting = waiting[1:]
	return picked
}

// Bounds limits one wait.
type Bounds struct {
	// Most is how many requests of the service may wait.
	Most int
	// Deadline is when the request's time ends.
	Deadline time.Time
	// Now returns the present time, After waits.
	Now   func() time.Time
	After func(wait time.Duration) <-chan time.Time
	// Again marks a request that has waited before and goes first.
	Again bool

	queued bool
}

func (table *Table) pickOrQueue(name string, tried []string, bounds Bounds) (chan struct{}, *Picked, error) {
	table.mu.Lock()
	defer table.mu.Unlock()
	now := bounds.Now()
	named, found := table.services[name]
	if found && !bounds.queued && !bounds.Again && len(named.queue.waiting) > 0 {
		// Those who wait go first.
		return table.enqueue(named, bounds, now)
	}
	picked, err := table.pick(name, tried, now)
	if err != ErrFull {
		return nil, picked, err
	}
	return table.enqueue(named, bounds, now)
}

func (table *Table) enqueue(named *service, bounds Bounds, now time.Time) (chan struct{}, *Picked, error) {
	if bounds.queued || bounds.Again {
		// It has waited its turn; what took the slot away was not its fault.
		ticket := make(chan struct{})
		named.queue.waiting = append([]chan struct{}{ticket}, named.queue.waiting...)
		return ticket, nil, nil
	}
	waiting := len(named.queue.waiting)
	expected := named.expectedWait(waiting + 1)
	if waiting >= bounds.Most {
		return nil, nil, &ShedError{
			reason:     fmt.Sprintf("%d requests wait already", waiting),
			retryAfter: max(leastRetryAfter, expected),
		}
	}
	if now.Add(expected + named.latency).After(bounds.Deadline) {
		return nil, nil, &ShedError{
			reason:     fmt.Sprintf("the expected wait of %s leaves no time before the deadline", expected.Round(time.Millisecond)),
			retryAfter: max(leastRetryAfter, expected),
		}
	}
	ticket := make(chan struct{})
	named.queue.waiting = append(named.queue.waiting, ticket)
	return ticket, nil, nil
}

// expectedWait is how long the request at a place in the queue waits, at the
// pace at which slots have come free lately.
func (named *service) expectedWait(place int) time.Duration {
	slots := 0
	for _, target := range named.targets {
		if target.ready {
			slots += target.slots
		}
	}
	if slots == 0 {
		return 0
	}
	return time.Duration(float64(named.latency) * float64(place) / float64(slots))
}

// wakeFree wakes as many of those who wait as there are free slots.
func (named *service) wakeFree(now time.Time) {
	if len(named.queue.waiting) == 0 {
		return
	}
	free := 0
	for _, target := range named.targets {
		if target.ready {
			free += max(0, target.slots-target.used(now))
		}
	}
	for ; free > 0 && len(named.queue.waiting) > 0; free-- {
		close(named.queue.waiting[0])
		named.queue.waiting = named.queue.waiting[1:]
	}
}

func (table *Table) leave(name string, ticket chan struct{}) {
	table.mu.Lock()
	defer table.mu.Unlock()
	named := table.services[name]
	for index, each := range named.queue.waiting {
		if each == ticket {
			named.queue.waiting = append(named.queue.waiting[:index], named.queue.waiting[index+1:]...)
			return
		}
	}
}

// Queued returns how many requests of a service wait.
func (table *Table) Queued(name string) int {
	table.mu.Lock()
	defer table.mu.Unlock()
	if named, found := table.services[name]; found {
		return len(named.queue.waiting)
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
	return named.expectedWait(len(named.queue.waiting) + 1)
}
