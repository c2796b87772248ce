// Package status encodes the status of a worker on the streams from its agent to the owners of shards.
//
// The first message of a stream carries the full status, the following ones only what has changed. A stream
// keeps the order of its messages and loses none before it ends, so the encoder may assume that everything it
// has written arrives, and nothing has to be acknowledged. When a stream ends, its successor starts with a
// full status again. A full status is also sent when a field changes that wire.StatusChange lacks, such as
// the incarnation of the worker.
//
// A tolerance is how many more processors the tasks of a fill image may use on the worker; see
// [Decoder.Tolerance], and package interference for fill and serving tasks. Small changes of a tolerance are
// not sent, so a decoded tolerance may differ from the actual one by a tenth, or by 1/640 of the worker's
// processors if that is more.
//
// # Usage
//
//	var encoder status.Encoder // one for each stream
//	message := &wire.AgentMessage{}
//	encoder.Encode(message, current)
//
//	decoder := status.NewDecoder()
//	if decoder.Apply(message) {
//		// resources were freed: retry placement
//	}
//	free := decoder.Status().GetFreeMilliCpu()
package status
