package share

import "time"

// shortageWindow is the time within which tasks of two queues must have been left without a worker for the workers to
// count as too few, and for how long they do so after a task of any queue was. The queues may be left without one
// in different passes.
const shortageWindow = time.Second

// competition identifies the queues that compete: those of one service with the same priority.
type competition struct {
	service  string
	priority int32
}

// shortages records which queues compete for too few workers.
type shortages struct {
	// unplacedAt is when a task of a queue last was without a worker for lack of resources.
	unplacedAt map[Key]time.Time
	until      map[competition]time.Time
}

// note records that a task of a queue is without a worker for lack of resources. If another queue of the
// competition has had the same within shortageWindow, a shortage begins. It goes on while any queue lacks resources:
// the others find some only because they take turns.
func (short *shortages) note(key Key, now time.Time) {
	short.unplacedAt[key] = now
	if until, isShort := short.until[key.competition()]; isShort && now.Before(until) {
		short.until[key.competition()] = now.Add(shortageWindow)
		return
	}
	for other, unplacedAt := range short.unplacedAt {
		if other != key && other.competition() == key.competition() && now.Sub(unplacedAt) < shortageWindow {
			short.until[key.competition()] = now.Add(shortageWindow)
		}
	}
}

// lacks reports whether a task of a queue has been without a worker for lack of resources within shortageWindow.
func (short *shortages) lacks(key Key, now time.Time) bool {
	unplacedAt, found := short.unplacedAt[key]
	return found && now.Sub(unplacedAt) < shortageWindow
}

// begin records that the queues of a competition compete for too few workers.
func (short *shortages) begin(competing competition, now time.Time) {
	short.until[competing] = now.Add(shortageWindow)
}

// expire forgets what is over. It reports whether any queue lacks resources.
func (short *shortages) expire(now time.Time) bool {
	for key, unplacedAt := range short.unplacedAt {
		if now.Sub(unplacedAt) >= shortageWindow {
			delete(short.unplacedAt, key)
		}
	}
	for competing, until := range short.until {
		if !now.Before(until) {
			delete(short.until, competing)
		}
	}
	return len(short.until)+len(short.unplacedAt) > 0
}

// priority returns the most urgent priority of which queues of a service compete.
func (short *shortages) priority(service string, now time.Time) (priority int32, isShort bool) {
	for competing, until := range short.until {
		if competing.service != service || !now.Before(until) {
			continue
		}
		if !isShort || competing.priority < priority {
			priority, isShort = competing.priority, true
		}
	}
	return priority, isShort
}
