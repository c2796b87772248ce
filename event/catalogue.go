package event

import "log/slog"

// Code numbers an event. A number is never given to another event.
type Code int

// Codes are grouped by hundreds: 1xx process, 2xx routing, 3xx placement and
// tasks, 4xx the log and state, 5xx configuration and policies, 6xx guards.
const (
	ProcessStarted Code = 100 + iota
	ProcessStopping
	ProcessStopped
)

// Routing decisions.
const (
	RequestRouted Code = 200 + iota
	RequestNotRun
	RequestUnknown
	RequestRetried
	ClaimTaken
	ClaimLost
	ClaimReleased
	AnswerCut
)

// Placement decisions and task changes.
const (
	TaskPlaced Code = 300 + iota
	TaskWaiting
	PlacementLost
	StartRefused
	TaskRecorded
	TaskRevoked
	PolicyFellBack
	TaskSubmitted
	TaskCancelled
	WorkerDrained
	WorkerSuspected
	AttemptLost
)

// The log and the state folded from it.
const (
	AppendFailed Code = 400 + iota
	AppendUnsettled
	ReadFailed
	BatchUnreadable
	FormatTooNew
	SnapshotWritten
	SnapshotRestored
	SnapshotFailed
)

// Configuration and policies.
const (
	DocumentPublished Code = 500 + iota
	DocumentConflict
	DocumentInForce
	DocumentRejected
)

// Guards.
const (
	AdmissionRefused Code = 600 + iota
	TaskStarted
	TaskStopped
	TaskEnded
	TaskAdopted
	TaskOrphanStopped
	GuardLeaving
	ReportFailed
	WorkerUnreachable
	LeaseLapsed
	TaskThrottled
)

// Entry describes one event.
type Entry struct {
	Code  Code
	Level slog.Level
	Title string
	Text  string
	Since string
}

const firstRelease = "0.1"

