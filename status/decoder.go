package status

import "ambertiller.example/ambertiller/wire"

// Decoder holds the status of one worker as received on successive streams.
type Decoder struct {
	status     *wire.WorkerStatus
	tolerances map[string]int64 // by image
}

// NewDecoder returns a decoder that has received nothing and holds an empty status.
func NewDecoder() *Decoder {
	return &Decoder{status: &wire.WorkerStatus{}, tolerances: map[string]int64{}}
}

// Status returns the worker's status. The next call of Apply may modify it.
func (decoder *Decoder) Status() *wire.WorkerStatus { return decoder.status }

// Tolerance returns how many more processors, in thousandths, tasks of a fill image may use before the
// worker's serving tasks miss their targets. A negative value says how much those would suffer, and is only
// meant to be compared with others. All images that the status does not list have the same tolerance.
func (decoder *Decoder) Tolerance(image string) int64 {
	if tolerance, found := decoder.tolerances[image]; found {
		return tolerance
	}
	return decoder.status.GetToleratedMilliCpu()
}

// Apply updates the status from a message, which carries a full status, a change or neither. It reports
// whether the worker may now accept tasks that it had no resources for before.
func (decoder *Decoder) Apply(message *wire.AgentMessage) (hasMoreFree bool) {
	if full := message.GetStatus(); full != nil {
		return decoder.applyFull(full)
	}
	if change := message.GetChange(); change != nil {
		return decoder.applyChange(change)
	}
	return false
}

func (decoder *Decoder) applyFull(full *wire.WorkerStatus) bool {
	before := decoder.status
	decoder.status = full
	decoder.tolerances = make(map[string]int64, len(full.GetTolerances()))
	for _, tolerance := range full.GetTolerances() {
		decoder.tolerances[tolerance.GetImage()] = tolerance.GetMilliCpu()
	}
	return full.GetFreeMilliCpu() > before.GetFreeMilliCpu() || full.GetFreeMemoryMb() > before.GetFreeMemoryMb() ||
		full.GetReady() && !before.GetReady() || full.Incarnation() != before.Incarnation()
}

func (decoder *Decoder) applyChange(change *wire.StatusChange) bool {
	status := decoder.status
	hasMoreFree := change.GetFreeMilliCpu() > status.GetFreeMilliCpu() || change.GetFreeMemoryMb() > status.GetFreeMemoryMb()
	status.FreeMilliCpu, status.FreeMemoryMb, status.FreeAccelerators = change.GetFreeMilliCpu(), change.GetFreeMemoryMb(), change.GetFreeAccelerators()
	status.FillMilliCpu, status.ServingMilliCpu = change.GetFillMilliCpu(), change.GetServingMilliCpu()
	status.ToleratedMilliCpu = change.GetToleratedMilliCpu()
	decoder.applyToleranceChanges(change)
	if change.GetServing() {
		status.ServingImages = change.GetServingImages()
	}
	if change.GetReclaimed() {
		status.Reclaimable = change.GetReclaimable()
	}
	return hasMoreFree
}

// applyToleranceChanges updates the tolerances that have changed. Entries with a number that the stream has
// not introduced, or without a value, are ignored: in a valid message both lists have the same length.
func (decoder *Decoder) applyToleranceChanges(change *wire.StatusChange) {
	tolerances := decoder.status.GetTolerances()
	values := change.GetToleranceMilliCpu()
	for index, number := range change.GetTolerance() {
		if index >= len(values) || number < 0 || int(number) >= len(tolerances) {
			continue
		}
		tolerances[number].MilliCpu = values[index]
		decoder.tolerances[tolerances[number].GetImage()] = values[index]
	}
	for _, added := range change.GetAdded() {
		decoder.status.Tolerances = append(decoder.status.Tolerances, added)
		decoder.tolerances[added.GetImage()] = added.GetMilliCpu()
	}
}
