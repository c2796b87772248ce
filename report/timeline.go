package report

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"ambertiller.example/ambertiller/event"
)

// sliceLength is how much time a row of the timeline covers.
const sliceLength = 2 * time.Second

// TimelineSlice is what happened in two seconds.
type TimelineSlice struct {
	From time.Time `json:"from"`
	// InTime and Late are jobs by when they were handed in: Late ones ended after
	// their objective, or failed.
	InTime int `json:"in_time"`
	Late   int `json:"late"`
	// Placed, Refused and Evicted count runs by when that happened.
	Placed  int `json:"placed"`
	Refused int `json:"refused"`
	Evicted int `json:"evicted"`
	// MissTime is for how long serving tasks missed their targets, added up over them.
	MissTime time.Duration `json:"over"`
	// Events are losses and returns.
	Events []Count `json:"marks"`
}

// timelineLabels names the events that a timeline shows.
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

func (past *history) applyTimelineEvent(one *line) {
	if what, shown := timelineLabels[one.Event]; shown {
		past.timelineEvents = append(past.timelineEvents, timelineEvent{at: one.At, label: what})
	}
}

func (past *history) timeline() []TimelineSlice {
	rows := make([]TimelineSlice, int(past.to.Sub(past.from)/sliceLength)+1)
	for index := range rows {
		rows[index].From = past.from.Add(time.Duration(index) * sliceLength)
	}
	at := func(when time.Time) *TimelineSlice {
		return &rows[min(max(int(when.Sub(past.from)/sliceLength), 0), len(rows)-1)]
	}
	for _, of := range past.jobs {
		switch of.outcome() {
		case jobInTime:
			at(of.acceptedAt).InTime++
		case jobLate, jobVeryLate, jobFailed:
			at(of.acceptedAt).Late++
		case jobOpen, jobCancelled:
		}
	}
	for _, task := range past.tasks {
		for _, run := range task.runs {
			countRun(run, at)
		}
	}
	for _, one := range past.misses {
		addMissTime(one, at)
	}
	marks := map[*TimelineSlice]map[string]int{}
	for _, one := range past.timelineEvents {
		if marks[at(one.at)] == nil {
			marks[at(one.at)] = map[string]int{}
		}
		marks[at(one.at)][one.label]++
	}
	for slice, found := range marks {
		slice.Events = sortedCounts(found)
	}
	return rows
}

func countRun(run *runHistory, at func(time.Time) *TimelineSlice) {
	at(run.placedAt).Placed++
	if run.outcome == runRefused {
		at(run.endedAt).Refused++
	}
	if run.evicted {
		at(run.endedAt).Evicted++
	}
}

// addMissTime adds the time of a miss to the slices that it covers.
func addMissTime(one *miss, at func(time.Time) *TimelineSlice) {
	for from := one.from; from.Before(one.to); {
		slice := at(from)
		to := slice.From.Add(sliceLength)
		if to.After(one.to) || !to.After(from) {
			to = one.to
		}
		slice.MissTime += to.Sub(from)
		from = to
	}
}

// sortedCounts orders counts, the highest first.
func sortedCounts(times map[string]int) []Count {
	var ordered []Count
	for what, often := range times {
		ordered = append(ordered, Count{Label: what, Value: often})
	}
	slices.SortFunc(ordered, func(a, b Count) int {
		return cmp.Or(cmp.Compare(b.Value, a.Value), strings.Compare(a.Label, b.Label))
	})
	return ordered
}