// catalogue is the single source of docs/EVENTS.md.
var catalogue = []Entry{
	{ProcessStarted, slog.LevelInfo, "process started", "The process has started all its services. The attributes give its role, name and addresses.", firstRelease},
	{ProcessStopping, slog.LevelInfo, "process stopping", "A planned stop has begun: new work is refused and work in flight is finished within the stated bound.", firstRelease},
	{ProcessStopped, slog.LevelInfo, "process stopped", "The planned stop has ended.", firstRelease},

	{RequestRouted, slog.LevelInfo, "request routed", "A request was sent to a backend server and its whole answer was passed on. The attributes give the worker, what its load was believed to be, how many workers were considered and which were rejected and why.", firstRelease},
	{RequestNotRun, slog.LevelInfo, "request not run", "A request was given up and proved not to have run. The attribute reason says why, retry_after when to come back.", firstRelease},
	{RequestUnknown, slog.LevelWarn, "request outcome unknown", "A request was given up after a backend server may have run it. It is not tried again unless it is repeatable.", firstRelease},
	{RequestRetried, slog.LevelInfo, "request retried", "A request was sent to another worker, because the first one proved that it had not run it or because the request is repeatable.", firstRelease},
	{ClaimTaken, slog.LevelInfo, "claim taken", "The log accepted this entry's claim to run a request that must not be repeated.", firstRelease},
	{ClaimLost, slog.LevelInfo, "claim lost", "Another holder had claimed the same key first; the request was not run by this entry.", firstRelease},
	{ClaimReleased, slog.LevelInfo, "claim released", "A claim was given back because its request was proved not to have run.", firstRelease},
	{AnswerCut, slog.LevelWarn, "answer cut", "An answer ended before it was whole. The caller's connection was broken off so that it can't take the part for the whole.", firstRelease},

	{TaskPlaced, slog.LevelInfo, "task placed", "A task was assigned to a worker and the log accepted it. The attributes give the score, the policy version, the next best worker and how many workers were rejected for which constraint.", firstRelease},
	{TaskWaiting, slog.LevelInfo, "task waiting", "No worker can take the task now. The attributes count the workers rejected for each constraint.", firstRelease},
	{PlacementLost, slog.LevelInfo, "placement lost", "Another entry changed the task first; this entry's assignment did not take effect.", firstRelease},
	{StartRefused, slog.LevelInfo, "start refused", "The guard refused to start the task and proved that it will not run under this attempt.", firstRelease},
	{TaskRecorded, slog.LevelInfo, "task outcome recorded", "The end of an attempt, reported by a guard, was recorded in the log.", firstRelease},
	{TaskRevoked, slog.LevelInfo, "task revoked", "An attempt was asked to stop, by a cancellation, a drain or an eviction.", firstRelease},
	{PolicyFellBack, slog.LevelWarn, "policy fell back", "The policy failed while deciding. The built-in score was used for this decision; correct the policy with `ambertiller policy publish`.", firstRelease},
	{TaskSubmitted, slog.LevelInfo, "task submitted", "A task was accepted into the log.", firstRelease},
	{TaskCancelled, slog.LevelInfo, "task cancelled", "A cancellation was accepted into the log.", firstRelease},
	{WorkerDrained, slog.LevelInfo, "worker drain changed", "An operator began or ended the drain of a worker.", firstRelease},
	{WorkerSuspected, slog.LevelWarn, "worker suspected", "A worker's guard has been silent for too long. Its leases are no longer renewed; its tasks move only after their leases must have expired.", firstRelease},
	{AttemptLost, slog.LevelWarn, "attempt lost", "The lease of an attempt on a suspected worker has expired by the worker's own clock at the assumed clock rate bound. The task may be placed again.", firstRelease},

	{AppendFailed, slog.LevelWarn, "append failed", "The platform's log refused an append, which did not take effect.", firstRelease},
	{AppendUnsettled, slog.LevelWarn, "append unsettled", "The platform's log gave no answer to an append. It is settled by reading.", firstRelease},
	{ReadFailed, slog.LevelWarn, "read failed", "The platform's log could not be read. State stays as it was; work that needs the log is refused as not run.", firstRelease},
	{BatchUnreadable, slog.LevelError, "batch unreadable", "A record in the log could not be decoded and was passed over, by every reader alike.", firstRelease},
	{FormatTooNew, slog.LevelError, "format too new", "The log holds records of a newer format than this build knows. The instance stops deciding; replace it by a newer build.", firstRelease},
	{SnapshotWritten, slog.LevelInfo, "snapshot written", "A snapshot of the state was written to the log.", firstRelease},
	{SnapshotRestored, slog.LevelInfo, "snapshot restored", "State was restored from a snapshot in the log.", firstRelease},
	{SnapshotFailed, slog.LevelWarn, "snapshot failed", "A snapshot could not be written whole. Another entry, or this one, tries again.", firstRelease},

	{DocumentPublished, slog.LevelInfo, "document published", "A configuration or policy was accepted into the log.", firstRelease},
	{DocumentConflict, slog.LevelInfo, "document conflict", "A publication lost, because another one was accepted since the version it was based on.", firstRelease},
	{DocumentInForce, slog.LevelInfo, "document in force", "This instance now decides by this version of the document.", firstRelease},
	{DocumentRejected, slog.LevelError, "document rejected", "An accepted document can't be used by this build. The version before it stays in force on this instance.", firstRelease},

	{AdmissionRefused, slog.LevelInfo, "admission refused", "The guard refused work before running it. The attribute reason is the typed reason.", firstRelease},
	{TaskStarted, slog.LevelInfo, "task started", "The worker started an attempt of a task.", firstRelease},
	{TaskStopped, slog.LevelInfo, "task stopped", "The worker stopped an attempt of a task, with its checkpoint if it has one.", firstRelease},
	{TaskEnded, slog.LevelInfo, "task ended", "An attempt of a task finished or failed on the worker.", firstRelease},
	{TaskAdopted, slog.LevelInfo, "task adopted", "A new guard took over an attempt that the worker was running.", firstRelease},
	{TaskOrphanStopped, slog.LevelWarn, "orphan stopped", "The guard stopped an attempt that is no longer the task's current one.", firstRelease},
	{GuardLeaving, slog.LevelInfo, "guard leaving", "The guard takes no new work and finishes what is in flight.", firstRelease},
	{ReportFailed, slog.LevelWarn, "report failed", "The guard could not report to an entry.", firstRelease},
	{WorkerUnreachable, slog.LevelWarn, "worker unreachable", "The worker's interface did not answer the guard.", firstRelease},
	{LeaseLapsed, slog.LevelWarn, "lease lapsed", "A task's lease ended without renewal and the worker stopped it.", firstRelease},
	{TaskThrottled, slog.LevelInfo, "task throttled", "An attempt was bounded to a share of its processors.", firstRelease},
}

// Catalogue returns every event, by rising code.
func Catalogue() []Entry {
	return append([]Entry(nil), catalogue...)
}
