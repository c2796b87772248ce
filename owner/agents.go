package owner

import (
	"context"
	"log/slog"
	"time"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/telemetry"
	"ambertiller.example/ambertiller/wire"
)

const (
	agentsPart = 0
	mailLength = 64
	// agentsWait is how long a read waits for an agent to register.
	agentsWait   = 4 * time.Second
	dialTimeout  = time.Second
	attachPause  = 200 * time.Millisecond
	attachSlower = 2 * time.Second
)

// agentView is what the owner knows of one agent and its worker.
type agentView struct {
	address string
	link    *link // nil while not attached
	id      string
	status  *wire.WorkerStatus
	heardAt time.Time
	uptime  time.Duration
	// grantEnd is when the last grant must have ended, by this owner's clock.
	grantEnd time.Time

	message  *wire.OwnerMessage // what is to be sent
	sequence int64
	handled  int64
	sentAt   time.Time
	claimed  bool // the present shards are in message, or were sent
	claimSeq map[int]int64

	// learned is what the agent's readings have taught of interference, sharedAt
	// is when it was last told what those of all agents have.
	learned  []*wire.Interference
	sharedAt time.Time

	runs map[string]*runEntry
	// ended holds the incarnations that have ended for certain.
	ended map[string]bool
	// failures counts runs that failed in a row, avoidUntil is how long nothing
	// more than a trial is placed there.
	failures   int
	avoidUntil time.Time
}

// link is one connection to an agent.
type link struct {
	outbox chan *wire.OwnerMessage
	cancel context.CancelFunc
}

// runEntry is a run that is ordered at an agent, or is about to be.
type runEntry struct {
	task    *job.Task
	held    *shard
	name    string
	attempt int32
	place   job.Place
	demand  *wire.Demand
	ticket  string
	// sequence is that of the message with the order: 0 before it is sent.
	sequence int64
	// prior marks a run whose order went out on an earlier connection, or by
	// an earlier owner.
	prior bool
	// inherited marks a run of an earlier owner until an agent has listed it.
	inherited bool
	confirmed bool
	// percent is the progress last told, movedAt when it last changed.
	percent   int32
	movedAt   time.Time
	stopAt    time.Time
	reflected bool // the agent's account of its room includes the run
}

// followAgents keeps up with the agents that are registered in the store.
func (owner *Owner) followAgents(ctx context.Context) {
	next := int64(-1)
	for ctx.Err() == nil {
		tail, err := owner.readAgents(ctx, next)
		if err != nil {
			next = owner.agentsAfter(err, next)
			owner.sleep(ctx, storePause)
			continue
		}
		next = tail.Next
		owner.decisions.Post(func(now time.Time) { owner.noteAgents(tail, now) })
	}
}

func (owner *Owner) agentsAfter(err error, next int64) int64 {
	if platform.IsGone(err) {
		return -1
	}
	return next
}

func (owner *Owner) readAgents(ctx context.Context, next int64) (platform.Tail, error) {
	ctx, cancel := context.WithTimeout(ctx, agentsWait+tailOver)
	defer cancel()
	if next < 0 {
		return owner.options.Store.Newest(ctx, job.TopicAgents, agentsPart)
	}
	return owner.options.Store.Read(ctx, job.TopicAgents, agentsPart, next, agentsWait)
}

func (owner *Owner) noteAgents(tail platform.Tail, now time.Time) {
	for _, record := range tail.Records {
		registered := &job.AgentRecord{}
		if err := proto.Unmarshal(record.Value, registered); err != nil {
			owner.options.Events.Log(owner.ctx, event.RecordUnreadable, slog.String("key", record.Key), slog.Any("error", err))
			continue
		}
		if view := owner.agentAt(registered.GetAddress()); view != nil {
			owner.noteEndedWorkers(view, registered.GetEnded(), now)
		}
	}
}

// noteEndedWorkers releases the runs of incarnations that have ended for certain.
func (owner *Owner) noteEndedWorkers(view *agentView, ended []string, now time.Time) {
	for _, worker := range ended {
		view.ended[worker] = true
	}
	for _, entry := range view.runs {
		if view.ended[entry.place.Worker] {
			owner.release(view, entry, "its worker's incarnation is over", now)
		}
	}
}

// agentAt returns the view of the agent at an address, and begins to connect to
// one that is new.
func (owner *Owner) agentAt(address string) *agentView {
	if view, known := owner.agents[address]; known || address == "" {
		return view
	}
	view := &agentView{
		address: address, status: &wire.WorkerStatus{}, runs: map[string]*runEntry{},
		message: &wire.OwnerMessage{}, claimSeq: map[int]int64{}, ended: map[string]bool{},
	}
	owner.agents[address] = view
	go owner.keepAttached(view)
	return view
}

