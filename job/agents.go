package job

import "ambertiller.example/ambertiller/incarnation"

// NewAgentRecord returns the record of the agent that is reached at an address, beside a worker of which
// some incarnations have ended for certain.
func NewAgentRecord(name, address string, ended []incarnation.ID) *AgentRecord {
	record := &AgentRecord{Name: name, Address: address}
	for _, over := range ended {
		if !over.HasStartTime() {
			record.Ended = append(record.Ended, over.WorkerID())
			continue
		}
		record.Over = append(record.Over, &Incarnation{Id: over.WorkerID(), Born: over.StartedMs()})
	}
	return record
}

// EndedIncarnations returns the incarnations that have ended for certain.
func (record *AgentRecord) EndedIncarnations() []incarnation.ID {
	var ended []incarnation.ID
	for _, id := range record.GetEnded() {
		ended = append(ended, incarnation.New(id, 0))
	}
	for _, over := range record.GetOver() {
		ended = append(ended, incarnation.New(over.GetId(), over.GetBorn()))
	}
	return ended
}
