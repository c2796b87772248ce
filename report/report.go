// Package report summarizes the logs of all processes of a deployment over a period of time: which jobs were
// late and what took their time, which serving tasks missed their tail latency targets and which fill tasks
// ran beside them, and how much of each worker was used. Package interference explains serving and fill tasks.
//
// # Critical path
//
// A job ends when its slowest task does. The time of a job is therefore accounted along its critical path:
// from the end of the job back through the runs of the task that ended last, then through those of the task
// of an earlier step that this task had to wait for, and so on back to the acceptance of the job. Tasks that
// ran in parallel to the critical path don't count.
//
// # Usage
//
//	found, err := report.Read(files...)
//	err = found.WriteText(os.Stdout)
//	err = json.NewEncoder(os.Stdout).Encode(found)
//
// Logs may be given in any order and come from any number of processes. Lines without the attributes that are
// needed are ignored. If the log of an entry is missing, the report lacks the jobs of the shards that it
// owned. Times from different machines are compared without correction: if their clocks differ by seconds,
// the times accounted for a job are inaccurate by as much.
package report

import (
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"time"

	"ambertiller.example/ambertiller/logline"
)

// Report summarizes a period of time. Durations are nanoseconds in JSON.
type Report struct {
	// From and To are the times of the first and the last line.
	From time.Time `json:"from"`
	To   time.Time `json:"to"`
	// LineCount is the number of lines read. DroppedLines is the number of lines that processes dropped
	// because their logs were not read fast enough, or grew too fast.
	LineCount    int `json:"lines"`
	DroppedLines int `json:"dropped"`
	// JobGroups are sorted by the name of the queue, and by size within a queue, the largest jobs first.
	JobGroups []JobGroup `json:"queues"`
	// ServingImages are sorted by the time for which they missed their targets, and FillImages by the mean
	// duration of their tasks, both in descending order.
	ServingImages []ServingImage `json:"serving"`
	FillImages    []FillImage    `json:"filling"`
	Workers       []WorkerUsage  `json:"workers"`
	// RunOutcomes counts ended runs by their outcome.
	RunOutcomes []Count         `json:"orders"`
	Timeline    []TimelineSlice `json:"timeline"`
	// Traffic is sorted by bytes in descending order. It is empty for logs of earlier builds, which don't
	// record it.
	Traffic []Traffic `json:"traffic,omitempty"`
	// Refusals, Moves and UnconfirmedOwners are empty for logs without events of the features for hard load.
	Refusals          *Refusals          `json:"refusals,omitempty"`
	Moves             *Moves             `json:"moves,omitempty"`
	UnconfirmedOwners []UnconfirmedOwner `json:"unconfirmed,omitempty"`
}

// Count is the number of occurrences of something.
type Count struct {
	Label string `json:"what"`
	Value int    `json:"times"`
}

// LabeledDuration is a time, labeled with what it was spent on.
type LabeledDuration struct {
	Label    string        `json:"what"`
	Duration time.Duration `json:"time"`
}

// Read reads logs and returns the report on them.
func Read(logs ...io.Reader) (*Report, error) {
	var lines []line
	for _, log := range logs {
		fromLog, err := readLines(log)
		if err != nil {
			return nil, err
		}
		lines = append(lines, fromLog...)
	}
	slices.SortStableFunc(lines, func(a, b line) int { return a.At.Compare(b.At) })
	return summarize(lines), nil
}

// LargestLosses returns up to five job groups with the largest LateWorkShare, in descending order.
func (r *Report) LargestLosses() []JobGroup {
	var groups []JobGroup
	for _, group := range r.JobGroups {
		if group.LateWorkShare > 0 {
			groups = append(groups, group)
		}
	}
	slices.SortStableFunc(groups, func(a, b JobGroup) int { return cmp.Compare(b.LateWorkShare, a.LateWorkShare) })
	return groups[:min(len(groups), maxLossesShown)]
}

func readLines(log io.Reader) ([]line, error) {
	var lines []line
	err := logline.Each(log, func(object []byte) {
		var ln line
		if err := json.Unmarshal(object, &ln); err != nil || ln.At.IsZero() || ln.Event == 0 {
			// The line was truncated, or is not a log line of ambertiller.
			return
		}
		lines = append(lines, ln)
	})
	return lines, err
}

func summarize(lines []line) *Report {
	r := &Report{LineCount: len(lines)}
	if len(lines) == 0 {
		return r
	}
	r.From, r.To = lines[0].At, lines[len(lines)-1].At
	h := newHistory(r.From, r.To)
	for index := range lines {
		h.apply(&lines[index])
	}
	h.closeOpenIntervals()
	r.DroppedLines = h.droppedLines
	r.JobGroups = h.jobGroups()
	r.ServingImages = h.servingImages()
	r.FillImages = h.fillImages()
	r.Workers = h.workerUsage()
	r.RunOutcomes = sortedCounts(h.runOutcomes)
	r.Timeline = h.timeline()
	r.Traffic = h.sortedTraffic()
	r.Refusals = h.refusals.summary()
	r.Moves = h.moves.summary()
	r.UnconfirmedOwners = h.ownership.summary()
	return r
}
