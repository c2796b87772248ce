package status

import (
	"math"
	"slices"

	"google.golang.org/protobuf/proto"

	"ambertiller.example/ambertiller/wire"
)

const (
	// relativeToleranceStep is the share of itself by which a tolerance has to differ from what was
	// told to be told anew, and minToleranceStep the share of the worker's processors
	// below which that does not sink. Tolerances move with each reading of a tail, 2.5
	// times a second, and small ones decide.
	relativeToleranceStep = 0.1
	minToleranceStep      = 1.0 / 640
)

// Encoder is what has been told of a worker on one stream. The zero value has told nothing.
type Encoder struct {
	sent *wire.WorkerStatus // as the other side has it; nil before the first message
}

// Encode puts into a message what has not been told of the worker: everything on a stream
// that is new or where something has changed that a change can't tell, nothing where
// nothing has changed.
func (told *Encoder) Encode(message *wire.AgentMessage, now *wire.WorkerStatus) {
	if told.sent == nil || !canSendChange(told.sent, now) {
		message.Status = now
		told.sent = proto.CloneOf(now)
		return
	}
	message.Change = told.encodeChange(now)
}

// canSendChange reports whether two states of a worker differ only in what a change can tell.
func canSendChange(before, now *wire.WorkerStatus) bool {
	return before.Incarnation() == now.Incarnation() && before.GetService() == now.GetService() &&
		before.GetFailureDomain() == now.GetFailureDomain() && before.GetMachine() == now.GetMachine() &&
		slices.Equal(before.GetLabels(), now.GetLabels()) &&
		before.GetMilliCpu() == now.GetMilliCpu() && before.GetMemoryMb() == now.GetMemoryMb() &&
		before.GetAccelerators() == now.GetAccelerators() &&
		before.GetDraining() == now.GetDraining() && before.GetRemainingMs() == now.GetRemainingMs() &&
		before.GetReady() == now.GetReady() && before.GetAccounted() == now.GetAccounted()
}

// encodeChange returns what has changed of the worker since it was last told, nil for nothing,
// and notes it as told.
func (told *Encoder) encodeChange(now *wire.WorkerStatus) *wire.StatusChange {
	before := told.sent
	change := &wire.StatusChange{
		FreeMilliCpu: now.GetFreeMilliCpu(), FreeMemoryMb: now.GetFreeMemoryMb(), FreeAccelerators: now.GetFreeAccelerators(),
		FillMilliCpu: now.GetFillMilliCpu(), ServingMilliCpu: now.GetServingMilliCpu(), ToleratedMilliCpu: before.GetToleratedMilliCpu(),
	}
	if toleranceChanged(before.GetToleratedMilliCpu(), now.GetToleratedMilliCpu(), now.GetMilliCpu()) {
		change.ToleratedMilliCpu = now.GetToleratedMilliCpu()
	}
	same := sameResources(before, change)
	told.encodeToleranceChanges(change, now)
	if !slices.Equal(before.GetServingImages(), now.GetServingImages()) {
		change.Serving, change.ServingImages = true, now.GetServingImages()
		before.ServingImages = now.GetServingImages()
	}
	if !slices.EqualFunc(before.GetReclaimable(), now.GetReclaimable(), func(a, b *wire.Reclaimable) bool { return proto.Equal(a, b) }) {
		change.Reclaimed, change.Reclaimable = true, now.GetReclaimable()
		before.Reclaimable = now.GetReclaimable()
	}
	if same && len(change.GetTolerance())+len(change.GetAdded()) == 0 && !change.GetServing() && !change.GetReclaimed() {
		return nil
	}
	before.FreeMilliCpu, before.FreeMemoryMb, before.FreeAccelerators = change.GetFreeMilliCpu(), change.GetFreeMemoryMb(), change.GetFreeAccelerators()
	before.FillMilliCpu, before.ServingMilliCpu = change.GetFillMilliCpu(), change.GetServingMilliCpu()
	before.ToleratedMilliCpu = change.GetToleratedMilliCpu()
	return change
}

// sameResources reports whether the figures of a change are those told before.
func sameResources(before *wire.WorkerStatus, change *wire.StatusChange) bool {
	return before.GetFreeMilliCpu() == change.GetFreeMilliCpu() && before.GetFreeMemoryMb() == change.GetFreeMemoryMb() &&
		before.GetFreeAccelerators() == change.GetFreeAccelerators() && before.GetFillMilliCpu() == change.GetFillMilliCpu() &&
		before.GetServingMilliCpu() == change.GetServingMilliCpu() && before.GetToleratedMilliCpu() == change.GetToleratedMilliCpu()
}

// encodeToleranceChanges adds the tolerances that have moved, by the number under which the
// owner knows them, and those of images that it does not know.
func (told *Encoder) encodeToleranceChanges(change *wire.StatusChange, now *wire.WorkerStatus) {
	known := make(map[string]int, len(told.sent.GetTolerances()))
	for number, each := range told.sent.GetTolerances() {
		known[each.GetImage()] = number
	}
	for _, each := range now.GetTolerances() {
		number, found := known[each.GetImage()]
		if !found {
			change.Added = append(change.Added, each)
			told.sent.Tolerances = append(told.sent.Tolerances, proto.CloneOf(each))
			continue
		}
		before := told.sent.GetTolerances()[number]
		if toleranceChanged(before.GetMilliCpu(), each.GetMilliCpu(), now.GetMilliCpu()) {
			change.Tolerance = append(change.Tolerance, int32(number))
			change.ToleranceMilliCpu = append(change.ToleranceMilliCpu, each.GetMilliCpu())
			before.MilliCpu = each.GetMilliCpu()
		}
	}
}

// toleranceChanged reports whether a tolerance differs enough from what was told. Beyond
// all the processors that the worker has, and on the other side of zero, it does not
// matter by how much.
func toleranceChanged(before, now, whole int64) bool {
	if before >= whole && now >= whole {
		return false
	}
	if (before < 0) != (now < 0) {
		return true
	}
	step := max(relativeToleranceStep*math.Abs(float64(before)), minToleranceStep*float64(whole))
	return math.Abs(float64(now-before)) > step
}
