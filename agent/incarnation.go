package agent

import (
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/incarnation"
	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/telemetry"
)

// endCause says how it became known that an incarnation of the worker is over. It appears in logs and
// metrics.
type endCause string

const (
	// causeLeft means that the worker announced that it left.
	causeLeft endCause = "left"
	// causeReplaced means that another incarnation was found to run on the machine.
	causeReplaced endCause = "replaced"
)

// HandleHeartbeat handles a heartbeat. It implements platform.HeartbeatReceiver.
func (agent *Agent) HandleHeartbeat(beat platform.Heartbeat) {
	agent.eventLoop.Post(func(now time.Time) { agent.handleHeartbeat(beat, now) })
}

// HandleRejected logs a heartbeat that names no usable worker. It implements platform.HeartbeatReceiver.
func (agent *Agent) HandleRejected(id string, err error) {
	agent.eventLoop.Post(func(time.Time) { agent.logRefusedHeartbeat(id, err) })
}

func (agent *Agent) logRefusedHeartbeat(id string, err error) {
	agent.log(event.HeartbeatRefused, slog.String("worker", id), slog.Any("error", err))
}

// HandleLeave handles the notice that the worker with the given ID has left. It implements
// platform.HeartbeatReceiver.
func (agent *Agent) HandleLeave(id string) {
	agent.eventLoop.Post(func(now time.Time) {
		agent.log(event.WorkerLeft, slog.String("worker", id))
		agent.handleLeft(id, now)
	})
}

// handleLeft ends the incarnation that has left. The notice has only the worker's ID, and may be a late one
// of an earlier incarnation: the present one leaves only after its heartbeats have said that it drains. If it
// has left without saying so, the agent finds out because it no longer answers.
func (agent *Agent) handleLeft(id string, now time.Time) {
	current := agent.worker
	switch {
	case current == nil && agent.predecessor.incarnation.HasStartTime() && agent.predecessor.incarnation.WorkerID() == id:
		// That incarnation is over already, or the notice is one of an incarnation before it.
	case current == nil || current.incarnation.WorkerID() != id:
		agent.endIncarnation(incarnation.New(id, 0), causeLeft, now)
	case !current.incarnation.HasStartTime() || current.heartbeat.Draining:
		agent.endIncarnation(current.incarnation, causeLeft, now)
	}
}

// handleHeartbeat handles a heartbeat of the present incarnation or of another one.
func (agent *Agent) handleHeartbeat(beat platform.Heartbeat, now time.Time) {
	if agent.endedIncarnations[beat.Incarnation] {
		return
	}
	current := agent.worker
	switch {
	case current == nil:
		agent.manageWorker(beat, agent.options.Connect(beat.Address, beat.Incarnation), now)
	case current.incarnation.MayEqual(beat.Incarnation):
		agent.updateHeartbeat(current, beat, now)
	default:
		agent.handleSuccessorHeartbeat(beat)
	}
}

// errNoStartTime is the reason for ignoring a heartbeat that may be of any incarnation of its worker.
var errNoStartTime = errors.New("the heartbeat has no start time of the worker, unlike earlier ones")

// updateHeartbeat replaces the heartbeat of the present incarnation by a newer one.
func (agent *Agent) updateHeartbeat(current *workerState, beat platform.Heartbeat, now time.Time) {
	if current.heartbeat.Incarnation.HasStartTime() && !beat.Incarnation.HasStartTime() {
		agent.logRefusedHeartbeat(beat.Incarnation.WorkerID(), errNoStartTime)
		return
	}
	if beat.Sequence < current.heartbeat.Sequence {
		return
	}
	changed := !current.heartbeat.HasSameDescription(beat)
	current.heartbeat = beat
	current.updateLeaveTime(now)
	if changed {
		agent.logWorker(beat)
		agent.markStatusChanged()
	}
}

// logWorker logs what a heartbeat says about its worker.
func (agent *Agent) logWorker(beat platform.Heartbeat) {
	agent.log(event.WorkerSeen,
		slog.String("worker", beat.Incarnation.WorkerID()), slog.Int64("born", beat.Incarnation.StartedMs()), slog.String("service", beat.Service), slog.String("address", beat.Address),
		slog.Bool("draining", beat.Draining), slog.Int64("milli_cpu", beat.MilliCPU), slog.Int64("memory_mb", beat.MemoryMB),
		slog.Duration("remaining", beat.Remaining))
}

// predecessor is what has to be known of the incarnations before the present one.
type predecessor struct {
	// incarnation is the last of them.
	incarnation incarnation.ID
	// token is higher than all tokens that they were sent. lastEndNumber is the highest number of their ends
	// that was reported to owners.
	token         int64
	lastEndNumber int64
}

// endIncarnation records that an incarnation is over. If it is the present one, its runs are reported as
// ended.
func (agent *Agent) endIncarnation(id incarnation.ID, cause endCause, now time.Time) {
	state := agent.worker
	isPresent := state != nil && state.incarnation == id
	if !agent.endedIncarnations[id] {
		agent.endedIncarnations[id] = true
		if !isPresent || !state.orderCarriedOver {
			agent.registerEnded(id)
		}
	}
	if !isPresent {
		return
	}
	agent.worker = nil
	agent.predecessor = predecessor{incarnation: id, token: state.token + 1, lastEndNumber: state.endNumberOffset + state.lastListedEnd}
	attributes := []slog.Attr{
		slog.Int("runs", len(state.runs)), slog.String("how", string(cause)),
		slog.Bool("draining", state.heartbeat.Draining), slog.Duration("unanswered", now.Sub(state.lastSignAt)),
	}
	agent.log(event.WorkerLost, append(id.LogAttributes(), attributes...)...)
	agent.metrics.lostIncarnations.Add(agent.ctx, 1, telemetry.WithAttribute("how", string(cause)))
	agent.reportEndedRuns(state, cause)
	for _, end := range state.pendingEnds {
		// No worker waits for the confirmation of this end any more, but it may have to be reported to a later
		// owner.
		lost := end.withoutNumber()
		agent.keepLostEnd(lost)
		if !end.isShared {
			agent.shareEnd(lost)
		}
	}
	agent.markStatusChanged()
}
