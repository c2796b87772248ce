package route

import (
	"context"
	"fmt"
	"time"
)

// ShedError reports that a request was shed: it was rejected without being sent to
// a backend server.
type ShedError struct {
	reason     string
	retryAfter time.Duration
}

// Error implements error.
func (e *ShedError) Error() string { return e.reason }

// RetryAfter returns how long the caller should wait before it tries again.
func (e *ShedError) RetryAfter() time.Duration { return e.retryAfter }

// minRetryAfter prevents callers from retrying immediately.
const minRetryAfter = 100 * time.Millisecond

// queue holds the requests of one service that wait for a free slot, the next to be
// woken first. A waiter is woken by closing its channel.
type queue struct {
	waiters []chan struct{}
}

// PickOrWait picks a server like Pick, but waits if all servers are full. It
// returns a ShedError at once if the queue is full or if the expected wait would
// leave too little time before the deadline, and later if ctx ends during the wait.
func (t *Table) PickOrWait(ctx context.Context, name string, tried []string, options WaitOptions) (*PickResult, error) {
	for {
		waiter, result, err := t.pickOrEnqueue(name, tried, options)
		if waiter == nil {
			return result, err
		}
		result, err = t.awaitTurn(ctx, name, waiter, tried, options)
		if result != nil || err != nil {
			return result, err
		}
		options.woken = true
	}
}

// awaitTurn waits until the waiter is woken, and then returns neither a result nor
// an error. The first waiter in the queue also tries to pick a server at regular
// intervals, because an entry is not notified of slots that requests of other
// entries free.
func (t *Table) awaitTurn(ctx context.Context, name string, waiter chan struct{}, tried []string, options WaitOptions) (*PickResult, error) {
	for {
		select {
		case <-waiter:
			return nil, nil
		case <-options.After(t.recheckInterval(name)):
			if result := t.pickIfFirst(name, waiter, tried, options.Now()); result != nil {
				return result, nil
			}
		case <-ctx.Done():
			t.removeWaiter(name, waiter)
			return nil, &ShedError{reason: "the deadline passed while the request waited for a slot", retryAfter: minRetryAfter}
		}
	}
}

const (
	minRecheckInterval = time.Millisecond
	// rechecksPerLatency is the number of rechecks within the average latency of
	// the service.
	rechecksPerLatency = 4
)

// recheckInterval returns the interval at which the first waiter of a service tries
// to pick a server.
func (t *Table) recheckInterval(name string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(minRecheckInterval, t.services[name].latency/rechecksPerLatency)
}

// pickIfFirst picks a server if the waiter is the first in the queue. It returns nil
// if it is not, or if no server can take the request.
func (t *Table) pickIfFirst(name string, waiter chan struct{}, tried []string, now time.Time) *PickResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	waiters := t.services[name].queue.waiters
	if len(waiters) == 0 || waiters[0] != waiter {
		return nil
	}
	result, err := t.pick(name, tried, now)
	if err != nil {
		return nil
	}
	t.services[name].queue.waiters = waiters[1:]
	return result
}

// WaitOptions configures one call of PickOrWait.
type WaitOptions struct {
	// MaxQueued is the maximum number of requests of the service that may wait.
	MaxQueued int
	// Deadline is the time by which the request must be answered.
	Deadline time.Time
	// Now returns the current time.
	Now func() time.Time
	// After returns a channel that receives after the given duration, like
	// time.After.
	After func(wait time.Duration) <-chan time.Time
	// Requeued marks a request for which a server was picked that then refused it
	// because it was full. The request goes to the front of the queue, and neither
	// MaxQueued nor the deadline check applies to it.
	Requeued bool

	// woken is set once the request has been woken from the queue.
	woken bool
}

// pickOrEnqueue picks a server or, if all are full, returns a new waiter in the
// queue of the service.
func (t *Table) pickOrEnqueue(name string, tried []string, options WaitOptions) (chan struct{}, *PickResult, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := options.Now()
	svc, found := t.services[name]
	if found && !options.woken && !options.Requeued && len(svc.queue.waiters) > 0 {
		// Requests that already wait have precedence.
		return t.enqueue(svc, options, now)
	}
	result, err := t.pick(name, tried, now)
	if err != ErrFull {
		return nil, result, err
	}
	return t.enqueue(svc, options, now)
}

// enqueue adds a waiter to the queue of the service, or returns a ShedError.
func (t *Table) enqueue(svc *service, options WaitOptions, now time.Time) (chan struct{}, *PickResult, error) {
	if options.woken || options.Requeued {
		// Another request took the slot that this one was woken or picked for, so
		// this one keeps its turn and goes to the front.
		waiter := make(chan struct{})
		svc.queue.waiters = append([]chan struct{}{waiter}, svc.queue.waiters...)
		return waiter, nil, nil
	}
	queued := len(svc.queue.waiters)
	expected := svc.expectedWait(queued + 1)
	if queued >= options.MaxQueued {
		return nil, nil, &ShedError{
			reason:     fmt.Sprintf("%d requests wait already", queued),
			retryAfter: max(minRetryAfter, expected),
		}
	}
	if now.Add(expected + svc.latency).After(options.Deadline) {
		return nil, nil, &ShedError{
			reason:     fmt.Sprintf("the expected wait of %s leaves no time before the deadline", expected.Round(time.Millisecond)),
			retryAfter: max(minRetryAfter, expected),
		}
	}
	waiter := make(chan struct{})
	svc.queue.waiters = append(svc.queue.waiters, waiter)
	return waiter, nil, nil
}

// expectedWait returns how long the request at a position in the queue, counted
// from 1, is expected to wait, given the average latency of recent requests and
// the number of slots.
func (svc *service) expectedWait(position int) time.Duration {
	slots := 0
	for _, srv := range svc.servers {
		if srv.ready {
			slots += srv.slots
		}
	}
	if slots == 0 {
		return 0
	}
	return time.Duration(float64(svc.latency) * float64(position) / float64(slots))
}

// wakeWaiters wakes as many waiters as there are free slots.
func (svc *service) wakeWaiters(now time.Time) {
	if len(svc.queue.waiters) == 0 {
		return
	}
	free := 0
	for _, srv := range svc.servers {
		if srv.ready {
			free += max(0, srv.slots-srv.usedSlots(now))
		}
	}
	for ; free > 0 && len(svc.queue.waiters) > 0; free-- {
		close(svc.queue.waiters[0])
		svc.queue.waiters = svc.queue.waiters[1:]
	}
}

// removeWaiter removes a waiter that gave up from the queue of the service.
func (t *Table) removeWaiter(name string, waiter chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	svc := t.services[name]
	for index, other := range svc.queue.waiters {
		if other == waiter {
			svc.queue.waiters = append(svc.queue.waiters[:index], svc.queue.waiters[index+1:]...)
			return
		}
	}
}

// QueueLength returns the number of requests of a service that wait for a slot.
func (t *Table) QueueLength(name string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if svc, found := t.services[name]; found {
		return len(svc.queue.waiters)
	}
	return 0
}

// ExpectedWait returns how long a request that was queued now would be expected to
// wait.
func (t *Table) ExpectedWait(name string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	svc, found := t.services[name]
	if !found {
		return 0
	}
	return svc.expectedWait(len(svc.queue.waiters) + 1)
}
