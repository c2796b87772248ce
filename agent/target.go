package agent

import (
	"log/slog"
	"slices"
	"strings"
	"time"

	"ambertiller.example/ambertiller/event"
)

// logTargetChanges logs when a serving run begins to miss its tail latency target, with the images of the
// fill runs beside it, and when it meets the target again.
func (agent *Agent) logTargetChanges(state *workerState, now time.Time) {
	for _, run := range state.runs {
		target := run.demand.GetTargetMs()
		if target <= 0 || run.reading <= 0 {
			continue
		}
		missed := run.reading >= target
		switch {
		case missed && run.targetMissedSince.IsZero():
			run.targetMissedSince = now
			agent.logRun(event.TargetMissed, run, slog.String("image", run.demand.GetImage()),
				slog.Int64("tail_ms", run.reading), slog.Int64("target_ms", target), slog.String("beside", state.fillImages()))
		case !missed && !run.targetMissedSince.IsZero():
			agent.logRun(event.TargetKept, run, slog.String("image", run.demand.GetImage()), slog.Duration("after", now.Sub(run.targetMissedSince)))
			run.targetMissedSince = time.Time{}
		}
	}
}

// fillImages returns the images of the fill runs without duplicates, sorted and separated by commas.
func (state *workerState) fillImages() string {
	var images []string
	for _, run := range state.runs {
		if image := run.demand.GetImage(); run.demand.GetFills() && !slices.Contains(images, image) {
			images = append(images, image)
		}
	}
	slices.Sort(images)
	return strings.Join(images, ",")
}
