package agent

import (
	"log/slog"
	"time"

	"ambertiller.example/ambertiller/event"
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
func (agent *Agent) Refused(incarnation string, err error) {
	agent.decisions.Post(func(time.Time) {
		agent.log(event.HeartbeatRefused, slog.String("worker", incarnation), slog.Any("error", err))
	})
}

// Left implements platform.Beats.
func (agent *Agent) Left(incarnation string) {
	agent.decisions.Post(func(now time.Time) {
		agent.log(event.WorkerLeft, slog.String("worker", incarnation))
		agent.endIncarnation(incarnation, endLeft, now)
	})
}

func (agent *Agent) noteBeat(beat platform.Heartbeat, now time.Time) {
	if agent.gone[beat.Incarnation] {
		return
	}
	current := agent.worker
	if current != nil && current.beat.Incarnation == beat.Incarnation {
		agent.noteBeatAgain(current, beat, now)
		return
	}
	if current != nil {
		agent.noteSuccessor(beat)
		return
	}
	agent.takeCareOf(beat, agent.options.Connect(beat.Address, beat.Incarnation), now)
}

// noteBeatAgain takes in a heartbeat of the incarnation that is known.
func (agent *Agent) noteBeatAgain(current *workerState, beat platform.Heartbeat, now time.Time) {
	if beat.Sequence < current.beat.Sequence {
		return
	}
	changed := !current.beat.SameWorker(beat)
	agent.noteBorn(current, beat.Born)
	current.beat = beat
	current.noteLeaving(now)
	if changed {
		agent.logWorker(beat)
		agent.statusChanged()
	}
}

func (agent *Agent) logWorker(beat platform.Heartbeat) {
	agent.log(event.WorkerSeen,
		slog.String("worker", beat.Incarnation), slog.String("service", beat.Service), slog.String("address", beat.Address),
		slog.Bool("draining", beat.Draining), slog.Int64("milli_cpu", beat.MilliCPU), slog.Int64("memory_mb", beat.MemoryMB),
		slog.Duration("remaining", beat.Remaining), slog.String("born", beat.Born))
}

// endIncarnation notes that an incarnation is over: what ran there has ended.
func (agent *Agent) endIncarnation(incarnation string, how incarnationEnd, now time.Time) {
	if !agent.gone[incarnation] {
		agent.gone[incarnation] = true
		agent.noteEnded(incarnation)
	}
	ended := agent.worker
	if ended == nil || ended.beat.Incarnation != incarnation {
		return
	}
	agent.worker = nil
	agent.log(event.WorkerLost, slog.String("worker", incarnation), slog.Int("runs", len(ended.runs)), slog.String("how", string(how)),
		slog.Bool("draining", ended.beat.Draining), slog.Duration("unanswered", now.Sub(ended.signAt)))
	agent.meters.lost.Add(agent.ctx, 1, telemetry.By("how", string(how)))
	agent.tellEnded(ended, how)
	for _, end := range ended.ends {
		// Its worker can't be told any more, the owners still can.
		end.told.Number = 0
		agent.keepLost(end.told)
	}
	agent.statusChanged()
}
