package agent

import (
	"log/slog"
	"math"
	"time"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/feature"
	"ambertiller.example/ambertiller/incarnation"
	"ambertiller.example/ambertiller/interference"
	"ambertiller.example/ambertiller/relocation"
	"ambertiller.example/ambertiller/telemetry"
	"ambertiller.example/ambertiller/wire"
)

// offerTracker holds the offers of slowed fill runs to their owners, and the session on which the open one was
// sent. It is unused unless feature.Offers is enabled.
type offerTracker struct {
	relocation.OfferTracker
	session *session
}

// outcomeNeedless is the outcome of an offer whose run need not be moved any more, has ended or is being
// stopped.
const outcomeNeedless relocation.Outcome = "needless"

// requiresOffer reports whether the run may only be evicted once its owner has accepted an offer. It is false if the
// owner is known not to take offers, or if stops are short. It is true while no owner is attached, since none would
// place the run elsewhere.
func (agent *Agent) requiresOffer(run *runState) bool {
	if !agent.options.Features.Has(feature.Offers) || !relocation.IsWorthwhile(agent.options.StopTime) {
		return false
	}
	s := agent.attachedOwner(run)
	return s == nil || s.takesOffers
}

// attachedOwner returns the session of the run's owner, or nil while there is none.
func (agent *Agent) attachedOwner(run *runState) *session {
	claim, claimed := agent.claims[run.shard]
	if !claimed || !agent.sessions[claim.session] {
		return nil
	}
	return claim.session
}

// mayEvictWithoutOffer reports whether the run may be evicted without a destination: its owner takes no offers, or a
// serving run beside it has missed its target for too long.
func (agent *Agent) mayEvictWithoutOffer(run *runState, servings []interference.ServingTask) bool {
	return !agent.requiresOffer(run) || agent.pacer.model.IsOverdue(servings, run.demand.GetImage())
}

// mayOffer reports whether the run, which goes at a pace from 0 to 1, may be offered to its owner now.
func (agent *Agent) mayOffer(run *runState, pace float64, now time.Time) bool {
	return agent.canOfferNow(run, now) && agent.savesMoveCost(run, pace)
}

// canOfferNow reports whether the run may be offered now: its owner is attached, its backoff is over, and no other
// offer of the worker is open or too recent.
func (agent *Agent) canOfferNow(run *runState, now time.Time) bool {
	return agent.attachedOwner(run) != nil && run.offerBackoff.IsOver(now) && agent.offerTracker.MayOffer(now)
}

// savesMoveCost reports whether the run, which goes at a pace from 0 to 1, is slowed, and would save at least as much
// time by a move as the move costs. Its owner may require more.
func (agent *Agent) savesMoveCost(run *runState, pace float64) bool {
	percent := toPercent(pace)
	saved := relocation.TimeSaved(run.remainingWork(), percent, relocation.FullPercent)
	return percent < slowedPercent && saved >= agent.moveCost(run)
}

// toPercent returns a pace from 0 to 1 as a percentage.
func toPercent(pace float64) int32 { return int32(math.Round(pace * fullPercent)) }

// offer asks the run's owner whether another worker would tolerate the run, which goes on meanwhile.
func (agent *Agent) offer(state *workerState, run *runState, pace float64, now time.Time) {
	s := agent.attachedOwner(run)
	offer := agent.offerTracker.Open(run.task, run.attempt, now)
	agent.offerTracker.session = s
	percent := toPercent(pace)
	remaining, cost := run.remainingWork(), agent.moveCost(run)
	s.offers = append(s.offers, &wire.MoveOffer{
		Number: offer.Number(), Task: run.task, Attempt: run.attempt, Percent: percent,
		RemainingMs: remaining.Milliseconds(), MinGainMs: cost.Milliseconds(),
		LapsesNanos: int64(agent.uptime(offer.LapsesAt())),
	})
	agent.logRun(event.MoveOffered, run,
		slog.Int64("offer", offer.Number()), slog.String("owner", s.ownerName), slog.String("image", run.demand.GetImage()),
		slog.Int("percent", int(percent)), slog.Duration("remaining", remaining),
		slog.Duration("saves", relocation.TimeSaved(remaining, percent, relocation.FullPercent)),
		slog.Duration("least", cost),
		slog.Duration("age", now.Sub(state.provenAliveAt)))
}

