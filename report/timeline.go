package report

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"ambertiller.example/ambertiller/event"
)

// sliceLength is the time that a row of the timeline covers.
const sliceLength = 2 * time.Second

// TimelineSlice summarizes one period of two seconds.
type TimelineSlice struct {
	From time.Time `json:"from"`
	// InTime and Late count the jobs that were accepted in this period and have ended since, without the
	// cancelled ones. Late jobs took longer than their target duration, or failed.
	InTime int `json:"in_time"`
	Late   int `json:"late"`
	// Placed, Refused and Evicted count the runs to which this happened in this period.
	Placed  int `json:"placed"`
	Refused int `json:"refused"`
	Evicted int `json:"evicted"`
	// MissTime is how long serving tasks missed their targets, in total.
	MissTime time.Duration `json:"over"`
	// Events counts events that may explain the other numbers, such as the loss and return of workers.
	Events []Count `json:"marks"`
}

// timelineLabels holds the events that the timeline shows, with their labels.
var timelineLabels = map[event.Code]string{
	event.ProcessStarted:       "process started",
	event.ProcessStopping:      "process stopping",
	event.StoreLost:            "store lost",
	event.StoreBack:            "store back",
	event.StoreSlow:            "store slow",
	event.OwnersUnknown:        "owners unknown",
	event.ShardGivenUp:         "shard given up",
	event.ShardLoaded:          "shard loaded",
	event.AgentLost:            "agent lost",
	event.WorkerLost:           "worker lost",
	event.WorkerLeft:           "worker left",
	event.WorkerSilent:         "worker silent",
	event.WorkerBack:           "worker back",
	event.ConfigurationInForce: "configuration in force",
	event.DomainEvacuated:      "failure domain evacuated",
	event.DomainGivenBack:      "failure domain given back",
	event.JobRefused:           "job refused",
	event.JobUnsettled:         "job unsettled",
}

// applyTimelineEvent records the event of a line if the timeline shows it.
func (h *history) applyTimelineEvent(ln *line) {
	if label, isShown := timelineLabels[ln.Event]; isShown {
		h.timelineEvents = append(h.timelineEvents, timelineEvent{at: ln.At, label: label})
	}
}

func (h *history) timeline() []TimelineSlice {
	rows := make([]TimelineSlice, int(h.to.Sub(h.from)/sliceLength)+1)
	for index := range rows {
		rows[index].From = h.from.Add(time.Duration(index) * sliceLength)
	}
	at := func(t time.Time) *TimelineSlice {
		return &rows[min(max(int(t.Sub(h.from)/sliceLength), 0), len(rows)-1)]
	}
	for _, j := range h.jobs {
		switch j.outcome() {
		case jobInTime:
			at(j.acceptedAt).InTime++
		case jobLate, jobVeryLate, jobFailed:
			at(j.acceptedAt).Late++
		case jobOpen, jobCancelled:
		}
	}
	for _, task := range h.tasks {
		for _, run := range task.runs {
			countRun(run, at)
		}
	}
	for _, m := range h.misses {
		addMissTime(m, at)
	}
	counts := map[*TimelineSlice]map[string]int{}
	for _, e := range h.timelineEvents {
		if counts[at(e.at)] == nil {
			counts[at(e.at)] = map[string]int{}
		}
		counts[at(e.at)][e.label]++
	}
	for slice, byLabel := range counts {
		slice.Events = sortedCounts(byLabel)
	}
	return rows
}

// countRun adds a run to the slices in which it was placed, refused and evicted.
func countRun(run *runHistory, at func(time.Time) *TimelineSlice) {
	at(run.placedAt).Placed++
	if run.outcome == runRefused {
		at(run.endedAt).Refused++
	}
	if run.evicted {
		at(run.endedAt).Evicted++
	}
}

// addMissTime distributes the duration of a miss over the slices that it covers.
func addMissTime(m *miss, at func(time.Time) *TimelineSlice) {
	for from := m.from; from.Before(m.to); {
		slice := at(from)
		to := slice.From.Add(sliceLength)
		if to.After(m.to) || !to.After(from) {
			to = m.to
		}
		slice.MissTime += to.Sub(from)
		from = to
	}
}

// sortedCounts returns the counts in descending order.
func sortedCounts(byLabel map[string]int) []Count {
	var sorted []Count
	for label, count := range byLabel {
		sorted = append(sorted, Count{Label: label, Value: count})
	}
	slices.SortFunc(sorted, func(a, b Count) int {
		return cmp.Or(cmp.Compare(b.Value, a.Value), strings.Compare(a.Label, b.Label))
	})
	return sorted
}
