package status

import (
	"math"
	"slices"

	"google.golang.org/protobuf/proto"

	"ambertiller.example/ambertiller/wire"
)

const (
	// A tolerance is sent again if it differs from the value sent before by more than relativeToleranceStep
	// of that value, and by more than minToleranceStep of the worker's processors. Tolerances change with each
	// reading of a tail latency, 2.5 times a second. Placement depends on the small tolerances, so the step is
	// relative to the value.
	relativeToleranceStep = 0.1
	minToleranceStep      = 1.0 / 640
)

// Encoder holds the status of a worker as last sent on one stream. The zero value has sent nothing.
type Encoder struct {
	sent *wire.WorkerStatus // as the receiver has it; nil before the first message
}

// Encode adds to a message what the receiver doesn't know of the worker's status. It adds the full status to
// the first message of a stream and whenever a field has changed that wire.StatusChange lacks, a change
// otherwise, and nothing if nothing has changed.
func (encoder *Encoder) Encode(message *wire.AgentMessage, current *wire.WorkerStatus) {
	if encoder.sent == nil || !canSendChange(encoder.sent, current) {
		message.Status = current
		encoder.sent = proto.CloneOf(current)
		return
	}
	message.Change = encoder.encodeChange(current)
}

// canSendChange reports whether two statuses of a worker differ only in fields that wire.StatusChange has.
func canSendChange(before, current *wire.WorkerStatus) bool {
	return before.Incarnation() == current.Incarnation() && before.GetService() == current.GetService() &&
		before.GetFailureDomain() == current.GetFailureDomain() && before.GetMachine() == current.GetMachine() &&
		slices.Equal(before.GetLabels(), current.GetLabels()) &&
		before.GetMilliCpu() == current.GetMilliCpu() && before.GetMemoryMb() == current.GetMemoryMb() &&
		before.GetAccelerators() == current.GetAccelerators() &&
		before.GetDraining() == current.GetDraining() && before.GetRemainingMs() == current.GetRemainingMs() &&
		before.GetReady() == current.GetReady() && before.GetAccounted() == current.GetAccounted()
}

// encodeChange returns what has changed since the last message and updates the sent status accordingly. It
// returns nil if nothing has changed.
func (encoder *Encoder) encodeChange(current *wire.WorkerStatus) *wire.StatusChange {
	before := encoder.sent
	change := &wire.StatusChange{
		FreeMilliCpu: current.GetFreeMilliCpu(), FreeMemoryMb: current.GetFreeMemoryMb(), FreeAccelerators: current.GetFreeAccelerators(),
		FillMilliCpu: current.GetFillMilliCpu(), ServingMilliCpu: current.GetServingMilliCpu(), ToleratedMilliCpu: before.GetToleratedMilliCpu(),
	}
	if toleranceChanged(before.GetToleratedMilliCpu(), current.GetToleratedMilliCpu(), current.GetMilliCpu()) {
		change.ToleratedMilliCpu = current.GetToleratedMilliCpu()
	}
	resourcesEqual := sameResources(before, change)
	encoder.encodeToleranceChanges(change, current)
	if !slices.Equal(before.GetServingImages(), current.GetServingImages()) {
		change.Serving, change.ServingImages = true, current.GetServingImages()
		before.ServingImages = current.GetServingImages()
	}
	if !slices.EqualFunc(before.GetReclaimable(), current.GetReclaimable(), func(a, b *wire.Reclaimable) bool { return proto.Equal(a, b) }) {
		change.Reclaimed, change.Reclaimable = true, current.GetReclaimable()
		before.Reclaimable = current.GetReclaimable()
	}
	if resourcesEqual && len(change.GetTolerance())+len(change.GetAdded()) == 0 && !change.GetServing() && !change.GetReclaimed() {
		return nil
	}
	before.FreeMilliCpu, before.FreeMemoryMb, before.FreeAccelerators = change.GetFreeMilliCpu(), change.GetFreeMemoryMb(), change.GetFreeAccelerators()
	before.FillMilliCpu, before.ServingMilliCpu = change.GetFillMilliCpu(), change.GetServingMilliCpu()
	before.ToleratedMilliCpu = change.GetToleratedMilliCpu()
	return change
}

// sameResources reports whether the amounts in a change are equal to those sent before.
func sameResources(before *wire.WorkerStatus, change *wire.StatusChange) bool {
	return before.GetFreeMilliCpu() == change.GetFreeMilliCpu() && before.GetFreeMemoryMb() == change.GetFreeMemoryMb() &&
		before.GetFreeAccelerators() == change.GetFreeAccelerators() && before.GetFillMilliCpu() == change.GetFillMilliCpu() &&
		before.GetServingMilliCpu() == change.GetServingMilliCpu() && before.GetToleratedMilliCpu() == change.GetToleratedMilliCpu()
}

// encodeToleranceChanges adds the tolerances that have changed to the change, identified by their position in
// the receiver's list, and those of images that the receiver doesn't know yet.
func (encoder *Encoder) encodeToleranceChanges(change *wire.StatusChange, current *wire.WorkerStatus) {
	numbers := make(map[string]int, len(encoder.sent.GetTolerances()))
	for number, tolerance := range encoder.sent.GetTolerances() {
		numbers[tolerance.GetImage()] = number
	}
	for _, tolerance := range current.GetTolerances() {
		number, found := numbers[tolerance.GetImage()]
		if !found {
			change.Added = append(change.Added, tolerance)
			encoder.sent.Tolerances = append(encoder.sent.Tolerances, proto.CloneOf(tolerance))
			continue
		}
		before := encoder.sent.GetTolerances()[number]
		if toleranceChanged(before.GetMilliCpu(), tolerance.GetMilliCpu(), current.GetMilliCpu()) {
			change.Tolerance = append(change.Tolerance, int32(number))
			change.ToleranceMilliCpu = append(change.ToleranceMilliCpu, tolerance.GetMilliCpu())
			before.MilliCpu = tolerance.GetMilliCpu()
		}
	}
}

// toleranceChanged reports whether a tolerance differs enough from the value sent before to be sent again. A
// change of sign always does. Two values that are both at least workerMilliCPU, all the processors of the
// worker, are equivalent.
func toleranceChanged(before, current, workerMilliCPU int64) bool {
	if before >= workerMilliCPU && current >= workerMilliCPU {
		return false
	}
	if (before < 0) != (current < 0) {
		return true
	}
	step := max(relativeToleranceStep*math.Abs(float64(before)), minToleranceStep*float64(workerMilliCPU))
	return math.Abs(float64(current-before)) > step
}
