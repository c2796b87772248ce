package status

import "ambertiller.example/ambertiller/wire"

// Decoder is what has been heard of a worker on one stream after another.
type Decoder struct {
	status     *wire.WorkerStatus
	tolerances map[string]int64 // by image
}

// NewDecoder returns the state of a worker of which nothing has been heard.
func NewDecoder() *Decoder {
	return &Decoder{status: &wire.WorkerStatus{}, tolerances: map[string]int64{}}
}

// Status returns the worker's state. It changes with the next message.
func (heard *Decoder) Status() *wire.WorkerStatus { return heard.status }

// Tolerance returns how many more processors of a filling image the worker's serving
// tasks bear, in thousandths.
func (heard *Decoder) Tolerance(image string) int64 {
	if tolerated, known := heard.tolerances[image]; known {
		return tolerated
	}
	return heard.status.GetToleratedMilliCpu()
}

// Apply takes in what a message says of the worker: its whole state, or what has changed
// of it. It reports whether there may be room now where there was none.
func (heard *Decoder) Apply(message *wire.AgentMessage) (roomGrew bool) {
	if whole := message.GetStatus(); whole != nil {
		return heard.applyFull(whole)
	}
	if change := message.GetChange(); change != nil {
		return heard.applyChange(change)
	}
	return false
}

func (heard *Decoder) applyFull(whole *wire.WorkerStatus) bool {
	before := heard.status
	heard.status = whole
	heard.tolerances = make(map[string]int64, len(whole.GetTolerances()))
	for _, known := range whole.GetTolerances() {
		heard.tolerances[known.GetImage()] = known.GetMilliCpu()
	}
	return whole.GetFreeMilliCpu() > before.GetFreeMilliCpu() || whole.GetFreeMemoryMb() > before.GetFreeMemoryMb() ||
		whole.GetReady() && !before.GetReady() || whole.Incarnation() != before.Incarnation()
}

func (heard *Decoder) applyChange(change *wire.StatusChange) bool {
	whole := heard.status
	grew := change.GetFreeMilliCpu() > whole.GetFreeMilliCpu() || change.GetFreeMemoryMb() > whole.GetFreeMemoryMb()
	whole.FreeMilliCpu, whole.FreeMemoryMb, whole.FreeAccelerators = change.GetFreeMilliCpu(), change.GetFreeMemoryMb(), change.GetFreeAccelerators()
	whole.FillMilliCpu, whole.ServingMilliCpu = change.GetFillMilliCpu(), change.GetServingMilliCpu()
	whole.ToleratedMilliCpu = change.GetToleratedMilliCpu()
	heard.applyToleranceChanges(change)
	if change.GetServing() {
		whole.ServingImages = change.GetServingImages()
	}
	if change.GetReclaimed() {
		whole.Reclaimable = change.GetReclaimable()
	}
	return grew
}

// applyToleranceChanges takes in the tolerances that have changed. A number that the stream has
// not told of is passed over: the two lists are of one length in a sound message.
func (heard *Decoder) applyToleranceChanges(change *wire.StatusChange) {
	known := heard.status.GetTolerances()
	changed := change.GetToleranceMilliCpu()
	for position, number := range change.GetTolerance() {
		if position >= len(changed) || number < 0 || int(number) >= len(known) {
			continue
		}
		known[number].MilliCpu = changed[position]
		heard.tolerances[known[number].GetImage()] = changed[position]
	}
	for _, added := range change.GetAdded() {
		heard.status.Tolerances = append(heard.status.Tolerances, added)
		heard.tolerances[added.GetImage()] = added.GetMilliCpu()
	}
}
