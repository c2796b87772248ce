package share

import "time"

// shortageWindow is the time within which tasks of two queues must have lacked resources for a shortage to begin, and
// how long a shortage lasts after the last such task. Tasks of the two queues may lack resources in different placement
// passes.
const shortageWindow = time.Second

// contentionGroup identifies the queues that compete: those of one service with the same priority.
type contentionGroup struct {
	service  string
	priority int32
}

// shortageSet records which queues compete for too few workers.
type shortageSet struct {
	// unplacedAt is when a task of a queue last was without a worker for lack of resources.
	unplacedAt map[Key]time.Time
	// until is when the shortage of a group ends.
	until map[contentionGroup]time.Time
}

// note records that a task of a queue is without a worker for lack of resources. If another queue of the group has had
// the same within shortageWindow, a shortage begins. It goes on while any queue lacks resources: the others find some
// only because they take turns.
func (shortages *shortageSet) note(key Key, now time.Time) {
	shortages.unplacedAt[key] = now
	if until, contended := shortages.until[key.contentionGroup()]; contended && now.Before(until) {
		shortages.until[key.contentionGroup()] = now.Add(shortageWindow)
		return
	}
	for other, unplacedAt := range shortages.unplacedAt {
		if other != key && other.contentionGroup() == key.contentionGroup() && now.Sub(unplacedAt) < shortageWindow {
			shortages.until[key.contentionGroup()] = now.Add(shortageWindow)
		}
	}
}

// lacks reports whether a task of a queue has been without a worker for lack of resources within shortageWindow.
func (shortages *shortageSet) lacks(key Key, now time.Time) bool {
	unplacedAt, found := shortages.unplacedAt[key]
	return found && now.Sub(unplacedAt) < shortageWindow
}

// begin records that the queues of a group compete for too few workers.
func (shortages *shortageSet) begin(group contentionGroup, now time.Time) {
	shortages.until[group] = now.Add(shortageWindow)
}

// expire removes what is over. It reports whether any queue lacks resources.
func (shortages *shortageSet) expire(now time.Time) bool {
	for key, unplacedAt := range shortages.unplacedAt {
		if now.Sub(unplacedAt) >= shortageWindow {
			delete(shortages.unplacedAt, key)
		}
	}
	for group, until := range shortages.until {
		if !now.Before(until) {
			delete(shortages.until, group)
		}
	}
	return len(shortages.until)+len(shortages.unplacedAt) > 0
}

// priority returns the most urgent priority whose queues compete for too few workers of a service.
func (shortages *shortageSet) priority(service string, now time.Time) (priority int32, contended bool) {
	for group, until := range shortages.until {
		if group.service != service || !now.Before(until) {
			continue
		}
		if !contended || group.priority < priority {
			priority, contended = group.priority, true
		}
	}
	return priority, contended
}
