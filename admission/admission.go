// Package admission implements admission control for one worker.
//
// A [Gate] tracks the worker's slots, connections, processors, memory and
// accelerators in use, and refuses work that would exceed its capacity. The
// gate is authoritative: other processes may have an outdated view of the
// worker, but nothing runs there unless the gate has admitted it.
//
// [Resources], [NewResources] and [ReservedBy] do the same arithmetic for
// processes that only plan placements and have no gate.
//
// # Usage
//
//	gate := admission.NewGate(admission.Capacity{Slots: 8, Connections: 64, MilliCPU: 32000})
//	release, err := gate.AdmitRequest()
//	if err != nil { ... }
//	defer release()
//
// # Errors
//
// Work that is not admitted is refused with a [*Refusal], which carries a
// [Reason]. A refusal guarantees that the call reserved nothing.
package admission

import (
	"fmt"
	"sync"
)

// Reason identifies the limit or condition that caused a refusal.
type Reason string

// Reasons for a refusal. Their texts appear in logs and are sent to callers.
const (
	NoSlot        Reason = "no free slot"
	NoConnection  Reason = "no free connection"
	NoProcessor   Reason = "not enough processors"
	NoMemory      Reason = "not enough memory"
	NoAccelerator Reason = "not enough accelerators"
	// Leaving means that the worker shuts down and admits no new work.
	Leaving Reason = "leaving"
	// Duplicate means that the gate already counts a task with the same ID.
	Duplicate Reason = "already admitted"
	// Invalid means that a requested amount is negative.
	Invalid Reason = "not a size"
)

// Refusal is the error returned for work that was not admitted.
type Refusal struct {
	reason Reason
	detail string
}

// Reason returns the limit or condition that caused the refusal.
func (refusal *Refusal) Reason() Reason { return refusal.reason }

// Error implements the error interface.
func (refusal *Refusal) Error() string {
	if refusal.detail == "" {
		return string(refusal.reason)
	}
	return string(refusal.reason) + ": " + refusal.detail
}

// Resources is an amount of a worker's processors, memory and accelerators:
// what a task requests, what is in use, or what is free.
type Resources struct {
	MilliCPU     int64
	MemoryBytes  int64
	Accelerators int64
}

// Shortage returns the first resource of which less is available than requested, or
// the empty reason if the request fits. A negative request yields Invalid.
//
// Performance: it returns no amounts, because owners call it for each combination of
// worker and pending task and formatting them would be too expensive.
func (available Resources) Shortage(requested Resources) Reason {
	switch {
	case requested.MilliCPU < 0 || requested.MemoryBytes < 0 || requested.Accelerators < 0:
		return Invalid
	case requested.MilliCPU > available.MilliCPU:
		return NoProcessor
	case requested.MemoryBytes > available.MemoryBytes:
		return NoMemory
	case requested.Accelerators > available.Accelerators:
		return NoAccelerator
	}
	return ""
}

// check is like Shortage, but returns a refusal that includes the amounts, or nil if
// the request fits.
func (available Resources) check(requested Resources) *Refusal {
	reason := available.Shortage(requested)
	switch reason {
	case "":
		return nil
	case NoProcessor:
		return &Refusal{reason: reason, detail: fmt.Sprintf("asked for %dm, free %dm", requested.MilliCPU, available.MilliCPU)}
	case NoMemory:
		return &Refusal{reason: reason, detail: fmt.Sprintf("asked for %d bytes, free %d", requested.MemoryBytes, available.MemoryBytes)}
	case NoAccelerator:
		return &Refusal{reason: reason, detail: fmt.Sprintf("asked for %d, free %d", requested.Accelerators, available.Accelerators)}
	}
	return &Refusal{reason: reason}
}

// Add adds other to the resources.
func (available *Resources) Add(other Resources) {
	available.MilliCPU += other.MilliCPU
	available.MemoryBytes += other.MemoryBytes
	available.Accelerators += other.Accelerators
}

// Subtract subtracts other from the resources. The result may be negative.
func (available *Resources) Subtract(other Resources) {
	available.Add(Resources{MilliCPU: -other.MilliCPU, MemoryBytes: -other.MemoryBytes, Accelerators: -other.Accelerators})
}

// Capacity is the total that a worker offers.
type Capacity struct {
	Slots        int // requests that may be in progress at the same time
	Connections  int
	MilliCPU     int64
	MemoryBytes  int64
	Accelerators int64
}

// Gate admits work to one worker up to the worker's capacity. It is safe for
// concurrent use.
type Gate struct {
	mu              sync.Mutex
	capacity        Capacity
	usedSlots       int
	openConnections int
	used            Resources            // sum over tasks
	tasks           map[string]Resources // admitted tasks by ID
	leaving         bool
	// idle is closed once no slot or connection is in use. It is nil while nobody waits.
	idle chan struct{}
}

