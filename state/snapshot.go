package state

import (
	"maps"
	"slices"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"ambertiller.example/ambertiller/record"
)

// Snapshot encodes the state. The encoding holds everything that Apply looks
// at, so that a restored state goes on as the original would.
func (folded *State) Snapshot() ([]byte, error) {
	snapshot := &record.Snapshot{
		NextOffset:    folded.nextOffset,
		Format:        folded.format,
		RecentBatches: folded.recentBatchIDs,
	}
	for _, id := range slices.Sorted(maps.Keys(folded.tasks)) {
		snapshot.Tasks = append(snapshot.Tasks, folded.tasks[id].stored)
	}
	for _, key := range slices.Sorted(maps.Keys(folded.claims)) {
		snapshot.Claims = append(snapshot.Claims, folded.claims[key])
	}
	for _, name := range slices.Sorted(maps.Keys(folded.documents)) {
		snapshot.Documents = append(snapshot.Documents, folded.documents[name]...)
	}
	for _, name := range slices.Sorted(maps.Keys(folded.workers)) {
		snapshot.Workers = append(snapshot.Workers, folded.workers[name])
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
	if err != nil {
		return nil, errors.Wrap(err, "encode snapshot")
	}
	return data, nil
}

// Restore decodes a snapshot for a reader that knows formats up to known.
func Restore(data []byte, known uint32) (*State, error) {
	snapshot := &record.Snapshot{}
	if err := proto.Unmarshal(data, snapshot); err != nil {
		return nil, errors.Wrap(err, "decode snapshot")
	}
	if snapshot.GetFormat() > known {
		return nil, &FormatError{required: snapshot.GetFormat(), supported: known}
	}
	folded := NewForFormat(known)
	folded.nextOffset = snapshot.GetNextOffset()
	folded.format = snapshot.GetFormat()
	folded.recentBatchIDs = snapshot.GetRecentBatches()
	for _, id := range folded.recentBatchIDs {
		folded.recentBatchSet[id] = struct{}{}
	}
	for _, kept := range snapshot.GetTasks() {
		task := &Task{stored: kept}
		folded.tasks[task.ID()] = task
		folded.updateIndexes(task)
	}
	for _, claim := range snapshot.GetClaims() {
		folded.claims[claim.GetKey()] = claim
	}
	for _, document := range snapshot.GetDocuments() {
		folded.documents[document.GetName()] = append(folded.documents[document.GetName()], document)
	}
	for _, worker := range snapshot.GetWorkers() {
		folded.workers[worker.GetWorker()] = worker
	}
	return folded, nil
}
