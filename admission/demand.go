package admission

// mebibyte is the unit of memory in messages.
const mebibyte = 1 << 20

// demand is what a task asks for, as its job or a message tells it.
type demand interface {
	GetMilliCpu() int64
	GetMemoryMb() int64
	GetAccelerators() int64
	GetFills() bool
}

// ReservedBy returns what a task holds of a worker while it runs. One that fills takes what
// others leave of the processors and holds none.
func ReservedBy(asked demand) Resources {
	held := NewResources(asked.GetMilliCpu(), asked.GetMemoryMb(), asked.GetAccelerators())
	if asked.GetFills() {
		held.MilliCPU = 0
	}
	return held
}

// NewResources returns resources whose memory is told in mebibytes.
func NewResources(milliCPU, memoryMB, accelerators int64) Resources {
	return Resources{MilliCPU: milliCPU, MemoryBytes: memoryMB * mebibyte, Accelerators: accelerators}
}

// MemoryMB returns the memory in mebibytes, as messages tell it.
func (free Resources) MemoryMB() int64 { return free.MemoryBytes / mebibyte }
