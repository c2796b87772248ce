package event

import "log/slog"

// Code is the number of an event. It is never reused for another event.
type Code int

// Codes are grouped by hundreds: 1xx for the process, 2xx for routing, 3xx for placement and tasks, 4xx for
// the log and the state, 5xx for configuration and policies, 6xx for guards, 7xx for the platform's store,
// 8xx for jobs, 9xx for agents, and 10xx for what owners, agents and gateways decide together while resources
// are short.
const (
	ProcessStarted Code = 100 + iota
	ProcessStopping
	ProcessStopped
	SettingsReloaded
	SettingsRefused
	ProcessFailed
	TurnSlow
)

// Routing of requests.
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

// The log, and the state that is computed from it.
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

// The platform's store and the ownership of shards.
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

// What owners and gateways know of the backlog of all owners.
const (
	JobForecast Code = 1000 + iota
	BacklogKnown
	BacklogUnknown
)

// Admission while more jobs are submitted than can end in time.
const (
	JobReturned Code = 1010 + iota
)

// LinesDropped is about the log itself.
const LinesDropped Code = 190

// Entry describes an event of the catalogue.
type Entry struct {
	Code        Code
	Level       slog.Level
	Title       string // the message of the log line
	Description string // what the event means to an operator
	Since       string // the release that added the event
}

// The releases that added events, each named after its main feature.
const (
	firstRelease    = "0.1"
	platformRelease = "0.2"
	// preemptionRelease supports pre-emption and workers that announce their leave.
	preemptionRelease = "0.3"
	// reportRelease generates reports from logs.
	reportRelease = "0.4"
	// largeFleetRelease supports deployments of hundreds of machines.
	largeFleetRelease = "0.5"
	// evacuationRelease supports the evacuation of failure domains, for work that has moved to others.
	evacuationRelease = "0.6"
	// crashSuspectRelease detects tasks that crash workers.
	crashSuspectRelease = "0.7"
	// endTrackingRelease logs how the end of each run was settled.
	endTrackingRelease = "0.8"
	// incarnationRelease distinguishes the incarnations of a worker.
	incarnationRelease = "0.9"
	// candidacyRelease makes only some entries of a fleet candidates for owning shards.
	candidacyRelease = "0.10"
	// hardLoadRelease lets owners, agents and gateways decide together while resources are short.
	hardLoadRelease = "0.11"
	// slowLinkRelease makes reads of the store independent of the speed of the link.
	slowLinkRelease = "0.12"
	// sharedEndsRelease lets ends of runs survive the owner and the agent that know them.
	sharedEndsRelease = "0.13"
	// boundedWorkRelease bounds what owners and agents do in one turn and put into one message.
	boundedWorkRelease = "0.14"
)

// Shares of queues.
const (
	SharesChanged Code = 1020 + iota
)

// Jobs, their runs and their ends.
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

// Moves of fill runs to other workers.
const (
	MoveOffered Code = 1040 + iota
	MoveAnswered
	MoveReserved
	MoveDeclined
	MoveReservationEnded
)

// Ownership of shards while the store does not answer.
const (
	OwnershipUnconfirmed Code = 1050 + iota
	OwnershipConfirmed
)

// What is known of the records in the store, and of the configuration that operators have published there.
const (
	ConfigurationUnconfirmed Code = 1060 + iota
	ConfigurationConfirmed
	QueueUnknown
	RecordsUnread
	RecordsReadAgain
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
	EndShared
	SharedEndApplied
	EndsLeftBehind
	MessageUnsent
)

