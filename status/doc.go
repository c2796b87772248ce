// Package status carries the state of a worker from its agent to the owners of shards:
// whole once a stream, and then only what has changed.
//
// A stream keeps the order of its messages and loses none before it ends, so what was put
// into one has been told. A stream that ends is followed by another, on which everything
// is told again; nothing has to be acknowledged. A state that differs in what a change
// can't tell, such as another incarnation of the worker, is told whole as well.
//
// Tolerances that hardly moved are not told anew, so that what is heard may be off by a tenth,
// or by a 640th of the worker's processors where that is more.
//
// # Usage
//
//	var told status.Encoder // one for each stream
//	message := &wire.AgentMessage{}
//	told.Tell(message, present)
//
//	heard := status.NewDecoder()
//	if heard.Note(message) {
//		// look for places
//	}
//	room := heard.Whole().GetFreeMilliCpu()
package status
