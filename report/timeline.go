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

// Slice is what happened in two seconds.
type Slice struct {
	From time.Time `json:"from"`
	// InTime and Late are jobs by when they were handed in: Late ones ended after
	// their objective, or failed.
	InTime int `json:"in_time"`
	Late   int `json:"late"`
	// Placed, Refused and Evicted count runs by when that happened.
	Placed  int `json:"placed"`
	Refused int `json:"refused"`
	Evicted int `json:"evicted"`
	// Over is for how long serving tasks missed their targets, added up over them.
	Over time.Duration `json:"over"`
	// Marks are losses and returns.
	Marks []Count `json:"marks"`
}

// marked names the events that a timeline shows.
var marked = map[event.Code]string{
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

func (past *history) noteMark(one *line) {
	if what, shown := marked[one.Event]; shown {
		past.marks = append(past.marks, mark{at: one.At, what: what})
	}
}

func (past *history) timeline() []Slice {
	rows := make([]Slice, int(past.to.Sub(past.from)/sliceLength)+1)
	for index := range rows {
		rows[index].From = past.from.Add(time.Duration(index) * sliceLength)
	}
	at := func(when time.Time) *Slice {
		return &rows[min(max(int(when.Sub(past.from)/sliceLength), 0), len(rows)-1)]
	}
	for _, of := range past.jobs {
		switch of.outcome() {
		case inTime:
			at(of.acceptedAt).InTime++
		case late, beyond, failed:
			at(of.acceptedAt).Late++
		case stillOpen, cancelled:
		}
	}
	for _, task := range past.tasks {
		for _, run := range task.runs {
			noteRun(run, at)
		}
	}
	for _, one := range past.misses {
		spread(one, at)
	}
	marks := map[*Slice]map[string]int{}
	for _, one := range past.marks {
		if marks[at(one.at)] == nil {
			marks[at(one.at)] = map[string]int{}
		}
		marks[at(one.at)][one.what]++
	}
	for slice, found := range marks {
		slice.Marks = counts(found)
	}
	return rows
}

func noteRun(run *runHistory, at func(time.Time) *Slice) {
	at(run.placedAt).Placed++
	if run.how == runRefused {
		at(run.endedAt).Refused++
	}
	if run.evicted {
		at(run.endedAt).Evicted++
	}
}

// spread adds the time of a miss to the slices that it covers.
func spread(one *miss, at func(time.Time) *Slice) {
	for from := one.from; from.Before(one.to); {
		slice := at(from)
		to := slice.From.Add(sliceLength)
		if to.After(one.to) || !to.After(from) {
			to = one.to
		}
		slice.Over += to.Sub(from)
		from = to
	}
}

// counts orders counts, the highest first.
func counts(times map[string]int) []Count {
	var ordered []Count
	for what, often := range times {
		ordered = append(ordered, Count{What: what, Times: often})
	}
	slices.SortFunc(ordered, func(a, b Count) int {
		return cmp.Or(cmp.Compare(b.Times, a.Times), strings.Compare(a.What, b.What))
	})
	return ordered
}
