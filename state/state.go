// Package state is the replicated state machine that every entry makes its
// decisions from. Applying the records of the log in order yields the state.
//
// Applying is deterministic: two instances that apply the same batches in the
// same order hold the same state, whatever their build, clock or history. It
// reads no clock and parses no document. Each record is validated against the
// state at its own offset in the log. Of several changes based on the same
// version, the first valid one is accepted and the later ones are rejected.
// Several entries can therefore propose changes concurrently without a leader,
// and each learns from the outcome whether its own proposal took effect.
//
// # Formats
//
// Each record states the format that it requires. Every reader skips a record
// whose format is above the current format of the state. A FormatRaise record
// raises the format of the state. A reader that does not support the new format
// stops there with a [FormatError] and must not make decisions any more. An old
// reader can thus fall behind a newer one, but never diverge from it.
//
// # Usage
//
//	st := state.New()
//	outcomes, err := st.Apply(offset, batch)
//	for _, task := range st.Pending() { ... }
//
// A State is not safe for concurrent use; package changelog guards one with a
// mutex.
package state

import (
	"fmt"

	"ambertiller.example/ambertiller/record"
)

// LatestFormat is the newest record format that this build supports.
const LatestFormat uint32 = 1

// FirstFormat is the format of an empty log.
const FirstFormat uint32 = 1

const (
	// maxRecentBatches bounds how many batch IDs are kept to detect duplicate
	// appends. A duplicate follows its original closely: its writer stops
	// retrying after seconds, in which the log receives a few hundred batches.
	maxRecentBatches = 4096
	// maxDocumentVersions is the number of versions kept of each document.
	maxDocumentVersions = 20
	// maxNameBytes bounds the length of every name and key.
	maxNameBytes = 256
	// MaxResultBytes bounds the result of a task that is kept in the log.
	MaxResultBytes = 16 << 10
	// MaxCheckpointBytes bounds the size of a checkpoint reference.
	MaxCheckpointBytes = 16 << 10
	// MaxInputBytes bounds the size of a task's input.
	MaxInputBytes = 64 << 10
	// MaxDocumentBytes bounds the size of a configuration or policy document.
	MaxDocumentBytes = 256 << 10
	// maxStartFailures is the number of failed starts after which a task fails.
	maxStartFailures = 5
)

// Reason is the reason why a record was rejected.
type Reason string

// The rejection reasons.
const (
	// ReasonExists rejects the creation of what exists: a task, a claim or a suspicion.
	ReasonExists Reason = "exists"
	// ReasonStale rejects a change based on a version, attempt or suspicion that is
	// not the current one, and the raise to a format that is not higher.
	ReasonStale Reason = "stale version"
	// ReasonUnknown rejects a change to a task or claim that does not exist.
	ReasonUnknown Reason = "unknown subject"
	// ReasonPhase rejects a change that the phase of the task or claim, or the state
	// of the worker, does not allow.
	ReasonPhase Reason = "wrong phase"
	// ReasonHolder rejects a change to a claim that another holder has.
	ReasonHolder Reason = "other holder"
	// ReasonFormat rejects a record that requires a format above the current one.
	ReasonFormat Reason = "format not raised"
	// ReasonDuplicate rejects the records of a batch that was applied before.
	ReasonDuplicate Reason = "duplicate batch"
	// ReasonInvalid rejects a record without a known body or with a field out of bounds.
	ReasonInvalid Reason = "invalid"
)

// Outcome says whether one record was accepted, and if not, why.
type Outcome struct {
	recordID string
	reason   Reason
}

// RecordID returns the record's ID.
func (outcome Outcome) RecordID() string { return outcome.recordID }

// IsAccepted reports whether the record took effect.
func (outcome Outcome) IsAccepted() bool { return outcome.reason == "" }

// Reason returns why the record was rejected. It is empty for an accepted record.
func (outcome Outcome) Reason() Reason { return outcome.reason }

// FormatError reports that the log or a snapshot requires a record format that
// this build does not support.
type FormatError struct {
	required  uint32
	supported uint32
}

// Error implements error.
func (e *FormatError) Error() string {
	return fmt.Sprintf("the log holds records of format %d and this build knows %d; replace it by a newer build", e.required, e.supported)
}

// State is the result of applying the log up to an offset.
type State struct {
	nextOffset int64
	// format is the highest format that records may require at present, and
	// maxFormat the highest that this reader supports.
	format    uint32
	maxFormat uint32
	tasks     map[string]*Task
	claims    map[string]*record.ClaimState
	// documents holds the versions of each document, oldest first.
	documents map[string][]*record.Document
	workers   map[string]*record.WorkerState
	// recentBatchIDs holds the IDs of the latest batches, oldest first, and
	// recentBatchSet the same IDs as a set.
	recentBatchIDs []string
	recentBatchSet map[string]struct{}
	// The maps below index tasks by phase, and placed tasks by worker.
	pendingTasks map[string]*Task
	// pendingByKind counts the pending tasks of each kind.
	pendingByKind map[string]int
	endedTasks    map[string]*Task
	tasksByWorker map[string]map[string]*Task
}

