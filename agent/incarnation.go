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

// incarnationEnd says how it became known that an incarnation of the worker is over. Its
// text stands in logs.
type incarnationEnd string

const (
	// endLeft is what the worker said itself.
	endLeft incarnationEnd = "left"
	// endReplaced was found out: another incarnation stands at the machine.
	endReplaced incarnationEnd = "replaced"
)

// Beat implements platform.Beats.
func (agent *Agent) Beat(beat platform.Heartbeat) {
	agent.decisions.Post(func(now time.Time) { agent.noteBeat(beat, now) })
}

// Refused implements platform.Beats.
func (agent *Agent) Refused(id string, err error) {
	agent.decisions.Post(func(time.Time) { agent.logRefused(id, err) })
}

func (agent *Agent) logRefused(id string, err error) {
	agent.log(event.HeartbeatRefused, slog.String("worker", id), slog.Any("error", err))
}

// Left implements platform.Beats.
func (agent *Agent) Left(id string) {
	agent.decisions.Post(func(now time.Time) {
		agent.log(event.WorkerLeft, slog.String("worker", id))
		agent.noteLeft(id, now)
	})
}

// noteLeft takes in that a worker has left, which says by its id alone that it does. It may be word of an
// earlier life that comes late: the present one leaves only after it has said that it drains. One that is
// gone all the same is found out by its silence.
func (agent *Agent) noteLeft(id string, now time.Time) {
	current := agent.worker
	switch {
	case current == nil && agent.former.life.HasStartTime() && agent.former.life.WorkerID() == id:
		// That life has ended already, or it is word of one before it.
	case current == nil || current.life.WorkerID() != id:
		agent.endIncarnation(incarnation.New(id, 0), endLeft, now)
	case !current.life.HasStartTime() || current.beat.Draining:
		agent.endIncarnation(current.life, endLeft, now)
	}
}

func (agent *Agent) noteBeat(beat platform.Heartbeat, now time.Time) {
	if agent.gone[beat.Incarnation] {
		return
	}
	current := agent.worker
	switch {
	case current == nil:
		agent.takeCareOf(beat, agent.options.Connect(beat.Address, beat.Incarnation), now)
	case current.life.MayEqual(beat.Incarnation):
		agent.noteBeatAgain(current, beat, now)
	default:
		agent.noteSuccessor(beat)
	}
}

// errUndated says why a heartbeat is passed over that may be of any life of its worker.
var errUndated = errors.New("the heartbeat does not say when the worker started, as earlier ones do")

// noteBeatAgain takes in a heartbeat of the incarnation that is known.
func (agent *Agent) noteBeatAgain(current *workerState, beat platform.Heartbeat, now time.Time) {
	if current.beat.Incarnation.HasStartTime() && !beat.Incarnation.HasStartTime() {
		agent.logRefused(beat.Incarnation.WorkerID(), errUndated)
		return
	}
	if beat.Sequence < current.beat.Sequence {
		return
	}
	changed := !current.beat.SameWorker(beat)
	current.beat = beat
	current.noteLeaving(now)
	if changed {
		agent.logWorker(beat)
		agent.statusChanged()
	}
}

func (agent *Agent) logWorker(beat platform.Heartbeat) {
	agent.log(event.WorkerSeen,
		slog.String("worker", beat.Incarnation.WorkerID()), slog.Int64("born", beat.Incarnation.StartedMs()), slog.String("service", beat.Service), slog.String("address", beat.Address),
		slog.Bool("draining", beat.Draining), slog.Int64("milli_cpu", beat.MilliCPU), slog.Int64("memory_mb", beat.MemoryMB),
		slog.Duration("remaining", beat.Remaining))
}

// former is what is left of the incarnations before the present one.
type former struct {
	// life is the last of them.
	life incarnation.ID
	// token is above all that they were sent, told the highest number under which an end of them was told.
	token int64
	told  int64
}

// endIncarnation notes that an incarnation is over: what ran there has ended.
func (agent *Agent) endIncarnation(over incarnation.ID, how incarnationEnd, now time.Time) {
	ended := agent.worker
	present := ended != nil && ended.life == over
	if !agent.gone[over] {
		agent.gone[over] = true
		if !present || !ended.orderWentOn {
			agent.noteEnded(over)
		}
	}
	if !present {
		return
	}
	agent.worker = nil
	agent.former = former{life: over, token: ended.token + 1, told: ended.toldAbove + ended.listed}
	about := []slog.Attr{
		slog.Int("runs", len(ended.runs)), slog.String("how", string(how)),
		slog.Bool("draining", ended.beat.Draining), slog.Duration("unanswered", now.Sub(ended.signAt)),
	}
	agent.log(event.WorkerLost, append(over.LogAttributes(), about...)...)
	agent.meters.lost.Add(agent.ctx, 1, telemetry.By("how", string(how)))
	agent.tellEnded(ended, how)
	for _, end := range ended.ends {
		// Its worker can't be told any more, the owners still can.
		end.told.Number = 0
		agent.keepLost(end.told)
	}
	agent.statusChanged()
}