// keepAttached connects to an agent, again and again.
func (owner *Owner) keepAttached(view *agentView) {
	pause := attachPause
	for owner.ctx.Err() == nil {
		if owner.attach(view) {
			pause = attachPause
		}
		owner.sleep(owner.ctx, pause)
		pause = min(pause*2, attachSlower)
	}
}

// attach connects once and stays until the connection ends. It reports whether
// the agent was reached.
func (owner *Owner) attach(view *agentView) bool {
	ctx, cancel := context.WithCancel(owner.ctx)
	defer cancel()
	dialled, done := context.WithTimeout(ctx, dialTimeout)
	conn, err := owner.options.Dial(dialled, view.address)
	done()
	if err != nil {
		return false
	}
	defer conn.Close() //nolint:errcheck // the connection has ended either way.
	stream, err := wire.NewDRPCAgentClient(conn).Attach(ctx)
	if err != nil {
		return false
	}
	made := &link{outbox: make(chan *wire.OwnerMessage, mailLength), cancel: cancel}
	go owner.send(ctx, made, stream, conn)
	owner.decisions.Post(func(now time.Time) { owner.noteAttached(view, made) })
	heard := false
	for {
		message, err := stream.Recv()
		if err != nil {
			owner.decisions.Post(func(now time.Time) { owner.noteDetached(view, made, err) })
			return heard
		}
		heard = true
		owner.decisions.Post(func(now time.Time) { owner.noteAgent(view, made, message, now) })
	}
}

func (owner *Owner) send(ctx context.Context, made *link, stream wire.DRPCAgent_AttachClient, conn drpc.Conn) {
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-made.outbox:
			if err := stream.Send(message); err != nil {
				made.cancel()
				// The reader reports the end of the connection.
				_ = conn.Close()
				return
			}
		}
	}
}

func (owner *Owner) noteAttached(view *agentView, made *link) {
	view.link = made
	view.message = &wire.OwnerMessage{Owner: Member(owner.options.Name, owner.options.Address)}
	view.sequence, view.handled = 0, 0
	view.claimSeq = map[int]int64{}
	view.claimed = false
	view.sentAt = time.Time{}
	for _, entry := range view.runs {
		entry.prior = true
		entry.sequence = 0
	}
	owner.options.Events.Log(owner.ctx, event.AgentAttached, slog.String("agent", view.address))
}

func (owner *Owner) noteDetached(view *agentView, made *link, err error) {
	if view.link != made {
		return
	}
	view.link = nil
	owner.options.Events.Log(owner.ctx, event.AgentLost, slog.String("agent", view.address), slog.Int("runs", len(view.runs)), slog.Any("error", err))
}

// forget drops what was on its way for a shard that is no longer owned.
func (view *agentView) forget(held *shard) {
	for name, entry := range view.runs {
		if entry.held == held {
			delete(view.runs, name)
		}
	}
	view.claimed = false
	delete(view.claimSeq, held.number)
}

// noteAgent takes in what an agent tells.
func (owner *Owner) noteAgent(view *agentView, from *link, message *wire.AgentMessage, now time.Time) {
	if view.link != from {
		return
	}
	if view.id != message.GetAgent() {
		view.id = message.GetAgent()
		view.failures = 0
	}
	view.heardAt = now
	view.uptime = time.Duration(message.GetUptimeNanos())
	view.handled = message.GetHandled()
	if message.GetStatus().GetWorker() != view.status.GetWorker() {
		view.failures, view.avoidUntil = 0, time.Time{}
	}
	if roomGrew(view.status, message.GetStatus()) {
		owner.placeDue = true
	}
	view.status = message.GetStatus()
	view.noteReflected()
	for _, result := range message.GetResults() {
		owner.noteResult(view, result, now)
	}
	for _, end := range message.GetEnds() {
		owner.noteEnd(view, end, now)
	}
	if message.GetComplete() {
		owner.reconcile(view, message, now)
	}
	if len(message.GetLearned()) > 0 {
		view.learned = message.GetLearned()
	}
}

func roomGrew(before, after *wire.WorkerStatus) bool {
	return after.GetFreeMilliCpu() > before.GetFreeMilliCpu() || after.GetFreeMemoryMb() > before.GetFreeMemoryMb() ||
		after.GetReady() && !before.GetReady() || after.GetWorker() != before.GetWorker()
}

