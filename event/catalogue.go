package event

import "log/slog"

// Code numbers an event. A number is never given to another event.
type Code int

// Codes are grouped by hundreds: 1xx process, 2xx routing, 3xx placement and
// tasks, 4xx the log and state, 5xx configuration and policies, 6xx guards, 7xx the
// platform's store, 8xx jobs, 9xx agents.
const (
	ProcessStarted Code = 100 + iota
	ProcessStopping
	ProcessStopped
	SettingsReloaded
	SettingsRefused
	ProcessFailed
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

// The store of the platform and the ownership of shards.
const (
	StoreLost Code = 700 + iota
	StoreBack
	ShardTaken
	ShardLoaded
	ShardGivenUp
	AppendRetried
	TailRestarted
	RecordUnreadable
	ConfigurationInForce
	ConfigurationRefused
	StoreSlow
	OwnersUnknown
	LearnedTakenUp
	LearnedNotKept
	CandidacyBegun
	CandidacyEnded
)

// Jobs: handed in, decided on, ended.
const (
	JobAccepted Code = 800 + iota
	JobRefused
	JobUnsettled
	JobCancelAccepted
	JobAsked
	JobTaken
	JobEnded
	RunPlaced
	RunOrdered
	RunStarted
	RunNotStarted
	RunEnded
	RunLost
	RunStopOrdered
	AdviceTaken
	AdviceFailed
	RunPreempted
	RunCrashed
	TaskGivenUp
	EndOfEarlierRun
)

// Agents and their workers.
const (
	AgentAttached Code = 900 + iota
	AgentLost
	WorkerSeen
	WorkerLeft
	WorkerLost
	WorkerSilent
	WorkerBack
	OwnerAttached
	OwnerLost
	ShardClaimed
	OrderRefused
	OrderUnsettled
	OrderSettled
	RunAdopted
	RunUnowned
	FillsPaced
	AgentRegistered
	RunEvicted
	RunMovedAhead
	TargetMissed
	TargetKept
	ConnectionSilent
	HeartbeatStale
	MessagesSent
	DomainEvacuated
	DomainGivenBack
	HeartbeatRefused
	MachineWasSuspended
	OrderTaken
	EndWaits
	EndKept
	EndVoid
	ConnectionReplaced
	WorkerStartedAgain
	EndPassedOver
)

// LinesDropped speaks of the log itself.
const LinesDropped Code = 190

// Entry describes one event.
type Entry struct {
	Code        Code
	Level       slog.Level
	Title       string
	Description string
	Since       string
}

const (
	firstRelease    = "0.1"
	platformRelease = "0.2"
	// preemptionRelease is the one with pre-emption and leaving workers.
	preemptionRelease = "0.3"
	// reportRelease is the one with reports from logs.
	reportRelease = "0.4"
	// largeFleetRelease is the one for deployments of hundreds of machines.
	largeFleetRelease = "0.5"
	// evacuationRelease is the one for work that has shifted.
	evacuationRelease = "0.6"
	// crashSuspectRelease is the one for tasks that bring workers down.
	crashSuspectRelease = "0.7"
	// endTrackingRelease is the one in which it can be told how each end was settled.
	endTrackingRelease = "0.8"
	// incarnationRelease is the one that tells the lives of a worker apart.
	incarnationRelease = "0.9"
	// candidacyRelease is the one in which only some entries of a fleet are candidates for shards.
	candidacyRelease = "0.10"
)

// catalogue is the single source of docs/EVENTS.md.
var catalogue = []Entry{
	{ProcessStarted, slog.LevelInfo, "process started", "The process has started all its services. The attributes give its role, name and addresses.", firstRelease},
	{ProcessStopping, slog.LevelInfo, "process stopping", "A planned stop has begun: new work is refused and work in flight is finished within the stated bound.", firstRelease},
	{ProcessStopped, slog.LevelInfo, "process stopped", "The planned stop has ended.", firstRelease},
	{SettingsReloaded, slog.LevelInfo, "settings reloaded", "The settings file was read again.", platformRelease},
	{SettingsRefused, slog.LevelError, "settings refused", "The settings file has changed and has faults. The settings before it stay in force.", platformRelease},
	{ProcessFailed, slog.LevelError, "process failed", "The program has a fault and ends with it. The attribute fault says which, frames the places in the code that led to it, the nearest first: report both.", preemptionRelease},

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

	{LinesDropped, slog.LevelWarn, "log lines dropped", "Whoever reads the log was too slow, or lines came faster than the bound. The attribute count says how many lines were left out since the last one.", platformRelease},

	{StoreLost, slog.LevelWarn, "store lost", "Calls to the platform's store fail. What needs it waits or is refused as not run.", platformRelease},
	{StoreBack, slog.LevelInfo, "store back", "The platform's store answers again. The attribute after says how long it did not.", platformRelease},
	{ShardTaken, slog.LevelInfo, "shard taken", "The store dealt this entry a shard. It writes under the stated epoch from here on, and earlier owners can't.", platformRelease},
	{ShardLoaded, slog.LevelInfo, "shard loaded", "The shard's jobs have been read and are scheduled by this entry.", platformRelease},
	{ShardGivenUp, slog.LevelInfo, "shard given up", "This entry no longer owns the shard. The attribute reason says why.", platformRelease},
	{AppendRetried, slog.LevelWarn, "append retried", "An append to the store failed or was not answered and is sent again with the same sequence number.", platformRelease},
	{TailRestarted, slog.LevelInfo, "tail restarted", "A topic is read anew from the newest record of each key, because records that had not been read were removed.", platformRelease},
	{RecordUnreadable, slog.LevelError, "record unreadable", "A record in the store could not be decoded and was passed over.", platformRelease},
	{ConfigurationInForce, slog.LevelInfo, "configuration in force", "This process decides by this version of the configuration from here on.", platformRelease},
	{ConfigurationRefused, slog.LevelError, "configuration refused", "A version of the configuration can't be decoded. The version before it stays in force.", platformRelease},

	{StoreSlow, slog.LevelWarn, "store slow", "An append took much longer than the store usually does. The attribute took says how long; all that waits for the store waits as long.", platformRelease},
	{OwnersUnknown, slog.LevelWarn, "owners unknown", "The store does not say which entry owns which shard. The owners known before are asked on until it does.", preemptionRelease},
	{LearnedTakenUp, slog.LevelInfo, "learned interference taken up", "What earlier processes had learned of which tasks disturb which was read from the store and is told to the agents.", reportRelease},
	{LearnedNotKept, slog.LevelWarn, "learned interference not kept", "The store refused what was learned of interference, since another entry has taken the shard over that it is kept with.", reportRelease},
	{CandidacyBegun, slog.LevelInfo, "candidacy begun", "This entry offers itself as an owner of shards from here on and connects to all agents. The attribute strong says whether its machine bears the work of an owner; others are candidates only while they are needed.", candidacyRelease},
	{CandidacyEnded, slog.LevelInfo, "candidacy ended", "This entry no longer offers itself as an owner of shards: enough others do.", candidacyRelease},

	{JobAccepted, slog.LevelInfo, "job accepted", "A job is in the store and its client was told so.", platformRelease},
	{JobRefused, slog.LevelInfo, "job refused", "A job was not taken and will never run from this request. The attributes give the reason and when to come back.", platformRelease},
	{JobUnsettled, slog.LevelWarn, "job unsettled", "The store did not say in time whether it took the job. The client was told neither yes nor no and hands the job in again.", platformRelease},
	{JobCancelAccepted, slog.LevelInfo, "job cancellation accepted", "The cancellation is in the store and the client was told so.", platformRelease},
	{JobAsked, slog.LevelDebug, "job asked for", "A client asked for a job's state.", platformRelease},
	{JobTaken, slog.LevelInfo, "job taken up", "The owner of the job's shard has read the job and schedules it.", platformRelease},
	{JobEnded, slog.LevelInfo, "job ended", "The job is completed, failed or cancelled, and that is in the store.", platformRelease},
	{RunPlaced, slog.LevelInfo, "run placed", "A place was chosen for a task. The attributes give the worker, what was believed to be free there and the age of that belief.", platformRelease},
	{RunOrdered, slog.LevelDebug, "run ordered", "The start is in the store and the order went to the agent.", platformRelease},
	{RunStarted, slog.LevelDebug, "run started", "The agent confirmed that the run has started.", platformRelease},
	{RunNotStarted, slog.LevelInfo, "run not started", "The agent proved that the run has not started and never will. The task waits for another place.", platformRelease},
	{RunEnded, slog.LevelInfo, "run ended", "A worker listed the end of a run. At an agent, connection is the one on which its start was ordered, as event 907 counts them; 0 for a run that the agent found.", platformRelease},
	{RunLost, slog.LevelWarn, "run lost", "A run is over for certain although no end was listed: its worker's incarnation ended, or its lease must have run out. The task waits again. At an agent, lived is how long the run was on the worker: from its start to the worker's last sign of life.", platformRelease},
	{RunStopOrdered, slog.LevelInfo, "run stop ordered", "The agent was told to stop a run.", platformRelease},
	{AdviceTaken, slog.LevelInfo, "advice taken", "The service that knows which workers may run a step answered.", platformRelease},
	{RunPreempted, slog.LevelInfo, "run pre-empted", "A more urgent task found no room: at an owner, its agent was asked to make room; at an agent, a run was stopped, which goes on elsewhere from its checkpoint.", preemptionRelease},
	{AdviceFailed, slog.LevelWarn, "advice failed", "The service that knows which workers may run a step did not answer; it is asked again.", platformRelease},
	{RunCrashed, slog.LevelWarn, "run crashed", "A run is over because its worker's incarnation has crashed just after the start, so that the run may be why. The attribute suspect says whether a worker had crashed under the task before, beside whether it had not and one that had was started beside it, lived how long the run was on the worker, to its last sign of life.", crashSuspectRelease},
	{TaskGivenUp, slog.LevelWarn, "task given up", "Worker after worker crashed just after it had started the task, so it will not be started again and its job has failed. The attribute crashes says how many did in a row. Look at what the task runs.", crashSuspectRelease},
	{EndOfEarlierRun, slog.LevelWarn, "end of an earlier run", "An agent told the end of a run as done whose task has been started again meanwhile. The attribute present is the attempt of the task's present run, state that of the task..", endTrackingRelease},

	{AgentAttached, slog.LevelInfo, "agent attached", "This owner's connection to an agent is up.", platformRelease},
	{AgentLost, slog.LevelWarn, "agent lost", "The connection to an agent is gone. Its runs go on until their lease ends.", platformRelease},
	{WorkerSeen, slog.LevelInfo, "worker seen", "A worker's incarnation sent its first heartbeat, or a changed one.", platformRelease},
	{WorkerLeft, slog.LevelInfo, "worker left", "A worker said that it ends.", platformRelease},
	{WorkerLost, slog.LevelWarn, "worker lost", "A worker's incarnation is over for certain; everything that ran on it has ended. The attribute how says how that became known, draining whether it had said that it leaves, unanswered how long ago its last sign of life was.", platformRelease},
	{WorkerSilent, slog.LevelWarn, "worker silent", "The worker does not answer its agent.", platformRelease},
	{WorkerBack, slog.LevelInfo, "worker back", "The worker answers its agent again.", platformRelease},
	{OwnerAttached, slog.LevelInfo, "owner attached", "An owner's connection to this agent is up.", platformRelease},
	{OwnerLost, slog.LevelWarn, "owner lost", "An owner's connection to this agent is gone. Its runs go on until its last grant ends.", platformRelease},
	{ShardClaimed, slog.LevelDebug, "shard claimed", "An owner told the agent that it owns shards from here on.", platformRelease},
	{OrderRefused, slog.LevelInfo, "order refused", "A start was refused before or by the worker, which has not started it.", platformRelease},
	{OrderUnsettled, slog.LevelWarn, "order unsettled", "The worker gave no answer to a start. The fencing token is raised so that it can't take effect later, and the worker is asked what runs.", platformRelease},
	{OrderSettled, slog.LevelInfo, "order settled", "It is known whether a start without an answer took effect.", platformRelease},
	{RunAdopted, slog.LevelInfo, "run adopted", "An agent that has just started found a run on its worker.", platformRelease},
	{RunUnowned, slog.LevelWarn, "run unowned", "The owner of a run has been silent until its grant was nearly over; the run is stopped.", platformRelease},
	{FillsPaced, slog.LevelInfo, "fills paced", "The tasks that fill a worker were slowed down or let go on, because of the tail of the tasks that serve there.", platformRelease},
	{AgentRegistered, slog.LevelInfo, "agent registered", "The agent's address is in the store, where owners find it.", platformRelease},
	{RunEvicted, slog.LevelInfo, "run evicted", "A filling run was stopped because serving ones beside it bear hardly any of it; it goes on elsewhere from its checkpoint.", platformRelease},
	{RunMovedAhead, slog.LevelInfo, "run moved ahead", "A run that would not end before its worker leaves was stopped, so that it goes on elsewhere with nothing lost.", preemptionRelease},
	{TargetMissed, slog.LevelInfo, "target missed", "A serving run's tail has gone over its target. The attribute beside lists the images of the tasks that fill the same worker.", reportRelease},
	{TargetKept, slog.LevelInfo, "target kept again", "A serving run's tail is below its target again; after says how long it was not.", reportRelease},
	{ConnectionSilent, slog.LevelWarn, "connection silent", "An agent did not answer its owner, or an owner did not speak to its agent, on a connection that has not ended: it may carry nothing any more. It is closed and made anew, and everything is told again. The attribute unanswered says for how long.", largeFleetRelease},
	{HeartbeatStale, slog.LevelInfo, "heartbeat stale", "A heartbeat of an incarnation that has been replaced at its address arrived late. It is passed over.", largeFleetRelease},
	{MessagesSent, slog.LevelInfo, "messages sent", "How many messages of a kind, and bytes of it, the process has sent to other processes of ambertiller since its last such line; near says whether within its own failure domain. Frames and what TCP adds are left out.", largeFleetRelease},
	{DomainEvacuated, slog.LevelInfo, "failure domain evacuated", "An operator wants nothing more to be started in the failure domain. At an owner, it is told to all agents with the next message; at an agent, its worker is given no starts from here on. What runs there goes on.", evacuationRelease},
	{DomainGivenBack, slog.LevelInfo, "failure domain given back", "The operator has taken the evacuation of the failure domain away; tasks may be started there again.", evacuationRelease},
	{HeartbeatRefused, slog.LevelWarn, "heartbeat refused", "A heartbeat could not be read, lacks a field or names a state that is none. It names no worker to use; what other heartbeats said holds.", crashSuspectRelease},
	{MachineWasSuspended, slog.LevelWarn, "machine was suspended", "The machine stood still for the time in the attribute slept, which its steady clock does not count. Grants and the ownership of shards have become older by as much.", crashSuspectRelease},
	{OrderTaken, slog.LevelDebug, "order taken", "An agent sends a start on to its worker. The attributes give the owner that ordered it and the connection on which it came, counted from the start of the agent.", endTrackingRelease},
	{EndWaits, slog.LevelWarn, "end waits", "The end of a run is not in the store a second after the worker listed it: its owner is not heard, or waits for the store. The attribute owner is empty where no owner that has claimed its shard is connected.", endTrackingRelease},
	{EndKept, slog.LevelInfo, "end kept", "The end of a run that had waited is in the store. The attribute after says for how long it had waited.", endTrackingRelease},
	{EndVoid, slog.LevelWarn, "end void", "The end of a run was not in the store when its owner's grant was over, so the worker's lease was let run out: the owner may have started the task elsewhere, and the end does not count. Everything else on the worker has ended with the lease.", endTrackingRelease},
	{ConnectionReplaced, slog.LevelInfo, "connection replaced", "An owner has claimed its shards on a newer connection, so this one is ended. What was on its way there has no effect. The attribute by counts the newer one.", endTrackingRelease},
	{WorkerStartedAgain, slog.LevelWarn, "worker started again", "The worker says of itself that it started at another moment than the incarnation that the agent takes care of: it has started again under its id. The attributes give both moments, in milliseconds since 1970, and up to which number the earlier one had been told to forget its ends.", incarnationRelease},
	{EndPassedOver, slog.LevelError, "end passed over", "The worker listed the end of a run under a number that another end had already. The end is not read, so its owner never hears of it.", incarnationRelease},
}

// Catalogue returns every event, by rising code.
func Catalogue() []Entry {
	return append([]Entry(nil), catalogue...)
}
