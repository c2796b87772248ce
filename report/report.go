// Package report sums up what the logs of all processes say about a stretch of time:
// which jobs were late and where their time went, which serving tasks missed their
// targets beside what, and how much of each worker was used.
//
// # Where a job's time went
//
// A job ends with its slowest task. Its time is therefore told along the chain that
// decided: from its end back through the runs of the task that ended last, to the task
// of an earlier step that this one waited for, and so on to its acceptance. Nothing
// that ran beside the chain counts.
//
// # Usage
//
//	found, err := report.Read(files...)
//	err = found.WriteText(os.Stdout)
//	err = json.NewEncoder(os.Stdout).Encode(found)
//
// Logs may come in any order and from any number of processes. Lines without what is
// needed are passed over; a report of logs that lack a gateway lacks its jobs. Times of
// different machines are compared as they are, so clocks that disagree by seconds blur
// the account of a job by as much.
package report

import (
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"time"

	"ambertiller.example/ambertiller/logline"
)

// Report is the account of a stretch of time. Durations are nanoseconds in JSON.
type Report struct {
	// From and To are the times of the first and the last line.
	From time.Time `json:"from"`
	To   time.Time `json:"to"`
	// LineCount counts what was read, Dropped the lines that processes left out of their
	// logs because nobody read them fast enough.
	LineCount    int `json:"lines"`
	DroppedLines int `json:"dropped"`
	// JobGroups are ordered by name and size of their jobs.
	JobGroups []JobGroup `json:"queues"`
	// ServingImages and Filling are ordered by the time lost.
	ServingImages []ServingImage `json:"serving"`
	FillImages    []FillImage    `json:"filling"`
	Workers       []WorkerUsage  `json:"workers"`
	// RunOutcomes counts orders to start a run by what became of them.
	RunOutcomes []Count         `json:"orders"`
	Timeline    []TimelineSlice `json:"timeline"`
	// Traffic is ordered by bytes; there is none in logs of earlier builds.
	Traffic []Traffic `json:"traffic,omitempty"`
}

// Count is how often something happened.
type Count struct {
	Label string `json:"what"`
	Value int    `json:"times"`
}

// LabeledDuration is time spent on something.
type LabeledDuration struct {
	Label    string        `json:"what"`
	Duration time.Duration `json:"time"`
}

// Read makes the report of logs.
func Read(logs ...io.Reader) (*Report, error) {
	var lines []line
	for _, log := range logs {
		read, err := readLines(log)
		if err != nil {
			return nil, err
		}
		lines = append(lines, read...)
	}
	slices.SortStableFunc(lines, func(a, b line) int { return a.At.Compare(b.At) })
	return summarize(lines), nil
}

// LargestLosses returns the queues and sizes of jobs with the largest shares of their queue's
// work that was not done in time, the largest first.
func (made *Report) LargestLosses() []JobGroup {
	var found []JobGroup
	for _, queue := range made.JobGroups {
		if queue.LateWorkShare > 0 {
			found = append(found, queue)
		}
	}
	slices.SortStableFunc(found, func(a, b JobGroup) int { return cmp.Compare(b.LateWorkShare, a.LateWorkShare) })
	return found[:min(len(found), maxLossesShown)]
}

func readLines(log io.Reader) ([]line, error) {
	var lines []line
	err := logline.Each(log, func(object []byte) {
		var one line
		if err := json.Unmarshal(object, &one); err != nil || one.At.IsZero() || one.Event == 0 {
			// A line that was cut off, or is not a log's.
			return
		}
		lines = append(lines, one)
	})
	return lines, err
}

func summarize(lines []line) *Report {
	made := &Report{LineCount: len(lines)}
	if len(lines) == 0 {
		return made
	}
	made.From, made.To = lines[0].At, lines[len(lines)-1].At
	past := newHistory(made.From, made.To)
	for index := range lines {
		past.apply(&lines[index])
	}
	past.closeOpenIntervals()
	made.DroppedLines = past.droppedLines
	made.JobGroups = past.jobGroups()
	made.ServingImages = past.servingImages()
	made.FillImages = past.fillImages()
	made.Workers = past.workerUsage()
	made.RunOutcomes = sortedCounts(past.runOutcomes)
	made.Timeline = past.timeline()
	made.Traffic = past.sortedTraffic()
	return made
}
