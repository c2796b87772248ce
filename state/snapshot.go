package state

import (
	"maps"
	"slices"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"ambertiller.example/ambertiller/record"
)

// Snapshot encodes the state. The encoding holds everything that Apply depends
// on, so that a restored state continues exactly as the original would.
func (s *State) Snapshot() ([]byte, error) {
	snapshot := &record.Snapshot{
		NextOffset:    s.nextOffset,
		Format:        s.format,
		RecentBatches: s.recentBatchIDs,
	}
	for _, id := range slices.Sorted(maps.Keys(s.tasks)) {
		snapshot.Tasks = append(snapshot.Tasks, s.tasks[id].stored)
	}
	for _, key := range slices.Sorted(maps.Keys(s.claims)) {
		snapshot.Claims = append(snapshot.Claims, s.claims[key])
	}
	for _, name := range slices.Sorted(maps.Keys(s.documents)) {
		snapshot.Documents = append(snapshot.Documents, s.documents[name]...)
	}
	for _, name := range slices.Sorted(maps.Keys(s.workers)) {
		snapshot.Workers = append(snapshot.Workers, s.workers[name])
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
	if err != nil {
		return nil, errors.Wrap(err, "encode snapshot")
	}
	return data, nil
}

// Restore decodes a snapshot for a reader that supports formats up to maxFormat. It
// returns a FormatError if the snapshot was taken at a higher format.
func Restore(data []byte, maxFormat uint32) (*State, error) {
	snapshot := &record.Snapshot{}
	if err := proto.Unmarshal(data, snapshot); err != nil {
		return nil, errors.Wrap(err, "decode snapshot")
	}
	if snapshot.GetFormat() > maxFormat {
		return nil, &FormatError{required: snapshot.GetFormat(), supported: maxFormat}
	}
	s := NewForFormat(maxFormat)
	s.nextOffset = snapshot.GetNextOffset()
	s.format = snapshot.GetFormat()
	s.recentBatchIDs = snapshot.GetRecentBatches()
	for _, id := range s.recentBatchIDs {
		s.recentBatchSet[id] = struct{}{}
	}
	for _, stored := range snapshot.GetTasks() {
		task := &Task{stored: stored}
		s.tasks[task.ID()] = task
		s.updateIndexes(task)
	}
	for _, claim := range snapshot.GetClaims() {
		s.claims[claim.GetKey()] = claim
	}
	for _, document := range snapshot.GetDocuments() {
		s.documents[document.GetName()] = append(s.documents[document.GetName()], document)
	}
	for _, worker := range snapshot.GetWorkers() {
		s.workers[worker.GetWorker()] = worker
	}
	return s, nil
}
