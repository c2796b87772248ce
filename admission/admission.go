// Package admission counts what one worker carries and refuses what would be
// too much.
//
// A Gate is the authority on its worker: whatever others believe, nothing runs
// that the gate has not admitted, and the sum of what it has admitted never
// exceeds the worker's slots, connections, processors, memory and accelerators.
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
// Every refusal is a [*Refusal] with a typed reason. It proves that the work
// was not taken.
package admission

import (
	"fmt"
	"sync"
)

// Reason says which bound refused the work.
type Reason string

// The reasons.
const (
	NoSlot        Reason = "no free slot"
	NoConnection  Reason = "no free connection"
	NoProcessor   Reason = "not enough processors"
	NoMemory      Reason = "not enough memory"
	NoAccelerator Reason = "not enough accelerators"
	Leaving       Reason = "leaving"
	Duplicate     Reason = "already admitted"
	Invalid       Reason = "not a size"
)

// Refusal says that work was not admitted.
type Refusal struct {
	reason Reason
	detail string
}

// Reason returns which bound refused the work.
func (refusal *Refusal) Reason() Reason { return refusal.reason }

// Error implements error.
func (refusal *Refusal) Error() string {
	if refusal.detail == "" {
		return string(refusal.reason)
	}
	return string(refusal.reason) + ": " + refusal.detail
}

// Resources is a share of a worker.
type Resources struct {
	MilliCPU     int64
	MemoryBytes  int64
	Accelerators int64
}

// Shortage returns which bound keeps something from fitting into what is free; the empty
// reason if none does.
//
// Performance: owners ask it of every worker for each task that waits, so it tells no
// figures.
func (free Resources) Shortage(asked Resources) Reason {
	switch {
	case asked.MilliCPU < 0 || asked.MemoryBytes < 0 || asked.Accelerators < 0:
		return Invalid
	case asked.MilliCPU > free.MilliCPU:
		return NoProcessor
	case asked.MemoryBytes > free.MemoryBytes:
		return NoMemory
	case asked.Accelerators > free.Accelerators:
		return NoAccelerator
	}
	return ""
}

// check is Lacks with figures, nil if something fits.
func (free Resources) check(asked Resources) *Refusal {
	reason := free.Shortage(asked)
	switch reason {
	case "":
		return nil
	case NoProcessor:
		return &Refusal{reason: reason, detail: fmt.Sprintf("asked for %dm, free %dm", asked.MilliCPU, free.MilliCPU)}
	case NoMemory:
		return &Refusal{reason: reason, detail: fmt.Sprintf("asked for %d bytes, free %d", asked.MemoryBytes, free.MemoryBytes)}
	case NoAccelerator:
		return &Refusal{reason: reason, detail: fmt.Sprintf("asked for %d, free %d", asked.Accelerators, free.Accelerators)}
	}
	return &Refusal{reason: reason}
}

// Add gives resources back.
func (free *Resources) Add(given Resources) {
	free.MilliCPU += given.MilliCPU
	free.MemoryBytes += given.MemoryBytes
	free.Accelerators += given.Accelerators
}

// Subtract takes resources away.
func (free *Resources) Subtract(taken Resources) {
	free.Add(Resources{MilliCPU: -taken.MilliCPU, MemoryBytes: -taken.MemoryBytes, Accelerators: -taken.Accelerators})
}

// Capacity is what a worker has.
type Capacity struct {
	Slots        int
	Connections  int
	MilliCPU     int64
	MemoryBytes  int64
	Accelerators int64
}

// Gate counts what one worker carries. It may be used by many goroutines.
type Gate struct {
	mu              sync.Mutex
	capacity        Capacity
	usedSlots       int
	openConnections int
	used            Resources
	tasks           map[string]Resources
	leaving         bool
	idle            chan struct{}
}

// NewGate returns a gate that carries nothing.
func NewGate(capacity Capacity) *Gate {
	return &Gate{capacity: capacity, tasks: map[string]Resources{}}
}

// SetCapacity changes the bounds. What was admitted before stays.
func (gate *Gate) SetCapacity(capacity Capacity) {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	gate.capacity = capacity
}

// Capacity returns the bounds.
func (gate *Gate) Capacity() Capacity {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	return gate.capacity
}

// Leave refuses all new work from now on.
func (gate *Gate) Leave() {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	gate.leaving = true
}

// Leaving reports whether Leave was called.
func (gate *Gate) Leaving() bool {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	return gate.leaving
}

// AdmitRequest takes a slot for a request. The caller releases it once.
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

func (gate *Gate) releaseSlot() {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	gate.usedSlots--
	gate.signalIdle()
}

// AdmitConnection takes a connection. The caller releases it once. A leaving
// gate still admits connections, so that work in flight can end.
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

// AdmitTask takes a share of the worker for a task until ReleaseTask.
func (gate *Gate) AdmitTask(id string, asked Resources) error {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	if gate.leaving {
		return &Refusal{reason: Leaving}
	}
	return gate.admit(id, asked)
}

// AdoptTask counts a task that the worker already runs, even beyond the bounds
// and while leaving: it is there, and counting it keeps others out.
func (gate *Gate) AdoptTask(id string, held Resources) {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	if _, counted := gate.tasks[id]; counted {
		return
	}
	gate.addTask(id, held)
}

func (gate *Gate) admit(id string, asked Resources) error {
	if _, counted := gate.tasks[id]; counted {
		return &Refusal{reason: Duplicate, detail: id}
	}
	free := Resources{MilliCPU: gate.capacity.MilliCPU, MemoryBytes: gate.capacity.MemoryBytes, Accelerators: gate.capacity.Accelerators}
	free.Subtract(gate.used)
	if refusal := free.check(asked); refusal != nil {
		return refusal
	}
	gate.addTask(id, asked)
	return nil
}

func (gate *Gate) addTask(id string, held Resources) {
	gate.tasks[id] = held
	gate.used.Add(held)
}

// ReleaseTask gives a task's share back. A second call does nothing.
func (gate *Gate) ReleaseTask(id string) {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	held, counted := gate.tasks[id]
	if !counted {
		return
	}
	delete(gate.tasks, id)
	gate.used.Subtract(held)
}

// Usage is what a gate carries at one moment.
type Usage struct {
	Slots       int
	Connections int
	Tasks       int
	Resources   Resources
}

// Usage returns what the gate carries.
func (gate *Gate) Usage() Usage {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	return Usage{Slots: gate.usedSlots, Connections: gate.openConnections, Tasks: len(gate.tasks), Resources: gate.used}
}

// Idle returns a channel that is closed when nobody holds a slot or connection.
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

func (gate *Gate) signalIdle() {
	if gate.usedSlots == 0 && gate.openConnections == 0 && gate.idle != nil {
		close(gate.idle)
		gate.idle = nil
	}
}
