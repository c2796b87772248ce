package wire

import "ambertiller.example/ambertiller/incarnation"

// Incarnation returns the worker incarnation that the order is meant for.
func (order *StartOrder) Incarnation() incarnation.ID {
	return incarnation.New(order.GetWorker(), order.GetBorn())
}

// Incarnation returns the worker incarnation whose runs may be stopped.
func (order *PreemptOrder) Incarnation() incarnation.ID {
	return incarnation.New(order.GetWorker(), order.GetBorn())
}

// Incarnation returns the worker incarnation whose run is to be stopped.
func (order *StopOrder) Incarnation() incarnation.ID {
	return incarnation.New(order.GetWorker(), order.GetBorn())
}

// Incarnation returns the worker incarnation of the run whose end is stored.
func (seen *EndSeen) Incarnation() incarnation.ID {
	return incarnation.New(seen.GetWorker(), seen.GetBorn())
}

// Incarnation returns the worker incarnation that the start order was meant for.
func (result *StartResult) Incarnation() incarnation.ID {
	return incarnation.New(result.GetWorker(), result.GetBorn())
}

// Incarnation returns the worker incarnation that the run was on.
func (end *RunEnd) Incarnation() incarnation.ID {
	return incarnation.New(end.GetWorker(), end.GetBorn())
}

// Incarnation returns the current incarnation of the worker, or the zero ID if none is known.
func (status *WorkerStatus) Incarnation() incarnation.ID {
	return incarnation.New(status.GetWorker(), status.GetBorn())
}
