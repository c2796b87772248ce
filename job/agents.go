package job

import "ambertiller.example/ambertiller/incarnation"

// NewAgentRecord returns the record of the agent with a name and an address, and of the incarnations of its
// worker that have certainly ended.
func NewAgentRecord(name, address string, ended []incarnation.ID) *AgentRecord {
	record := &AgentRecord{Name: name, Address: address}
	for _, id := range ended {
		if !id.HasStartTime() {
			record.Ended = append(record.Ended, id.WorkerID())
			continue
		}
		record.Over = append(record.Over, &Incarnation{Id: id.WorkerID(), Born: id.StartedMs()})
	}
	return record
}

// EndedIncarnations returns the incarnations of the worker that have certainly ended.
func (record *AgentRecord) EndedIncarnations() []incarnation.ID {
	var ended []incarnation.ID
	for _, workerID := range record.GetEnded() {
		ended = append(ended, incarnation.New(workerID, 0))
	}
	for _, dated := range record.GetOver() {
		ended = append(ended, incarnation.New(dated.GetId(), dated.GetBorn()))
	}
	return ended
}