// noteReflected marks the runs that the agent's account of its room includes.
func (view *agentView) noteReflected() {
	for _, entry := range view.runs {
		if entry.sequence > 0 && entry.sequence <= view.handled {
			entry.reflected = true
		}
	}
}

// reconcile compares the runs that an agent lists with those ordered there.
func (owner *Owner) reconcile(view *agentView, message *wire.AgentMessage, now time.Time) {
	listed := map[string]*wire.RunStatus{}
	for _, run := range message.GetRuns() {
		listed[run.GetTask()] = run
	}
	worker := message.GetStatus().GetWorker()
	for name, entry := range view.runs {
		run, found := listed[name]
		if found && run.GetAttempt() == entry.attempt && worker == entry.place.Worker {
			owner.noteListed(view, entry, run)
			owner.noteProgressOf(view, entry, run, now)
			continue
		}
		owner.noteUnlisted(view, entry, worker, now)
	}
	for name, run := range listed {
		owner.noteStray(view, name, run, worker)
	}
}

func (owner *Owner) noteListed(view *agentView, entry *runEntry, run *wire.RunStatus) {
	owner.confirm(entry)
	entry.inherited, entry.reflected = false, true
	entry.task.Job().Saved(entry.task, run.GetAttempt(), run.GetCheckpoint())
	if !view.status.GetReady() {
		view.message.Runs = append(view.message.Runs, &wire.RunDescription{Task: entry.name, Attempt: entry.attempt, Demand: entry.demand})
	}
}

// noteUnlisted looks at a run that its agent does not list.
func (owner *Owner) noteUnlisted(view *agentView, entry *runEntry, worker string, now time.Time) {
	if worker == "" {
		return
	}
	if worker != entry.place.Worker {
		// A machine has one worker: another incarnation there means that the
		// one before it has ended, with all that it ran.
		owner.release(view, entry, "its worker's incarnation is over", now)
		return
	}
	handled := entry.sequence > 0 && entry.sequence <= view.handled
	if entry.prior {
		sent, claimed := view.claimSeq[entry.held.number]
		handled = claimed && sent > 0 && sent <= view.handled
	}
	if handled && view.status.GetReady() {
		owner.release(view, entry, "not listed by its agent", now)
	}
}

// noteStray stops a run that should not be.
func (owner *Owner) noteStray(view *agentView, name string, run *wire.RunStatus, worker string) {
	ref, err := job.ParseRef(name)
	if err != nil {
		owner.options.Events.Log(owner.ctx, event.RecordUnreadable, slog.String("task", name), slog.Any("error", err))
		return
	}
	held, _ := owner.jobOf(ref.Job)
	entry, found := view.runs[name]
	if held == nil || found && entry.attempt == run.GetAttempt() {
		return
	}
	owner.options.Events.Log(owner.ctx, event.RunStopOrdered, slog.String("task", name), slog.Int("attempt", int(run.GetAttempt())), slog.String("reason", "not the task's present run"))
	view.message.Stops = append(view.message.Stops, &wire.StopOrder{
		Shard: int32(held.number), Epoch: held.epoch, Task: name, Attempt: run.GetAttempt(), Worker: worker,
	})
}

// exposure is how long a run may go on after the last grant that may have been
// given for it.
func (owner *Owner) exposure() time.Duration {
	return time.Duration(float64(owner.options.Grant)*(1+clockSlack)) + grantMargin
}

// giveUpSilent releases the runs of an agent that has been silent until its
// last grant must have ended.
func (owner *Owner) giveUpSilent(view *agentView, now time.Time) {
	for _, entry := range view.runs {
		if view.link != nil && now.Sub(view.heardAt) < 2*grantEvery {
			continue
		}
		until := view.grantEnd.Add(grantMargin)
		if entry.inherited {
			// The owner before may have granted until it gave up.
			until = entry.held.takenAt.Add(grantAlone + owner.exposure())
		}
		if now.After(until) {
			owner.release(view, entry, "its agent is silent", now)
		}
	}
}

// release lets the task of a run that is over for certain wait again.
func (owner *Owner) release(view *agentView, entry *runEntry, reason string, now time.Time) {
	delete(view.runs, entry.name)
	if entry.task.Attempt() != entry.attempt {
		return
	}
	made := entry.task.Job()
	owner.options.Events.Log(owner.ctx, event.RunLost, slog.String("task", entry.name), slog.Int("attempt", int(entry.attempt)),
		slog.String("worker", entry.place.Worker), slog.String("reason", reason), slog.Duration("after", now.Sub(entry.task.StartedAt())))
	owner.meters.lost.Add(owner.ctx, 1, telemetry.By("reason", reason))
	made.Release(entry.task, now)
	owner.changed(entry.held, made)
	entry.held.settleLive(made)
}