// catalogue lists all events. docs/EVENTS.md is generated from it.
var catalogue = []Entry{
	{ProcessStarted, slog.LevelInfo, "process started", "The process has started all its services. The attributes give its role, name and addresses.", firstRelease},
	{ProcessStopping, slog.LevelInfo, "process stopping", "A planned stop has begun. New work is refused, and work in flight is finished within the stated time.", firstRelease},
	{ProcessStopped, slog.LevelInfo, "process stopped", "The planned stop has ended. The attribute error says what it did not complete in time.", firstRelease},
	{SettingsReloaded, slog.LevelInfo, "settings reloaded", "The settings file was read again.", platformRelease},
	{SettingsRefused, slog.LevelError, "settings refused", "The settings file has changed and is invalid. The previous settings stay in force.", platformRelease},
	{ProcessFailed, slog.LevelError, "process failed", "The program has a bug and ends because of it. The attribute fault describes the failure, and frames lists the places in the code that led to it, innermost first. Include both in a bug report.", preemptionRelease},
	{TurnSlow, slog.LevelWarn, "turn slow", "One turn of the event loop took longer than its threshold, and everything else that needs the loop waited for it. The attributes give the time of the functions and of the tick, how many functions ran, and how many waited at the end. It is logged once a second at most; slow counts the turns since.", boundedWorkRelease},

	{RequestRouted, slog.LevelInfo, "request routed", "A request was sent to a backend server, and its whole answer was passed on. The attributes give the worker, its estimated load, how many workers were considered, and how many of them were rejected for which reason.", firstRelease},
	{RequestNotRun, slog.LevelInfo, "request not run", "A request was given up and has certainly not run. The attribute reason says why, and retry_after when the caller may try again.", firstRelease},
	{RequestUnknown, slog.LevelWarn, "request outcome unknown", "A request was given up after a backend server may have run it. It is not tried again unless it is repeatable.", firstRelease},
	{RequestRetried, slog.LevelInfo, "request retried", "A request was sent to another worker, because it has certainly not run on the first one or because it is repeatable.", firstRelease},
	{ClaimTaken, slog.LevelInfo, "claim taken", "The log accepted this entry's claim to run a request that must not be repeated.", firstRelease},
	{ClaimLost, slog.LevelInfo, "claim lost", "Another holder had claimed the same key first. This entry did not run the request.", firstRelease},
	{ClaimReleased, slog.LevelInfo, "claim released", "A claim was released because its request has certainly not run.", firstRelease},
	{AnswerCut, slog.LevelWarn, "answer cut", "An answer ended before it was complete. The connection to the caller was aborted, so that the caller can't mistake the part for the whole answer.", firstRelease},

	{TaskPlaced, slog.LevelInfo, "task placed", "A task was assigned to a worker, and the log accepted the assignment. The attributes give the score, the policy version, the second-best worker, and how many workers were rejected for which constraint.", firstRelease},
	{TaskWaiting, slog.LevelInfo, "task waiting", "No worker can take the task at present. The attributes count the workers rejected for each constraint.", firstRelease},
	{PlacementLost, slog.LevelInfo, "placement lost", "Another entry changed the task first, so this entry's assignment did not take effect.", firstRelease},
	{StartRefused, slog.LevelInfo, "start refused", "The guard refused to start the task. The task will certainly not run under this attempt.", firstRelease},
	{TaskRecorded, slog.LevelInfo, "task outcome recorded", "The end of an attempt, reported by a guard, was recorded in the log.", firstRelease},
	{TaskRevoked, slog.LevelInfo, "task revoked", "An attempt was asked to stop because of a cancellation, a drain or an eviction.", firstRelease},
	{PolicyFellBack, slog.LevelWarn, "policy fell back", "The policy failed during a decision, and the built-in score was used instead. Correct the policy with `ambertiller policy publish`.", firstRelease},
	{TaskSubmitted, slog.LevelInfo, "task submitted", "A task was accepted into the log.", firstRelease},
	{TaskCancelled, slog.LevelInfo, "task cancelled", "A cancellation was accepted into the log.", firstRelease},
	{WorkerDrained, slog.LevelInfo, "worker drain changed", "An operator began or ended the drain of a worker.", firstRelease},
	{WorkerSuspected, slog.LevelWarn, "worker suspected", "A worker's guard has been silent for too long. Its leases are no longer renewed, but its tasks are placed elsewhere only once their leases have certainly expired.", firstRelease},
	{AttemptLost, slog.LevelWarn, "attempt lost", "The lease of an attempt on a suspected worker has expired by the worker's own clock, even if that clock runs as slowly as the assumed bound on clock rates allows. The task may be placed again.", firstRelease},

	{AppendFailed, slog.LevelWarn, "append failed", "The platform's log refused an append, which did not take effect.", firstRelease},
	{AppendUnsettled, slog.LevelWarn, "append unsettled", "The platform's log did not answer an append. Reading the log shows whether it took effect.", firstRelease},
	{ReadFailed, slog.LevelWarn, "read failed", "The platform's log could not be read. The state stays as it was, and work that needs the log is refused as not run.", firstRelease},
	{BatchUnreadable, slog.LevelError, "batch unreadable", "A record in the log could not be decoded. It is skipped by all readers alike.", firstRelease},
	{FormatTooNew, slog.LevelError, "format too new", "The log holds records in a newer format than this build knows. The instance stops deciding. Replace it by a newer build.", firstRelease},
	{SnapshotWritten, slog.LevelInfo, "snapshot written", "A snapshot of the state was written to the log.", firstRelease},
	{SnapshotRestored, slog.LevelInfo, "snapshot restored", "The state was restored from a snapshot in the log.", firstRelease},
	{SnapshotFailed, slog.LevelWarn, "snapshot failed", "A snapshot could not be written completely. This entry or another one tries again.", firstRelease},

	{DocumentPublished, slog.LevelInfo, "document published", "A configuration or policy was accepted into the log.", firstRelease},
	{DocumentConflict, slog.LevelInfo, "document conflict", "A publication was rejected, because another one had been accepted since the version on which it was based.", firstRelease},
	{DocumentInForce, slog.LevelInfo, "document in force", "This instance now decides by this version of the document.", firstRelease},
	{DocumentRejected, slog.LevelError, "document rejected", "An accepted document can't be used by this build. The previous version stays in force on this instance.", firstRelease},

	{AdmissionRefused, slog.LevelInfo, "admission refused", "The guard refused work before running it. The attribute reason is the typed reason.", firstRelease},
	{TaskStarted, slog.LevelInfo, "task started", "The worker started an attempt of a task.", firstRelease},
	{TaskStopped, slog.LevelInfo, "task stopped", "The worker stopped an attempt of a task, and reports its checkpoint if it has one.", firstRelease},
	{TaskEnded, slog.LevelInfo, "task ended", "An attempt of a task finished or failed on the worker.", firstRelease},
	{TaskAdopted, slog.LevelInfo, "task adopted", "A new guard took over an attempt that was already running on the worker.", firstRelease},
	{TaskOrphanStopped, slog.LevelWarn, "orphan stopped", "The guard stopped an attempt that is no longer the current one of its task.", firstRelease},
	{GuardLeaving, slog.LevelInfo, "guard leaving", "The guard takes no new work, and finishes the work in flight.", firstRelease},
	{ReportFailed, slog.LevelWarn, "report failed", "The guard could not report to an entry.", firstRelease},
	{WorkerUnreachable, slog.LevelWarn, "worker unreachable", "The worker's interface did not answer the guard.", firstRelease},
	{LeaseLapsed, slog.LevelWarn, "lease lapsed", "The lease of a task expired without a renewal, and the worker stopped the task.", firstRelease},
	{TaskThrottled, slog.LevelInfo, "task throttled", "An attempt was limited to a share of its processors.", firstRelease},

	{LinesDropped, slog.LevelWarn, "log lines dropped", "The reader of the log was too slow, or lines were written faster than the limit allows. The attribute count is the number of lines dropped since the last such event.", platformRelease},

	{StoreLost, slog.LevelWarn, "store lost", "Calls to the platform's store fail. Work that needs the store waits or is refused as not run.", platformRelease},
	{StoreBack, slog.LevelInfo, "store back", "The platform's store answers again. The attribute after says for how long it did not.", platformRelease},
	{ShardTaken, slog.LevelInfo, "shard taken", "The store assigned a shard to this entry. From now on the entry writes to it under the given epoch, and earlier owners can't write to it any more.", platformRelease},
	{ShardLoaded, slog.LevelInfo, "shard loaded", "The shard's jobs have been read, and this entry schedules them.", platformRelease},
	{ShardGivenUp, slog.LevelInfo, "shard given up", "This entry no longer owns the shard. The attribute reason says why.", platformRelease},
	{AppendRetried, slog.LevelWarn, "append retried", "An append to the store failed or was not answered, and is sent again with the same sequence number.", platformRelease},
	{TailRestarted, slog.LevelInfo, "tail restarted", "A topic is read again, beginning with the newest record of each key, because records were removed before they had been read.", platformRelease},
	{RecordUnreadable, slog.LevelError, "record unreadable", "A record in the store could not be decoded and was skipped.", platformRelease},
	{ConfigurationInForce, slog.LevelInfo, "configuration in force", "This process decides by this version of the configuration from now on. The attribute bytes is its size, age the time since the version before was last confirmed as the newest one: the new one was published no longer ago.", platformRelease},
	{ConfigurationRefused, slog.LevelError, "configuration refused", "A version of the configuration can't be decoded. The previous version stays in force.", platformRelease},

	{StoreSlow, slog.LevelWarn, "store slow", "An append took much longer than the store usually takes. The attribute took says how long. Everything that waits for the store is delayed by as much.", platformRelease},
	{OwnersUnknown, slog.LevelWarn, "owners unknown", "The store does not say which entry owns which shard. Until it does, the last known owners are assumed to own their shards still.", preemptionRelease},
	{LearnedTakenUp, slog.LevelInfo, "learned interference taken up", "Interference estimates, which say how much tasks disturb each other, were read from the store, where earlier processes had kept what they learned. They are sent to the agents.", reportRelease},
	{LearnedNotKept, slog.LevelWarn, "learned interference not kept", "The store refused the learned interference estimates, because another entry has taken over the shard with which they are stored.", reportRelease},
	{CandidacyBegun, slog.LevelInfo, "candidacy begun", "From now on this entry is a candidate for owning shards and connects to all agents. The attribute strong says whether its machine can bear the load of an owner. Other entries are candidates only while they are needed.", candidacyRelease},
	{CandidacyEnded, slog.LevelInfo, "candidacy ended", "This entry is no longer a candidate for owning shards, because there are enough others.", candidacyRelease},

	{JobAccepted, slog.LevelInfo, "job accepted", "A job is in the store, and its client was told so.", platformRelease},
	{JobRefused, slog.LevelInfo, "job refused", "A job was refused and will never run because of this request. The attributes give the reason, and when the client may try again.", platformRelease},
	{JobUnsettled, slog.LevelWarn, "job unsettled", "The store did not answer in time whether it took the job. The client was told neither that it did nor that it did not, and has to submit the job again.", platformRelease},
	{JobCancelAccepted, slog.LevelInfo, "job cancellation accepted", "The cancellation is in the store, and the client was told so.", platformRelease},
	{JobAsked, slog.LevelDebug, "job asked for", "A client queried the state of a job.", platformRelease},
	{JobTaken, slog.LevelInfo, "job taken up", "The owner of the job's shard has read the job and schedules it.", platformRelease},
	{JobEnded, slog.LevelInfo, "job ended", "The job is completed, failed or cancelled, and its end is in the store.", platformRelease},
	{RunPlaced, slog.LevelInfo, "run placed", "A worker was chosen for a task. The attributes give the worker, the resources that were believed to be free there, and the age of that information.", platformRelease},
	{RunOrdered, slog.LevelDebug, "run ordered", "The start is in the store, and the order was sent to the agent.", platformRelease},
	{RunStarted, slog.LevelDebug, "run started", "The agent confirmed that the run has started.", platformRelease},
	{RunNotStarted, slog.LevelInfo, "run not started", "The agent confirmed that the run has not started and never will. The task waits to be placed again.", platformRelease},
	{RunEnded, slog.LevelInfo, "run ended", "A worker listed the end of a run. At an agent, the attribute connection is the number of the connection on which the start of the run was ordered, as in event 907. It is 0 for a run that the agent adopted.", platformRelease},
	{RunLost, slog.LevelWarn, "run lost", "A run is certainly over although the worker listed no end: its worker's incarnation has ended, or its lease must have expired. The task waits to be placed again. At an agent, the attribute lived says how long the run was on the worker, from its start to the worker's last sign of life.", platformRelease},
	{RunStopOrdered, slog.LevelInfo, "run stop ordered", "The agent was told to stop a run.", platformRelease},
	{AdviceTaken, slog.LevelInfo, "advice taken", "The service that knows which workers may run a step answered.", platformRelease},
	{RunPreempted, slog.LevelInfo, "run pre-empted", "There was no room for a more urgent task. At an owner, an agent was asked to make room. At an agent, a run was stopped, which resumes elsewhere from its checkpoint.", preemptionRelease},
	{AdviceFailed, slog.LevelWarn, "advice failed", "The service that knows which workers may run a step did not answer. It is asked again.", platformRelease},
	{RunCrashed, slog.LevelWarn, "run crashed", "A run is over because its worker's incarnation crashed just after the start of the run, so the run may be the cause. The attribute suspect says whether a worker had crashed under the task before. The attribute beside says whether none had, but another run that had just started on the worker was a suspect. The attribute lived says how long the run was on the worker, until the worker's last sign of life.", crashSuspectRelease},
	{TaskGivenUp, slog.LevelWarn, "task given up", "Several workers in a row crashed just after they had started the task, so it will not be started again and its job has failed. The attribute crashes is the number of these crashes. Check what the task runs.", crashSuspectRelease},
	{EndOfEarlierRun, slog.LevelWarn, "end of an earlier run", "An agent reported that a run is done whose task has been started again since. The attribute present is the attempt of the task's present run, and state is the state of the task.", endTrackingRelease},

	{AgentAttached, slog.LevelInfo, "agent attached", "This owner's connection to an agent is established.", platformRelease},
	{AgentLost, slog.LevelWarn, "agent lost", "The connection to an agent is lost. Its runs continue until their lease ends.", platformRelease},
	{WorkerSeen, slog.LevelInfo, "worker seen", "A worker's incarnation sent its first heartbeat, or one that differs from the last.", platformRelease},
	{WorkerLeft, slog.LevelInfo, "worker left", "A worker announced that it ends.", platformRelease},
	{WorkerLost, slog.LevelWarn, "worker lost", "A worker's incarnation is certainly over, and everything that ran on it has ended. The attribute how says how that became known, draining whether the worker had announced that it would leave, and unanswered how long ago its last sign of life was.", platformRelease},
	{WorkerSilent, slog.LevelWarn, "worker silent", "The worker does not answer its agent.", platformRelease},
	{WorkerBack, slog.LevelInfo, "worker back", "The worker answers its agent again.", platformRelease},
	{OwnerAttached, slog.LevelInfo, "owner attached", "An owner's connection to this agent is established.", platformRelease},
	{OwnerLost, slog.LevelWarn, "owner lost", "An owner's connection to this agent is lost. Its runs continue until its last grant ends. The attribute error says why the stream ended, such as a message above the size that is accepted.", platformRelease},
	{ShardClaimed, slog.LevelDebug, "shard claimed", "An owner told the agent that it owns shards from now on.", platformRelease},
	{OrderRefused, slog.LevelInfo, "order refused", "A start was refused, by the agent or by the worker. The worker has not started the run.", platformRelease},
	{OrderUnsettled, slog.LevelWarn, "order unsettled", "The worker did not answer an order. After a start, the fencing token is raised so that the start can't take effect later, and the worker is asked which runs it has.", platformRelease},
	{OrderSettled, slog.LevelInfo, "order settled", "It is known whether a start without an answer took effect.", platformRelease},
	{RunAdopted, slog.LevelInfo, "run adopted", "An agent that has just started found a run on its worker.", platformRelease},
	{RunUnowned, slog.LevelWarn, "run unowned", "The owner of a run has been silent until its grant was nearly over. The run is stopped.", platformRelease},
	{FillsPaced, slog.LevelInfo, "fills paced", "Fill tasks on a worker were slowed down or sped up again, because of the tail latency of the serving tasks there.", platformRelease},
	{AgentRegistered, slog.LevelInfo, "agent registered", "The agent's address is in the store, where owners find it.", platformRelease},
	{RunEvicted, slog.LevelInfo, "run evicted", "A fill run was stopped because the serving runs on the same worker tolerate hardly any of its load. The task resumes elsewhere, from its checkpoint if it has one.", platformRelease},
	{RunMovedAhead, slog.LevelInfo, "run moved ahead", "A run that would not end before its worker leaves was stopped early, so that it resumes elsewhere without losing its progress.", preemptionRelease},
	{TargetMissed, slog.LevelInfo, "target missed", "The tail latency of a serving run exceeds its target. The attribute beside lists the images of the fill tasks on the same worker.", reportRelease},
	{TargetKept, slog.LevelInfo, "target kept again", "The tail latency of a serving run is below its target again. The attribute after says for how long it was not.", reportRelease},
	{ConnectionSilent, slog.LevelWarn, "connection silent", "An agent did not answer its owner, or an owner sent nothing to its agent, on a connection that has not ended. The connection may be broken without either side being told, so it is closed and opened again, and all state is sent again. The attribute unanswered says how long the silence lasted.", largeFleetRelease},
	{HeartbeatStale, slog.LevelInfo, "heartbeat stale", "A heartbeat arrived late, from an incarnation that has been replaced at its address. It is ignored.", largeFleetRelease},
	{MessagesSent, slog.LevelInfo, "messages sent", "How many messages of a kind, and how many bytes, the process has sent to other processes of ambertiller since the last such event. The attribute near says whether the receivers are in the process's own failure domain. Framing and TCP overhead are not included.", largeFleetRelease},
	{DomainEvacuated, slog.LevelInfo, "failure domain evacuated", "An operator has requested that nothing more be started in the failure domain. At an owner, all agents are told with the next message. At an agent, the worker is sent no starts from now on. Runs that are there already continue.", evacuationRelease},
	{DomainGivenBack, slog.LevelInfo, "failure domain given back", "The operator has withdrawn the evacuation of the failure domain. Tasks may be started there again.", evacuationRelease},
	{HeartbeatRefused, slog.LevelWarn, "heartbeat refused", "A heartbeat could not be decoded, lacks a field or reports an unknown state. It is ignored: no worker is used because of it, and what other heartbeats reported still holds.", crashSuspectRelease},
	{MachineWasSuspended, slog.LevelWarn, "machine was suspended", "The machine was suspended for the time in the attribute slept, which its monotonic clock does not count. Grants and the ownership of shards have aged by as much.", crashSuspectRelease},
	{OrderTaken, slog.LevelDebug, "order taken", "An agent passes a start on to its worker. The attributes give the owner that ordered it and the connection on which the order came, numbered from the start of the agent.", endTrackingRelease},
	{EndWaits, slog.LevelWarn, "end waits", "The end of a run is not in the store one second after the worker listed it, because its owner is silent or waits for the store. The attribute owner is empty if no owner that has claimed the shard is connected.", endTrackingRelease},
	{EndKept, slog.LevelInfo, "end kept", "The end of a run is in the store, after a delay that event 929 reported. The attribute after says how long the end had waited.", endTrackingRelease},
	{EndVoid, slog.LevelWarn, "end void", "The end of a run was not in the store when its owner's grant was over, so the worker's lease was allowed to expire. The end does not count, because the owner may have started the task elsewhere. Everything else on the worker has ended with the lease.", endTrackingRelease},
	{ConnectionReplaced, slog.LevelInfo, "connection replaced", "An owner has claimed its shards on a newer connection, so this one is closed. Messages in transit on it have no effect. The attribute by is the number of the newer connection.", endTrackingRelease},
	{WorkerStartedAgain, slog.LevelWarn, "worker started again", "The worker reports another start time than that of the incarnation that the agent manages: it has restarted under the same ID. The attributes give both start times, in milliseconds since 1970, and the number up to which the earlier incarnation had been told to forget its ends.", incarnationRelease},
	{EndPassedOver, slog.LevelError, "end passed over", "The worker listed the end of a run under a number that another end has already. The end is ignored, so its owner never learns of it.", incarnationRelease},
	{EndShared, slog.LevelInfo, "end shared", "An agent told all owners the end of a run, since the owner of its shard may not be able to store it before this machine is gone: its worker drains, does not answer or has ended, or the end is not in the store one second after the worker listed it.", sharedEndsRelease},
	{SharedEndApplied, slog.LevelInfo, "shared end applied", "An owner that has just loaded a shard applied an end that an agent had shared before. It would otherwise have waited until the last grant for the run must have expired, if the agent is gone. The attribute age says how long ago the end was received.", sharedEndsRelease},
	{EndsLeftBehind, slog.LevelWarn, "ends left behind", "An agent stopped although ends of runs whose worker is gone, or the record that the worker is over, were not in the store when the time for a planned stop was over. The owners that were connected know the ends (event 935).", sharedEndsRelease},
	{MessageUnsent, slog.LevelWarn, "message unsent", "An owner could not send a message to an agent, and closes the connection. The attribute error says whether the connection failed or the message exceeds what the agent accepts.", boundedWorkRelease},

	{JobForecast, slog.LevelInfo, "job forecast", "A job has ended of which the end had been forecast when its owner read it. The attributes give the forecast of the start and of the end with its deviation, the age of the oldest backlog that it was based on, the work ahead of the job, the work that had ended in the 5 s before and the processors in use, the end expected by these before it was corrected by earlier outcomes, the time that the job took, and the ratio of that time to the expected one.", hardLoadRelease},
	{BacklogKnown, slog.LevelInfo, "backlog known", "The gateway knows the backlogs of all owners again, so it can forecast when jobs end. The attribute age is that of the oldest one.", hardLoadRelease},
	{BacklogUnknown, slog.LevelWarn, "backlog unknown", "The gateway has no recent backlog of the shards in the attribute missing. It forecasts nothing, and no job is refused by a forecast, until it has.", hardLoadRelease},
	{JobReturned, slog.LevelInfo, "job returned", "The caller of a job that was refused for load came back. The attributes say how long after the first refusal and after how many, how late after the time that it was told, whether the job was admitted this time, and otherwise when the caller may try again. The attribute asked is false if the job came in without the owner being asked, because its forecast was in time.", hardLoadRelease},
	{SharesChanged, slog.LevelInfo, "shares changed", "The shares of queues in the processors of their service have changed, or have been computed for the first time. There are too few workers: within a second, tasks of two queues with the same priority found no worker with free resources, or those of one that uses less than its share, while another queue has a demand; and some have since. The attribute queues lists for each queue with a demand the room of its service, its share, what its running tasks use, and its demand, which includes its waiting tasks. The attribute peers is the number of other owners whose reports counted, and peers_age the age of the oldest of them; without any, only the jobs of this owner are counted. Logged at most once a second.", hardLoadRelease},
	{MoveOffered, slog.LevelInfo, "move offered", "An agent asked the owner of a slowed fill run whether another worker would take it. The run goes on meanwhile. The attributes give the run's pace, the work it has left, the time that the move would save, the least that it has to save, and the age of the worker's readings.", hardLoadRelease},
	{MoveAnswered, slog.LevelInfo, "move answered", "What became of an agent's offer. The attribute outcome is accepted, and the run is stopped; declined, as no worker tolerates the run or the move would save too little; unanswered, as no answer came in time; or needless, as the run has ended or goes faster again, or another run of the worker has just been evicted. Except for accepted, the run goes on.", hardLoadRelease},
	{MoveReserved, slog.LevelInfo, "move reserved", "An owner accepted an offer and reserved room for the run on another worker. The attributes give the pace at which the run goes now, the time that the move saves, the least that it has to save, how often the task has been interrupted, what the destination's serving tasks tolerate, and the age of that information.", hardLoadRelease},
	{MoveDeclined, slog.LevelDebug, "move declined", "An owner declined an offer. The attribute reason says why. While no worker tolerates the run, it stays slowed where it is.", hardLoadRelease},
	{MoveReservationEnded, slog.LevelInfo, "move reservation ended", "Room that was reserved for a run is not reserved any more. The attribute reason is used if the run was stopped and its task was placed there, placed elsewhere if only another worker fitted by then, or else says why that did not happen. The attribute after says how long the room was reserved.", hardLoadRelease},
	{OwnershipUnconfirmed, slog.LevelWarn, "ownership unconfirmed", "The store has not confirmed the ownership of this entry's shards for so long that it may have assigned them to others. The entry considers none of their runs lost until the store answers a join, and places tasks only of shards for which the store has just accepted an append. The attribute shards says how many shards the entry owns as far as it knows, and since how long ago the last join that was answered had been sent.", hardLoadRelease},
	{OwnershipConfirmed, slog.LevelInfo, "ownership confirmed", "After event 1050, the store has confirmed the ownership of all shards that this entry still has. Shards that it has lost, or all if it stops to own any, are given up by then (event 704). The attribute after says how long ago the last join that was answered before event 1050 had been sent.", hardLoadRelease},

	{ConfigurationUnconfirmed, slog.LevelWarn, "configuration unconfirmed", "A read of the records that operators write failed, so this gateway does not know whether its configuration is the newest one. The attribute age says for how long it has not known that, error why the read failed. Further failures are counted in event 1061.", slowLinkRelease},
	{ConfigurationConfirmed, slog.LevelInfo, "configuration confirmed", "After event 1060, this gateway knows again that its configuration is the newest one. The attribute after says for how long it had not known that, reads how many reads had failed.", slowLinkRelease},
	{QueueUnknown, slog.LevelInfo, "queue unknown", "A request was answered with 404 because the configuration in force has no queue for its host and path. The attributes give the version of the configuration and the time since it was confirmed as the newest one.", slowLinkRelease},
	{RecordsUnread, slog.LevelWarn, "records unread", "A read of the jobs of a shard, or of the registered agents, failed, so this owner may not know the newest ones. The attribute error says why. Further failures are counted in event 1064.", slowLinkRelease},
	{RecordsReadAgain, slog.LevelInfo, "records read again", "After event 1063, reads of the partition succeed again. The attribute reads says how many had failed.", slowLinkRelease},
}

// Catalogue returns a copy of the catalogue.
func Catalogue() []Entry {
	return append([]Entry(nil), catalogue...)
}
