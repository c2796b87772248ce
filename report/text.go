package report

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

const (
	// columnPadding is the number of spaces between the columns of a table.
	columnPadding = 2
	// maxSharesShown is how many of the shares in a row are printed, and how many of the durations in a plot
	// are drawn.
	maxSharesShown = 5
	// maxLossesShown is the maximum length of the list of the largest losses.
	maxLossesShown = 5
)

// WriteText writes the report as plain text tables, with the largest losses first.
func (r *Report) WriteText(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, columnPadding, ' ', 0)
	for _, section := range [][]string{
		r.headingLines(), r.lossLines(), r.jobLines(), r.refusalLines(), r.servingLines(), r.fillLines(), r.moveLines(),
		r.workerLines(), r.ownershipLines(), r.trafficLines(), r.timelineLines(),
	} {
		if len(section) == 0 {
			continue
		}
		if _, err := fmt.Fprintln(table, strings.Join(section, "\n")+"\n"); err != nil {
			return errors.Wrap(err, "write the report")
		}
		if err := table.Flush(); err != nil {
			return errors.Wrap(err, "write the report")
		}
	}
	return nil
}

func (r *Report) headingLines() []string {
	lines := []string{fmt.Sprintf("%s from %s, %d lines", r.To.Sub(r.From).Round(time.Second), r.From.Format(time.RFC3339), r.LineCount)}
	if r.DroppedLines > 0 {
		lines = append(lines, fmt.Sprintf("processes left out %d lines: what follows is incomplete", r.DroppedLines))
	}
	var outcomes []string
	for _, count := range r.RunOutcomes {
		outcomes = append(outcomes, fmt.Sprintf("%d %s", count.Value, count.Label))
	}
	return append(lines, "runs: "+strings.Join(outcomes, ", "))
}

// lossLines lists the job groups with the most work that was not done in time and what took their time, and
// the serving images that missed their targets.
func (r *Report) lossLines() []string {
	lines := []string{"LARGEST LOSSES"}
	for _, group := range r.LargestLosses() {
		lines = append(lines, fmt.Sprintf("%.0f%% of the work of %s is in %s jobs that were not in time (%d of %d): %s",
			group.LateWorkShare*percent, group.Queue, group.Size, group.Late+group.VeryLate+group.Failed, group.Jobs, formatShares(group.TimeSpent)))
	}
	for _, serving := range r.ServingImages {
		if serving.MissTime > 0 && len(lines) <= maxLossesShown {
			lines = append(lines, fmt.Sprintf("image %s missed its target for %s of %s, beside %s",
				serving.Image, formatSeconds(serving.MissTime), formatSeconds(serving.RunTime), formatShares(serving.MissTimeByFill)))
		}
	}
	return lines
}

func (r *Report) jobLines() []string {
	lines := []string{"JOBS\tSIZE\tJOBS\tIN TIME\tLATE\tBEYOND 3x\tFAILED\tCANCELLED\tOPEN\tTOOK/ALLOWED"}
	for _, group := range r.JobGroups {
		lines = append(lines, fmt.Sprintf("%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f", group.Queue, group.Size, group.Jobs,
			group.InTime, group.Late, group.VeryLate, group.Failed, group.Cancelled, group.Open, group.MeanSlowdown))
	}
	return lines
}

func (r *Report) servingLines() []string {
	lines := []string{"SERVING\tRAN\tOVER TARGET\tMISSES\tBESIDE"}
	for _, serving := range r.ServingImages {
		lines = append(lines, fmt.Sprintf("%s\t%s\t%s\t%d\t%s", serving.Image, formatSeconds(serving.RunTime), formatSeconds(serving.MissTime), serving.Misses, formatShares(serving.MissTimeByFill)))
	}
	return lines
}

func (r *Report) fillLines() []string {
	lines := []string{"FILLING\tTASKS\tESTIMATE\tTOOK\tSLOWEST TENTH\tEVICTED\tSLOWED\tWAITED"}
	for _, fill := range r.FillImages {
		lines = append(lines, fmt.Sprintf("%s\t%d\t%s\t%s\t%s\t%d\t%s\t%s", fill.Image, fill.Tasks, formatSeconds(fill.MeanEstimate),
			formatSeconds(fill.MeanDuration), formatSeconds(fill.SlowestTenth), fill.Evictions, formatSeconds(fill.SlowedTime), formatSeconds(fill.WaitTime)))
	}
	return lines
}

func (r *Report) workerLines() []string {
	lines := []string{"WORKER\tMACHINE\tKNOWN\tCORES\tSERVING\tOTHER\tFILLING\tIMAGES\tOVER TARGET\tEVICTED\tLOST"}
	for _, worker := range r.Workers {
		lines = append(lines, fmt.Sprintf("%s\t%s\t%s\t%.0f\t%.1f\t%.1f\t%.1f\t%d\t%s\t%d\t%d", worker.Incarnation, worker.Machine, formatSeconds(worker.ObservedTime),
			worker.Cores, worker.ServingCores, worker.OtherCores, worker.FillCores, worker.ServingImages, formatSeconds(worker.MissTime), worker.Evictions, worker.LostRuns))
	}
	return lines
}

func (r *Report) timelineLines() []string {
	lines := []string{"SECOND\tIN TIME\tNOT\tPLACED\tREFUSED\tEVICTED\tOVER TARGET\tLOST AND BACK"}
	for _, slice := range r.Timeline {
		var events []string
		for _, count := range slice.Events {
			events = append(events, fmt.Sprintf("%d %s", count.Value, count.Label))
		}
		lines = append(lines, fmt.Sprintf("%.0f\t%d\t%d\t%d\t%d\t%d\t%s\t%s", slice.From.Sub(r.From).Seconds(),
			slice.InTime, slice.Late, slice.Placed, slice.Refused, slice.Evicted, formatSeconds(slice.MissTime), strings.Join(events, ", ")))
	}
	return lines
}

// formatShares formats the first maxSharesShown durations as percentages of the sum of all.
func formatShares(durations []LabeledDuration) string {
	total := time.Duration(0)
	for _, d := range durations {
		total += d.Duration
	}
	var parts []string
	for _, d := range durations[:min(len(durations), maxSharesShown)] {
		parts = append(parts, fmt.Sprintf("%.0f%% %s", percent*float64(d.Duration)/float64(total), d.Label))
	}
	return strings.Join(parts, ", ")
}

// formatSeconds formats a duration in seconds with one decimal.
func formatSeconds(d time.Duration) string { return fmt.Sprintf("%.1fs", d.Seconds()) }