// handleMoveAnswer applies an owner's answer to the open offer. The answer has no effect unless it arrives in time,
// from the present owner of the run, on the connection on which the offer was sent, while the worker is ready.
func (agent *Agent) handleMoveAnswer(s *session, answer *wire.MoveAnswer, now time.Time) {
	state := agent.worker
	claim, claimed := agent.claims[answer.GetShard()]
	id := incarnation.New(answer.GetWorker(), answer.GetBorn())
	if state == nil || !state.isReady() || !state.incarnation.MayEqual(id) {
		return
	}
	if !claimed || claim.epoch != answer.GetEpoch() || claim.session != s || agent.offerTracker.session != s {
		return
	}
	offer, outcome := agent.offerTracker.Answer(
		answer.GetNumber(), answer.GetTask(), answer.GetAttempt(), answer.GetAccepted(), now)
	if outcome == relocation.Unknown {
		return
	}
	run, found := state.offeredRun(offer)
	switch {
	case !found:
		agent.closeOffer(offer, outcomeNeedless, now)
	case outcome != relocation.Accepted:
		run.offerBackoff.Extend(now)
		agent.closeOffer(offer, outcome, now)
	case !agent.isMoveStillUseful(state, run, now):
		// If it were offered again at once, it could reserve a worker in vain.
		run.offerBackoff.Extend(now)
		agent.closeOffer(offer, outcomeNeedless, now)
	default:
		agent.closeOffer(offer, outcome, now)
		agent.evict(state, run, now)
	}
}

// offeredRun returns the run of an offer, and false if it has ended or is being stopped.
func (state *workerState) offeredRun(offer relocation.Offer) (*runState, bool) {
	run, found := state.runs[offer.Task()]
	return run, found && run.attempt == offer.Attempt() && run.phase == phaseRunning
}

// isMoveStillUseful reports whether the run is still slowed, and would still save the cost of a move. It is false
// for evictionInterval after an eviction, until its effect shows.
func (agent *Agent) isMoveStillUseful(state *workerState, run *runState, now time.Time) bool {
	if now.Sub(agent.pacer.lastEvictionAt) < evictionInterval {
		return false
	}
	servings, fills := state.interferenceTasks(now)
	pace := agent.pacer.model.Paces(servings, fills)[run.task]
	return run.isEvictable(now) && agent.savesMoveCost(run, pace)
}

// expireOffer closes the open offer if its run has ended or it has lapsed. The run of an offer that was not
// answered waits like one that was declined: its owner may be lost, or too busy.
func (agent *Agent) expireOffer(now time.Time) {
	open, found := agent.offerTracker.Current()
	if !found {
		return
	}
	run, runs := agent.worker.offeredRun(open)
	if !runs {
		agent.offerTracker.Withdraw()
		agent.closeOffer(open, outcomeNeedless, now)
		return
	}
	if offer, lapsed := agent.offerTracker.Lapse(now); lapsed {
		run.offerBackoff.Extend(now)
		agent.closeOffer(offer, relocation.Unanswered, now)
	}
}

// closeOffer logs and counts the outcome of an offer.
func (agent *Agent) closeOffer(offer relocation.Offer, outcome relocation.Outcome, now time.Time) {
	agent.metrics.moveOffers.Add(agent.ctx, 1, telemetry.WithAttribute("outcome", string(outcome)))
	agent.log(event.MoveAnswered, slog.String("task", offer.Task()), slog.Int("attempt", int(offer.Attempt())),
		slog.Int64("offer", offer.Number()), slog.String("outcome", string(outcome)),
		slog.String("owner", agent.offerTracker.session.ownerName), slog.Duration("age", offer.Age(now)))
}