// New returns the state of an empty log.
func New() *State { return NewForFormat(LatestFormat) }

// NewForFormat returns the state of an empty log for a reader that supports
// formats up to maxFormat. Tests use it to run an old build next to a new one.
func NewForFormat(maxFormat uint32) *State {
	return &State{
		format:         FirstFormat,
		maxFormat:      maxFormat,
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

// NextOffset returns the offset of the next entry to apply.
func (s *State) NextOffset() int64 { return s.nextOffset }

// RecordFormat returns the highest format that a record may require at present.
func (s *State) RecordFormat() uint32 { return s.format }

// Skip advances past a log entry that does not decode as a batch.
func (s *State) Skip(offset int64) {
	if offset >= s.nextOffset {
		s.nextOffset = offset + 1
	}
}

// Apply applies the batch at an offset and returns an outcome for each record.
// A batch below NextOffset has been applied already and is skipped, without
// outcomes. On a FormatError the state is unchanged.
func (s *State) Apply(offset int64, batch *record.Batch) ([]Outcome, error) {
	if offset < s.nextOffset {
		return nil, nil
	}
	if err := s.checkFormats(batch); err != nil {
		return nil, err
	}
	s.nextOffset = offset + 1
	if s.recordBatchID(batch.GetId()) {
		return duplicateOutcomes(batch), nil
	}
	outcomes := make([]Outcome, 0, len(batch.GetRecords()))
	for _, rec := range batch.GetRecords() {
		outcomes = append(outcomes, Outcome{recordID: rec.GetId(), reason: s.applyRecord(rec)})
	}
	return outcomes, nil
}

// checkFormats looks for a format raise that this build does not support before
// any record of the batch is applied, so that no batch is applied in part.
func (s *State) checkFormats(batch *record.Batch) error {
	for _, rec := range batch.GetRecords() {
		target := rec.GetFormatRaise().GetFormat()
		if target > s.maxFormat && target > s.format && rec.GetFormat() <= s.format {
			return &FormatError{required: target, supported: s.maxFormat}
		}
	}
	return nil
}

// recordBatchID remembers the ID of a batch and reports whether it was already
// known, in which case the batch is a duplicate of an earlier append. A batch
// without an ID is never a duplicate.
func (s *State) recordBatchID(batchID string) bool {
	if batchID == "" {
		return false
	}
	if _, found := s.recentBatchSet[batchID]; found {
		return true
	}
	s.recentBatchSet[batchID] = struct{}{}
	s.recentBatchIDs = append(s.recentBatchIDs, batchID)
	if len(s.recentBatchIDs) > maxRecentBatches {
		delete(s.recentBatchSet, s.recentBatchIDs[0])
		s.recentBatchIDs = s.recentBatchIDs[1:]
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

func (s *State) applyRecord(rec *record.Record) Reason {
	if rec.GetFormat() > s.format {
		return ReasonFormat
	}
	writtenNanos := rec.GetWrittenUnixNano()
	switch body := rec.GetBody().(type) {
	case *record.Record_TaskCreate:
		return s.createTask(body.TaskCreate, writtenNanos)
	case *record.Record_TaskAssign:
		return s.assignTask(body.TaskAssign, writtenNanos)
	case *record.Record_TaskRunning:
		return s.markRunning(body.TaskRunning, writtenNanos)
	case *record.Record_TaskFinish:
		return s.finishTask(body.TaskFinish, writtenNanos)
	case *record.Record_TaskRelease:
		return s.releaseTask(body.TaskRelease, writtenNanos)
	case *record.Record_TaskCancel:
		return s.cancelTask(body.TaskCancel, writtenNanos)
	case *record.Record_TaskEvict:
		return s.evictTask(body.TaskEvict, writtenNanos)
	case *record.Record_TaskForget:
		return s.forgetTask(body.TaskForget)
	case *record.Record_Claim:
		return s.acquireClaim(body.Claim, writtenNanos)
	case *record.Record_ClaimRelease:
		return s.releaseClaim(body.ClaimRelease)
	case *record.Record_ClaimFinish:
		return s.finishClaim(body.ClaimFinish)
	case *record.Record_ClaimForget:
		return s.forgetClaim(body.ClaimForget)
	case *record.Record_Publish:
		return s.publishDocument(body.Publish, writtenNanos)
	case *record.Record_WorkerDrain:
		return s.drainWorker(body.WorkerDrain)
	case *record.Record_WorkerSuspect:
		return s.suspectWorker(body.WorkerSuspect)
	case *record.Record_FormatRaise:
		return s.raiseFormat(body.FormatRaise)
	}
	return ReasonInvalid
}

func (s *State) raiseFormat(raise *record.FormatRaise) Reason {
	if raise.GetFormat() <= s.format {
		return ReasonStale
	}
	s.format = raise.GetFormat()
	return ""
}

func isValidName(name string) bool {
	return name != "" && len(name) <= maxNameBytes
}
