package admission

// mebibyte is the unit of memory amounts in messages.
const mebibyte = 1 << 20

// demand is implemented by the messages that describe what a task requests: the task's
// specification and the demand that an order contains.
type demand interface {
	GetMilliCpu() int64
	GetMemoryMb() int64
	GetAccelerators() int64
	GetFills() bool
}

// ReservedBy returns the resources that are reserved for a task on its worker while it
// runs. A fill task reserves no processors: it runs on processor time that other tasks
// leave unused.
func ReservedBy(requested demand) Resources {
	reserved := NewResources(requested.GetMilliCpu(), requested.GetMemoryMb(), requested.GetAccelerators())
	if requested.GetFills() {
		reserved.MilliCPU = 0
	}
	return reserved
}

// NewResources returns resources with the memory given in mebibytes, as in messages.
func NewResources(milliCPU, memoryMB, accelerators int64) Resources {
	return Resources{MilliCPU: milliCPU, MemoryBytes: memoryMB * mebibyte, Accelerators: accelerators}
}

// MemoryMB returns the memory in mebibytes, rounded towards zero.
func (available Resources) MemoryMB() int64 { return available.MemoryBytes / mebibyte }
