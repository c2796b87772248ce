// Package state folds the records of the log into the state that every entry
// decides from.
//
// The fold is deterministic: two instances that apply the same batches in the
// same order hold the same state, whatever their build, clock or history. It
// reads no clock and parses no document. Each record is checked against the
// state at its own place in the log; the first valid one wins and a later one
// that was based on an older version is lost. So several entries can propose
// changes at the same time without a leader, and each learns from the fold
// whether its own proposal took effect.
//
// # Formats
//
// A record names the format it needs. A record whose format is above the
// state's is passed over by every reader. FormatRaise lifts the state's
// format; a reader that does not know the new format stops there with
// [FormatError] and must not decide. So an old reader can fall behind a newer
// one, but never diverge from it.
//
// # Usage
//
//	folded := state.New()
//	outcomes, err := folded.Apply(offset, batch)
//	for _, task := range folded.Pending() { ... }
//
// A State is not safe for concurrent use; package journal guards one.
package state

import (
	"fmt"

	"ambertiller.example/ambertiller/record"
)

// LatestFormat is the newest record format that this build knows.
const LatestFormat uint32 = 1

// FirstFormat is the format of an empty log.
const FirstFormat uint32 = 1

const (
	// maxRecentBatches bounds how many batch IDs are remembered to pass over a
	// second copy of an append. A copy can only follow closely: its writer
	// gives up after seconds, in which the log takes some hundred batches.
	maxRecentBatches = 4096
	// maxDocumentVersions bounds the versions of each document that are kept.
	maxDocumentVersions = 20
	// maxNameBytes bounds every name and key.
	maxNameBytes = 256
	// MaxResultBytes bounds the result of a task that the log keeps.
	MaxResultBytes = 16 << 10
	// MaxCheckpointBytes bounds a checkpoint reference.
	MaxCheckpointBytes = 16 << 10
	// MaxInputBytes bounds the input of a task.
	MaxInputBytes = 64 << 10
	// MaxDocumentBytes bounds a configuration or policy.
	MaxDocumentBytes = 256 << 10
	// maxStartFailures ends a task that no worker could start.
	maxStartFailures = 5
)

// Reason says why a record was lost.
type Reason string

// The reasons for losing.
const (
	ReasonExists    Reason = "exists"
	ReasonStale     Reason = "stale version"
	ReasonUnknown   Reason = "unknown subject"
	ReasonPhase     Reason = "wrong phase"
	ReasonHolder    Reason = "other holder"
	ReasonFormat    Reason = "format not raised"
	ReasonDuplicate Reason = "duplicate batch"
	ReasonInvalid   Reason = "invalid"
)

// Outcome says what became of one record.
type Outcome struct {
	recordID string
	reason   Reason
}

// RecordID returns the record's ID.
func (outcome Outcome) RecordID() string { return outcome.recordID }

// IsAccepted reports whether the record took effect.
func (outcome Outcome) IsAccepted() bool { return outcome.reason == "" }

// Reason returns why the record was lost, empty when it was accepted.
func (outcome Outcome) Reason() Reason { return outcome.reason }

// FormatError says that the log needs a newer build.
type FormatError struct {
	required  uint32
	supported uint32
}

// Error implements error.
func (format *FormatError) Error() string {
	return fmt.Sprintf("the log holds records of format %d and this build knows %d; replace it by a newer build", format.required, format.supported)
}

// State is the fold of the log up to an offset.
type State struct {
	nextOffset     int64
	format         uint32
	maxFormat      uint32
	tasks          map[string]*Task
	claims         map[string]*record.ClaimState
	documents      map[string][]*record.Document
	workers        map[string]*record.WorkerState
	recentBatchIDs []string
	recentBatchSet map[string]struct{}
	pendingTasks   map[string]*Task
	// pendingByKind counts the pending tasks of each kind.
	pendingByKind map[string]int
	endedTasks    map[string]*Task
	tasksByWorker map[string]map[string]*Task
}

// New returns the state of an empty log.
func New() *State { return NewForFormat(LatestFormat) }

// NewForFormat returns the state of an empty log for a reader that knows formats
// up to known. Tests use it to stand an old build beside a new one.
func NewForFormat(known uint32) *State {
	return &State{
		format:         FirstFormat,
		maxFormat:      known,
		tasks:          map[string]*Task{},
		claims:         map[string]*record.ClaimState{},
		documents:      map[string][]*record.Document{},
		workers:        map[string]*record.WorkerState{},
		recentBatchSet: map[string]struct{}{},
		pendingTasks:   map[string]*Task{},
		pendingByKind:  map[string]int{},
		endedTasks:     map[string]*Task{},
		tasksByWorker:  map[string]map[string]*Task{},
	}
}

