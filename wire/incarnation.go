package wire

import "ambertiller.example/ambertiller/incarnation"

// Incarnation names the life that the start is meant for.
func (order *StartOrder) Incarnation() incarnation.Name {
	return incarnation.New(order.GetWorker(), order.GetBorn())
}

// Incarnation names the life whose runs may be stopped.
func (order *PreemptOrder) Incarnation() incarnation.Name {
	return incarnation.New(order.GetWorker(), order.GetBorn())
}

// Incarnation names the life whose run is to be stopped.
func (order *StopOrder) Incarnation() incarnation.Name {
	return incarnation.New(order.GetWorker(), order.GetBorn())
}

// Incarnation names the life whose end is in the store.
func (seen *EndSeen) Incarnation() incarnation.Name {
	return incarnation.New(seen.GetWorker(), seen.GetBorn())
}

// Incarnation names the life that the start was meant for.
func (result *StartResult) Incarnation() incarnation.Name {
	return incarnation.New(result.GetWorker(), result.GetBorn())
}

// Incarnation names the life that the run was on.
func (end *RunEnd) Incarnation() incarnation.Name {
	return incarnation.New(end.GetWorker(), end.GetBorn())
}

// Incarnation names the worker's present life, the zero name while none is known.
func (status *WorkerStatus) Incarnation() incarnation.Name {
	return incarnation.New(status.GetWorker(), status.GetBorn())
}
