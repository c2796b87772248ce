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
	// columnPadding stands between the columns of a table.
	columnPadding = 2
	// maxSharesShown bounds how many of a row's spans are printed.
	maxSharesShown = 5
	// maxLossesShown bounds the list of the largest losses.
	maxLossesShown = 5
)

// WriteText prints the report as tables, the largest losses first.
func (made *Report) WriteText(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, columnPadding, ' ', 0)
	for _, section := range [][]string{
		made.headingLines(), made.lossLines(), made.jobLines(), made.servingLines(), made.fillLines(), made.workerLines(), made.trafficLines(), made.timelineLines(),
	} {
		if len(section) == 0 {
			continue
		}
		if _, err := fmt.Fprintln(table, strings.Join(section, "\n")+"\n"); err != nil {
			return errors.Wrap(err, "print")
		}
		if err := table.Flush(); err != nil {
			return errors.Wrap(err, "print")
		}
	}
	return nil
}

func (made *Report) headingLines() []string {
	lines := []string{fmt.Sprintf("%s from %s, %d lines", made.To.Sub(made.From).Round(time.Second), made.From.Format(time.RFC3339), made.LineCount)}
	if made.DroppedLines > 0 {
		lines = append(lines, fmt.Sprintf("processes left out %d lines: what follows is incomplete", made.DroppedLines))
	}
	var orders []string
	for _, one := range made.RunOutcomes {
		orders = append(orders, fmt.Sprintf("%d %s", one.Value, one.Label))
	}
	return append(lines, "runs: "+strings.Join(orders, ", "))
}

// lossLines names the queues and sizes with the most work that was not in time, and
// what took the time.
func (made *Report) lossLines() []string {
	lines := []string{"LARGEST LOSSES"}
	for _, queue := range made.LargestLosses() {
		lines = append(lines, fmt.Sprintf("%.0f%% of the work of %s is in %s jobs that were not in time (%d of %d): %s",
			queue.LateWorkShare*percent, queue.Queue, queue.Size, queue.Late+queue.VeryLate+queue.Failed, queue.Jobs, formatShares(queue.TimeSpent)))
	}
	for _, serving := range made.ServingImages {
		if serving.MissTime > 0 && len(lines) <= maxLossesShown {
			lines = append(lines, fmt.Sprintf("image %s missed its target for %s of %s, beside %s",
				serving.Image, formatSeconds(serving.MissTime), formatSeconds(serving.RunTime), formatShares(serving.MissTimeByFill)))
		}
	}
	return lines
}

func (made *Report) jobLines() []string {
	lines := []string{"JOBS\tSIZE\tJOBS\tIN TIME\tLATE\tBEYOND 3x\tFAILED\tCANCELLED\tOPEN\tTOOK/ALLOWED"}
	for _, queue := range made.JobGroups {
		lines = append(lines, fmt.Sprintf("%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f", queue.Queue, queue.Size, queue.Jobs,
			queue.InTime, queue.Late, queue.VeryLate, queue.Failed, queue.Cancelled, queue.Open, queue.MeanSlowdown))
	}
	return lines
}

func (made *Report) servingLines() []string {
	lines := []string{"SERVING\tRAN\tOVER TARGET\tMISSES\tBESIDE"}
	for _, serving := range made.ServingImages {
		lines = append(lines, fmt.Sprintf("%s\t%s\t%s\t%d\t%s", serving.Image, formatSeconds(serving.RunTime), formatSeconds(serving.MissTime), serving.Misses, formatShares(serving.MissTimeByFill)))
	}
	return lines
}

func (made *Report) fillLines() []string {
	lines := []string{"FILLING\tTASKS\tESTIMATE\tTOOK\tSLOWEST TENTH\tEVICTED\tSLOWED\tWAITED"}
	for _, filling := range made.FillImages {
		lines = append(lines, fmt.Sprintf("%s\t%d\t%s\t%s\t%s\t%d\t%s\t%s", filling.Image, filling.Tasks, formatSeconds(filling.MeanEstimate),
			formatSeconds(filling.MeanDuration), formatSeconds(filling.SlowestTenth), filling.Evictions, formatSeconds(filling.SlowedTime), formatSeconds(filling.WaitTime)))
	}
	return lines
}

func (made *Report) workerLines() []string {
	lines := []string{"WORKER\tMACHINE\tKNOWN\tCORES\tSERVING\tOTHER\tFILLING\tIMAGES\tOVER TARGET\tEVICTED\tLOST"}
	for _, worker := range made.Workers {
		lines = append(lines, fmt.Sprintf("%s\t%s\t%s\t%.0f\t%.1f\t%.1f\t%.1f\t%d\t%s\t%d\t%d", worker.Incarnation, worker.Machine, formatSeconds(worker.ObservedTime),
			worker.Cores, worker.ServingCores, worker.OtherCores, worker.FillCores, worker.ServingImages, formatSeconds(worker.MissTime), worker.Evictions, worker.LostRuns))
	}
	return lines
}

func (made *Report) timelineLines() []string {
	lines := []string{"SECOND\tIN TIME\tNOT\tPLACED\tREFUSED\tEVICTED\tOVER TARGET\tLOST AND BACK"}
	for _, slice := range made.Timeline {
		var marks []string
		for _, one := range slice.Events {
			marks = append(marks, fmt.Sprintf("%d %s", one.Value, one.Label))
		}
		lines = append(lines, fmt.Sprintf("%.0f\t%d\t%d\t%d\t%d\t%d\t%s\t%s", slice.From.Sub(made.From).Seconds(),
			slice.InTime, slice.Late, slice.Placed, slice.Refused, slice.Evicted, formatSeconds(slice.MissTime), strings.Join(marks, ", ")))
	}
	return lines
}

// formatShares prints the longest of some times, with their shares of all.
func formatShares(times []LabeledDuration) string {
	whole := time.Duration(0)
	for _, one := range times {
		whole += one.Duration
	}
	var texts []string
	for _, one := range times[:min(len(times), maxSharesShown)] {
		texts = append(texts, fmt.Sprintf("%.0f%% %s", percent*float64(one.Duration)/float64(whole), one.Label))
	}
	return strings.Join(texts, ", ")
}

func formatSeconds(length time.Duration) string { return fmt.Sprintf("%.1fs", length.Seconds()) }