// NextOffset returns the first offset that is not folded in.
func (folded *State) NextOffset() int64 { return folded.nextOffset }

// RecordFormat returns the format that records may need.
func (folded *State) RecordFormat() uint32 { return folded.format }

// Skip moves past an entry of the log that holds no readable batch.
func (folded *State) Skip(offset int64) {
	if offset >= folded.nextOffset {
		folded.nextOffset = offset + 1
	}
}

// Apply folds the batch at an offset and returns an outcome for each record.
// A batch below Next has been folded before and is passed over. After a
// FormatError the state stays before the batch.
func (folded *State) Apply(offset int64, batch *record.Batch) ([]Outcome, error) {
	if offset < folded.nextOffset {
		return nil, nil
	}
	if err := folded.checkFormats(batch); err != nil {
		return nil, err
	}
	folded.nextOffset = offset + 1
	if folded.recordBatchID(batch.GetId()) {
		return duplicateOutcomes(batch), nil
	}
	outcomes := make([]Outcome, 0, len(batch.GetRecords()))
	for _, rec := range batch.GetRecords() {
		outcomes = append(outcomes, Outcome{recordID: rec.GetId(), reason: folded.applyRecord(rec)})
	}
	return outcomes, nil
}

// checkFormats finds a raise above what this build knows before anything of
// the batch is applied, so that the state never holds half a batch.
func (folded *State) checkFormats(batch *record.Batch) error {
	for _, rec := range batch.GetRecords() {
		raised := rec.GetFormatRaise().GetFormat()
		if raised > folded.maxFormat && raised > folded.format && rec.GetFormat() <= folded.format {
			return &FormatError{required: raised, supported: folded.maxFormat}
		}
	}
	return nil
}

func (folded *State) recordBatchID(batchID string) bool {
	if batchID == "" {
		return false
	}
	if _, seen := folded.recentBatchSet[batchID]; seen {
		return true
	}
	folded.recentBatchSet[batchID] = struct{}{}
	folded.recentBatchIDs = append(folded.recentBatchIDs, batchID)
	if len(folded.recentBatchIDs) > maxRecentBatches {
		delete(folded.recentBatchSet, folded.recentBatchIDs[0])
		folded.recentBatchIDs = folded.recentBatchIDs[1:]
	}
	return false
}

func duplicateOutcomes(batch *record.Batch) []Outcome {
	outcomes := make([]Outcome, 0, len(batch.GetRecords()))
	for _, rec := range batch.GetRecords() {
		outcomes = append(outcomes, Outcome{recordID: rec.GetId(), reason: ReasonDuplicate})
	}
	return outcomes
}

func (folded *State) applyRecord(rec *record.Record) Reason {
	if rec.GetFormat() > folded.format {
		return ReasonFormat
	}
	written := rec.GetWrittenUnixNano()
	switch body := rec.GetBody().(type) {
	case *record.Record_TaskCreate:
		return folded.createTask(body.TaskCreate, written)
	case *record.Record_TaskAssign:
		return folded.assignTask(body.TaskAssign, written)
	case *record.Record_TaskRunning:
		return folded.markRunning(body.TaskRunning, written)
	case *record.Record_TaskFinish:
		return folded.finishTask(body.TaskFinish, written)
	case *record.Record_TaskRelease:
		return folded.releaseTask(body.TaskRelease, written)
	case *record.Record_TaskCancel:
		return folded.cancelTask(body.TaskCancel, written)
	case *record.Record_TaskEvict:
		return folded.evictTask(body.TaskEvict, written)
	case *record.Record_TaskForget:
		return folded.forgetTask(body.TaskForget)
	case *record.Record_Claim:
		return folded.acquireClaim(body.Claim, written)
	case *record.Record_ClaimRelease:
		return folded.releaseClaim(body.ClaimRelease)
	case *record.Record_ClaimFinish:
		return folded.finishClaim(body.ClaimFinish)
	case *record.Record_ClaimForget:
		return folded.forgetClaim(body.ClaimForget)
	case *record.Record_Publish:
		return folded.publishDocument(body.Publish, written)
	case *record.Record_WorkerDrain:
		return folded.drainWorker(body.WorkerDrain)
	case *record.Record_WorkerSuspect:
		return folded.suspectWorker(body.WorkerSuspect)
	case *record.Record_FormatRaise:
		return folded.raiseFormat(body.FormatRaise)
	}
	return ReasonInvalid
}

func (folded *State) raiseFormat(raise *record.FormatRaise) Reason {
	if raise.GetFormat() <= folded.format {
		return ReasonStale
	}
	folded.format = raise.GetFormat()
	return ""
}

func isValidName(name string) bool {
	return name != "" && len(name) <= maxNameBytes
}
