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
	// columnPad stands between the columns of a table.
	columnPad = 2
	// spansShown bounds how many of a row's spans are printed.
	spansShown = 5
	// lossesShown bounds the list of the largest losses.
	lossesShown = 5
)

// WriteText prints the report as tables, the largest losses first.
func (made *Report) WriteText(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, columnPad, ' ', 0)
	for _, section := range [][]string{
		made.heading(), made.lossLines(), made.queueLines(), made.servingLines(), made.fillingLines(), made.workerLines(), made.trafficLines(), made.timelineLines(),
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

func (made *Report) heading() []string {
	lines := []string{fmt.Sprintf("%s from %s, %d lines", made.To.Sub(made.From).Round(time.Second), made.From.Format(time.RFC3339), made.Lines)}
	if made.Dropped > 0 {
		lines = append(lines, fmt.Sprintf("processes left out %d lines: what follows is incomplete", made.Dropped))
	}
	var orders []string
	for _, one := range made.Orders {
		orders = append(orders, fmt.Sprintf("%d %s", one.Times, one.What))
	}
	return append(lines, "runs: "+strings.Join(orders, ", "))
}

// lossLines names the queues and sizes with the most work that was not in time, and
// what took the time.
func (made *Report) lossLines() []string {
	lines := []string{"LARGEST LOSSES"}
	for _, queue := range made.Losses() {
		lines = append(lines, fmt.Sprintf("%.0f%% of the work of %s is in %s jobs that were not in time (%d of %d): %s",
			queue.Lost*percent, queue.Name, queue.Size, queue.Late+queue.Beyond+queue.Failed, queue.Jobs, shares(queue.Spent)))
	}
	for _, serving := range made.Serving {
		if serving.Over > 0 && len(lines) <= lossesShown {
			lines = append(lines, fmt.Sprintf("image %s missed its target for %s of %s, beside %s",
				serving.Image, seconds(serving.Over), seconds(serving.Ran), shares(serving.Beside)))
		}
	}
	return lines
}

func (made *Report) queueLines() []string {
	lines := []string{"JOBS\tSIZE\tJOBS\tIN TIME\tLATE\tBEYOND 3x\tFAILED\tCANCELLED\tOPEN\tTOOK/ALLOWED"}
	for _, queue := range made.Queues {
		lines = append(lines, fmt.Sprintf("%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f", queue.Name, queue.Size, queue.Jobs,
			queue.InTime, queue.Late, queue.Beyond, queue.Failed, queue.Cancelled, queue.Open, queue.Slowness))
	}
	return lines
}

func (made *Report) servingLines() []string {
	lines := []string{"SERVING\tRAN\tOVER TARGET\tMISSES\tBESIDE"}
	for _, serving := range made.Serving {
		lines = append(lines, fmt.Sprintf("%s\t%s\t%s\t%d\t%s", serving.Image, seconds(serving.Ran), seconds(serving.Over), serving.Misses, shares(serving.Beside)))
	}
	return lines
}

func (made *Report) fillingLines() []string {
	lines := []string{"FILLING\tTASKS\tESTIMATE\tTOOK\tSLOWEST TENTH\tEVICTED\tSLOWED\tWAITED"}
	for _, filling := range made.Filling {
		lines = append(lines, fmt.Sprintf("%s\t%d\t%s\t%s\t%s\t%d\t%s\t%s", filling.Image, filling.Tasks, seconds(filling.Estimated),
			seconds(filling.Took), seconds(filling.Slowest), filling.Evicted, seconds(filling.Slowed), seconds(filling.Waited)))
	}
	return lines
}

func (made *Report) workerLines() []string {
	lines := []string{"WORKER\tMACHINE\tKNOWN\tCORES\tSERVING\tOTHER\tFILLING\tIMAGES\tOVER TARGET\tEVICTED\tLOST"}
	for _, worker := range made.Workers {
		lines = append(lines, fmt.Sprintf("%s\t%s\t%s\t%.0f\t%.1f\t%.1f\t%.1f\t%d\t%s\t%d\t%d", worker.Worker, worker.Machine, seconds(worker.Known),
			worker.Cores, worker.Serving, worker.Other, worker.Filling, worker.Images, seconds(worker.Over), worker.Evicted, worker.Lost))
	}
	return lines
}

func (made *Report) timelineLines() []string {
	lines := []string{"SECOND\tIN TIME\tNOT\tPLACED\tREFUSED\tEVICTED\tOVER TARGET\tLOST AND BACK"}
	for _, slice := range made.Timeline {
		var marks []string
		for _, one := range slice.Marks {
			marks = append(marks, fmt.Sprintf("%d %s", one.Times, one.What))
		}
		lines = append(lines, fmt.Sprintf("%.0f\t%d\t%d\t%d\t%d\t%d\t%s\t%s", slice.From.Sub(made.From).Seconds(),
			slice.InTime, slice.Late, slice.Placed, slice.Refused, slice.Evicted, seconds(slice.Over), strings.Join(marks, ", ")))
	}
	return lines
}

// shares prints the longest of some times, with their shares of all.
func shares(times []Span) string {
	whole := time.Duration(0)
	for _, one := range times {
		whole += one.Time
	}
	var texts []string
	for _, one := range times[:min(len(times), spansShown)] {
		texts = append(texts, fmt.Sprintf("%.0f%% %s", percent*float64(one.Time)/float64(whole), one.What))
	}
	return strings.Join(texts, ", ")
}

func seconds(length time.Duration) string { return fmt.Sprintf("%.1fs", length.Seconds()) }
