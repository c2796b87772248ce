package status

import (
	"math"
	"slices"

	"google.golang.org/protobuf/proto"

	"ambertiller.example/ambertiller/wire"
)

const (
	// toleranceStep is the share of itself by which a tolerance has to differ from what was
	// told to be told anew, and leastToleranceStep the share of the worker's processors
	// below which that does not sink. Tolerances move with each reading of a tail, 2.5
	// times a second, and small ones decide.
	toleranceStep      = 0.1
	leastToleranceStep = 1.0 / 640
)

// Told is what has been told of a worker on one stream. The zero value has told nothing.
type Told struct {
	whole *wire.WorkerStatus // as the other side has it; nil before the first message
}

// Tell puts into a message what has not been told of the worker: everything on a stream
// that is new or where something has changed that a change can't tell, nothing where
// nothing has changed.
func (told *Told) Tell(message *wire.AgentMessage, now *wire.WorkerStatus) {
	if told.whole == nil || !sameBut(told.whole, now) {
		message.Status = now
		told.whole = proto.CloneOf(now)
		return
	}
	message.Change = told.change(now)
}

// sameBut reports whether two states of a worker differ only in what a change can tell.
func sameBut(before, now *wire.WorkerStatus) bool {
	return before.Incarnation() == now.Incarnation() && before.GetService() == now.GetService() &&
		before.GetFailureDomain() == now.GetFailureDomain() && before.GetMachine() == now.GetMachine() &&
		slices.Equal(before.GetLabels(), now.GetLabels()) &&
		before.GetMilliCpu() == now.GetMilliCpu() && before.GetMemoryMb() == now.GetMemoryMb() &&
		before.GetAccelerators() == now.GetAccelerators() &&
		before.GetDraining() == now.GetDraining() && before.GetRemainingMs() == now.GetRemainingMs() &&
		before.GetReady() == now.GetReady() && before.GetAccounted() == now.GetAccounted()
}

// change returns what has changed of the worker since it was last told, nil for nothing,
// and notes it as told.
func (told *Told) change(now *wire.WorkerStatus) *wire.StatusChange {
	before := told.whole
	change := &wire.StatusChange{
		FreeMilliCpu: now.GetFreeMilliCpu(), FreeMemoryMb: now.GetFreeMemoryMb(), FreeAccelerators: now.GetFreeAccelerators(),
		FillMilliCpu: now.GetFillMilliCpu(), ServingMilliCpu: now.GetServingMilliCpu(), ToleratedMilliCpu: before.GetToleratedMilliCpu(),
	}
	if movedTolerance(before.GetToleratedMilliCpu(), now.GetToleratedMilliCpu(), now.GetMilliCpu()) {
		change.ToleratedMilliCpu = now.GetToleratedMilliCpu()
	}
	same := sameRoom(before, change)
	told.changeTolerances(change, now)
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

// sameRoom reports whether the figures of a change are those told before.
func sameRoom(before *wire.WorkerStatus, change *wire.StatusChange) bool {
	return before.GetFreeMilliCpu() == change.GetFreeMilliCpu() && before.GetFreeMemoryMb() == change.GetFreeMemoryMb() &&
		before.GetFreeAccelerators() == change.GetFreeAccelerators() && before.GetFillMilliCpu() == change.GetFillMilliCpu() &&
		before.GetServingMilliCpu() == change.GetServingMilliCpu() && before.GetToleratedMilliCpu() == change.GetToleratedMilliCpu()
}

// changeTolerances adds the tolerances that have moved, by the number under which the
// owner knows them, and those of images that it does not know.
func (told *Told) changeTolerances(change *wire.StatusChange, now *wire.WorkerStatus) {
	known := make(map[string]int, len(told.whole.GetTolerances()))
	for number, each := range told.whole.GetTolerances() {
		known[each.GetImage()] = number
	}
	for _, each := range now.GetTolerances() {
		number, found := known[each.GetImage()]
		if !found {
			change.Added = append(change.Added, each)
			told.whole.Tolerances = append(told.whole.Tolerances, proto.CloneOf(each))
			continue
		}
		before := told.whole.GetTolerances()[number]
		if movedTolerance(before.GetMilliCpu(), each.GetMilliCpu(), now.GetMilliCpu()) {
			change.Tolerance = append(change.Tolerance, int32(number))
			change.ToleranceMilliCpu = append(change.ToleranceMilliCpu, each.GetMilliCpu())
			before.MilliCpu = each.GetMilliCpu()
		}
	}
}

// movedTolerance reports whether a tolerance differs enough from what was told. Beyond
// all the processors that the worker has, and on the other side of zero, it does not
// matter by how much.
func movedTolerance(before, now, whole int64) bool {
	if before >= whole && now >= whole {
		return false
	}
	if (before < 0) != (now < 0) {
		return true
	}
	step := max(toleranceStep*math.Abs(float64(before)), leastToleranceStep*float64(whole))
	return math.Abs(float64(now-before)) > step
}