// adoptRuns takes up the runs that earlier owners ordered.
func (owner *Owner) adoptRuns(held *shard, now time.Time) {
	for _, made := range held.live {
		for _, task := range made.Running() {
			view := owner.agentAt(task.Place().Agent)
			if view == nil {
				continue
			}
			entry := newEntry(held, task)
			entry.prior, entry.inherited, entry.reflected = true, true, true
			view.runs[entry.name] = entry
			if view.ended[entry.place.Worker] {
				owner.release(view, entry, "its worker's incarnation is over", now)
			}
		}
	}
	for _, view := range owner.agents {
		view.claimed = false
	}
}

func newEntry(held *shard, task *job.Task) *runEntry {
	return &runEntry{
		task: task, held: held, name: task.Name(), attempt: task.Attempt(), place: task.Place(),
		demand: demandOf(task),
	}
}

// movedMost is how often a task is moved for the sake of serving ones before it
// is left where it is, and only slowed: each move costs what it has not saved.
const movedMost = 8

func demandOf(task *job.Task) *wire.Demand {
	spec := task.Spec()
	return &wire.Demand{
		MilliCpu: spec.GetMilliCpu(), MemoryMb: spec.GetMemoryMb(), Accelerators: spec.GetAccelerators(),
		Fills: spec.GetFills(), TargetMs: spec.GetTargetMs(), Lasting: spec.GetLasting(), Image: spec.GetImage(),
		Movable: spec.GetCheckpointing() && task.Interrupted() < movedMost,
	}
}

// tell sends an agent what it has not been told.
func (owner *Owner) tell(view *agentView, now time.Time) {
	if view.link == nil {
		return
	}
	owner.stopEnded(view, now)
	message := view.message
	if !view.claimed {
		owner.claim(view)
	}
	grantDue := now.Sub(view.sentAt) >= grantEvery
	if !grantDue && !message.Owned && len(message.Starts)+len(message.Stops)+len(message.Seen)+len(message.Runs) == 0 {
		return
	}
	owner.grant(view, now)
	owner.share(view, now)
	view.sequence++
	message.Sequence = view.sequence
	view.message = &wire.OwnerMessage{}
	view.sentAt = now
	select {
	case view.link.outbox <- message:
	default:
		// The agent does not read; the connection is made anew.
		view.link.cancel()
	}
}

// claim tells the agent which shards are owned, with the next message.
func (owner *Owner) claim(view *agentView) {
	view.claimed = true
	view.message.Owned = true
	view.message.Shards = nil
	for number, held := range owner.shards {
		if !held.active {
			continue
		}
		view.message.Shards = append(view.message.Shards, &wire.ShardEpoch{Shard: int32(number), Epoch: held.epoch})
		if view.claimSeq[number] == 0 {
			view.claimSeq[number] = view.sequence + 1
		}
	}
}

// grant lets the runs go on, on the agent's clock, unless this owner may have
// been replaced without having heard so.
func (owner *Owner) grant(view *agentView, now time.Time) {
	if view.heardAt.IsZero() || now.Sub(owner.joinedAt) > grantAlone {
		return
	}
	view.message.GrantUntilNanos = int64(view.uptime + owner.options.Grant)
	end := view.heardAt.Add(time.Duration(float64(owner.options.Grant) * (1 + clockSlack)))
	if end.After(view.grantEnd) {
		view.grantEnd = end
	}
}

// stopAgain is when a stop whose run has not ended is ordered once more.
const stopAgain = 500 * time.Millisecond

// stopEnded orders stops for the runs of jobs that have ended.
func (owner *Owner) stopEnded(view *agentView, now time.Time) {
	for _, entry := range view.runs {
		if !entry.task.Job().Ended() || entry.sequence == 0 && !entry.prior || now.Sub(entry.stopAt) < stopAgain {
			continue
		}
		entry.stopAt = now
		owner.options.Events.Log(owner.ctx, event.RunStopOrdered, slog.String("task", entry.name), slog.Int("attempt", int(entry.attempt)),
			slog.String("reason", entry.task.Job().State().String()))
		view.message.Stops = append(view.message.Stops, &wire.StopOrder{
			Shard: int32(entry.held.number), Epoch: entry.held.epoch, Task: entry.name, Attempt: entry.attempt, Worker: entry.place.Worker,
		})
	}
}