// NewGate returns a gate with no work admitted.
func NewGate(capacity Capacity) *Gate {
	return &Gate{capacity: capacity, tasks: map[string]Resources{}}
}

// SetCapacity replaces the capacity. Work that is already admitted stays, even if it
// exceeds the new capacity.
func (gate *Gate) SetCapacity(capacity Capacity) {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	gate.capacity = capacity
}

// Capacity returns the current capacity.
func (gate *Gate) Capacity() Capacity {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	return gate.capacity
}

// Leave makes the gate refuse all new requests and tasks. It can't be undone.
func (gate *Gate) Leave() {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	gate.leaving = true
}

// Leaving reports whether Leave has been called.
func (gate *Gate) Leaving() bool {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	return gate.leaving
}

// AdmitRequest reserves a slot for a request. The caller must call release when the
// request has ended; further calls have no effect.
func (gate *Gate) AdmitRequest() (release func(), err error) {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	if gate.leaving {
		return nil, &Refusal{reason: Leaving}
	}
	if gate.usedSlots >= gate.capacity.Slots {
		return nil, &Refusal{reason: NoSlot, detail: fmt.Sprintf("all %d are taken", gate.capacity.Slots)}
	}
	gate.usedSlots++
	return sync.OnceFunc(func() { gate.releaseSlot() }), nil
}

// releaseSlot frees the slot of a request that has ended.
func (gate *Gate) releaseSlot() {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	gate.usedSlots--
	gate.signalIdle()
}

// AdmitConnection reserves a connection. The caller must call release when the
// connection is closed; further calls have no effect. A leaving gate
// still admits connections, because work in flight may need them to finish.
func (gate *Gate) AdmitConnection() (release func(), err error) {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	if gate.openConnections >= gate.capacity.Connections {
		return nil, &Refusal{reason: NoConnection, detail: fmt.Sprintf("all %d are taken", gate.capacity.Connections)}
	}
	gate.openConnections++
	return sync.OnceFunc(func() {
		gate.mu.Lock()
		defer gate.mu.Unlock()
		gate.openConnections--
		gate.signalIdle()
	}), nil
}

// AdmitTask reserves resources for a task until ReleaseTask is called with its ID.
func (gate *Gate) AdmitTask(id string, requested Resources) error {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	if gate.leaving {
		return &Refusal{reason: Leaving}
	}
	return gate.admit(id, requested)
}

// AdoptTask counts a task that the worker already runs. It succeeds even if the
// capacity is exceeded or the gate is leaving: the task uses its resources in any
// case, and counting them prevents further tasks from being admitted on top.
// A task that is already counted stays as it is.
func (gate *Gate) AdoptTask(id string, reserved Resources) {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	if _, found := gate.tasks[id]; found {
		return
	}
	gate.addTask(id, reserved)
}

// admit reserves resources for a task if they are free. The caller holds gate.mu.
func (gate *Gate) admit(id string, requested Resources) error {
	if _, found := gate.tasks[id]; found {
		return &Refusal{reason: Duplicate, detail: id}
	}
	free := Resources{MilliCPU: gate.capacity.MilliCPU, MemoryBytes: gate.capacity.MemoryBytes, Accelerators: gate.capacity.Accelerators}
	free.Subtract(gate.used)
	if refusal := free.check(requested); refusal != nil {
		return refusal
	}
	gate.addTask(id, requested)
	return nil
}

// addTask counts the resources of a task as used. The caller holds gate.mu.
func (gate *Gate) addTask(id string, reserved Resources) {
	gate.tasks[id] = reserved
	gate.used.Add(reserved)
}

// ReleaseTask frees the resources of a task. It does nothing if the gate doesn't count
// the task, so it may be called more than once.
func (gate *Gate) ReleaseTask(id string) {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	reserved, found := gate.tasks[id]
	if !found {
		return
	}
	delete(gate.tasks, id)
	gate.used.Subtract(reserved)
}

// Usage is a snapshot of what is in use on a worker.
type Usage struct {
	Slots       int
	Connections int
	Tasks       int
	Resources   Resources // sum over the tasks
}

// Usage returns what is in use now.
func (gate *Gate) Usage() Usage {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	return Usage{Slots: gate.usedSlots, Connections: gate.openConnections, Tasks: len(gate.tasks), Resources: gate.used}
}

// Idle returns a channel that is closed once no slot and no connection is in use.
// Tasks don't count.
func (gate *Gate) Idle() <-chan struct{} {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	if gate.idle == nil {
		gate.idle = make(chan struct{})
	}
	idle := gate.idle
	gate.signalIdle()
	return idle
}

// signalIdle closes the channel returned by Idle if the gate is idle. The caller holds
// gate.mu.
func (gate *Gate) signalIdle() {
	if gate.usedSlots == 0 && gate.openConnections == 0 && gate.idle != nil {
		close(gate.idle)
		gate.idle = nil
	}
}
