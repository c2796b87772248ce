package wire

import "ambertiller.example/ambertiller/incarnation"

// Incarnation names the life that the start is meant for.
func (order *StartOrder) Incarnation() incarnation.ID {
	return incarnation.New(order.GetWorker(), order.GetBorn())
}

// Incarnation names the life whose runs may be stopped.
func (order *PreemptOrder) Incarnation() incarnation.ID {
	return incarnation.New(order.GetWorker(), order.GetBorn())
}

// Incarnation names the life whose run is to be stopped.
func (order *StopOrder) Incarnation() incarnation.ID {
	return incarnation.New(order.GetWorker(), order.GetBorn())
}

// Incarnation names the life whose end is in the store.
func (seen *EndSeen) Incarnation() incarnation.ID {
	return incarnation.New(seen.GetWorker(), seen.GetBorn())
}

// Incarnation names the life that the start was meant for.
func (result *StartResult) Incarnation() incarnation.ID {
	return incarnation.New(result.GetWorker(), result.GetBorn())
}

// Incarnation names the life that the run was on.
func (end *RunEnd) Incarnation() incarnation.ID {
	return incarnation.New(end.GetWorker(), end.GetBorn())
}

// Incarnation names the worker's present life, the zero name while none is known.
func (status *WorkerStatus) Incarnation() incarnation.ID {
	return incarnation.New(status.GetWorker(), status.GetBorn())
}
