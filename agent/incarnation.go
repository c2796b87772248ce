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

// endCause says how it became known that an incarnation of the worker is over. Its
// text stands in logs.
type endCause string

const (
	// causeLeft is what the worker said itself.
	causeLeft endCause = "left"
	// causeReplaced was found out: another incarnation stands at the machine.
	causeReplaced endCause = "replaced"
)

// Beat implements platform.Beats.
func (agent *Agent) Beat(beat platform.Heartbeat) {
	agent.eventLoop.Post(func(now time.Time) { agent.handleHeartbeat(beat, now) })
}

// Refused implements platform.Beats.
func (agent *Agent) Refused(id string, err error) {
	agent.eventLoop.Post(func(time.Time) { agent.logRefusedHeartbeat(id, err) })
}

func (agent *Agent) logRefusedHeartbeat(id string, err error) {
	agent.log(event.HeartbeatRefused, slog.String("worker", id), slog.Any("error", err))
}

// Left implements platform.Beats.
func (agent *Agent) Left(id string) {
	agent.eventLoop.Post(func(now time.Time) {
		agent.log(event.WorkerLeft, slog.String("worker", id))
		agent.handleLeft(id, now)
	})
}

// handleLeft takes in that a worker has left, which says by its id alone that it does. It may be word of an
// earlier life that comes late: the present one leaves only after it has said that it drains. One that is
// gone all the same is found out by its silence.
func (agent *Agent) handleLeft(id string, now time.Time) {
	current := agent.worker
	switch {
	case current == nil && agent.predecessor.incarnation.HasStartTime() && agent.predecessor.incarnation.WorkerID() == id:
		// That life has ended already, or it is word of one before it.
	case current == nil || current.incarnation.WorkerID() != id:
		agent.endIncarnation(incarnation.New(id, 0), causeLeft, now)
	case !current.incarnation.HasStartTime() || current.heartbeat.Draining:
		agent.endIncarnation(current.incarnation, causeLeft, now)
	}
}

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

// errNoStartTime says why a heartbeat is passed over that may be of any life of its worker.
var errNoStartTime = errors.New("the heartbeat does not say when the worker started, as earlier ones do")

// updateHeartbeat takes in a heartbeat of the incarnation that is known.
func (agent *Agent) updateHeartbeat(current *workerState, beat platform.Heartbeat, now time.Time) {
	if current.heartbeat.Incarnation.HasStartTime() && !beat.Incarnation.HasStartTime() {
		agent.logRefusedHeartbeat(beat.Incarnation.WorkerID(), errNoStartTime)
		return
	}
	if beat.Sequence < current.heartbeat.Sequence {
		return
	}
	changed := !current.heartbeat.SameWorker(beat)
	current.heartbeat = beat
	current.updateLeaveTime(now)
	if changed {
		agent.logWorker(beat)
		agent.markStatusChanged()
	}
}

func (agent *Agent) logWorker(beat platform.Heartbeat) {
	agent.log(event.WorkerSeen,
		slog.String("worker", beat.Incarnation.WorkerID()), slog.Int64("born", beat.Incarnation.StartedMs()), slog.String("service", beat.Service), slog.String("address", beat.Address),
		slog.Bool("draining", beat.Draining), slog.Int64("milli_cpu", beat.MilliCPU), slog.Int64("memory_mb", beat.MemoryMB),
		slog.Duration("remaining", beat.Remaining))
}

// predecessor is what is left of the incarnations before the present one.
type predecessor struct {
	// incarnation is the last of them.
	incarnation incarnation.ID
	// token is above all that they were sent, told the highest number under which an end of them was told.
	token         int64
	lastEndNumber int64
}

// endIncarnation notes that an incarnation is over: what ran there has ended.
func (agent *Agent) endIncarnation(over incarnation.ID, how endCause, now time.Time) {
	ended := agent.worker
	present := ended != nil && ended.incarnation == over
	if !agent.endedIncarnations[over] {
		agent.endedIncarnations[over] = true
		if !present || !ended.orderCarriedOver {
			agent.registerEnded(over)
		}
	}
	if !present {
		return
	}
	agent.worker = nil
	agent.predecessor = predecessor{incarnation: over, token: ended.token + 1, lastEndNumber: ended.endNumberOffset + ended.lastListedEnd}
	about := []slog.Attr{
		slog.Int("runs", len(ended.runs)), slog.String("how", string(how)),
		slog.Bool("draining", ended.heartbeat.Draining), slog.Duration("unanswered", now.Sub(ended.lastSignAt)),
	}
	agent.log(event.WorkerLost, append(over.LogAttributes(), about...)...)
	agent.metrics.lostIncarnations.Add(agent.ctx, 1, telemetry.By("how", string(how)))
	agent.reportEndedRuns(ended, how)
	for _, end := range ended.pendingEnds {
		// Its worker can't be told any more, the owners still can.
		end.runEnd.Number = 0
		agent.keepLostEnd(end.runEnd)
	}
	agent.markStatusChanged()
}
