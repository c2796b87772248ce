package report

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"ambertiller.example/ambertiller/event"
)

// Refusals summarizes the jobs that gateways refused, and the callers that came back after a refusal for load.
type Refusals struct {
	// Causes are sorted by the number of refusals in descending order.
	Causes []RefusalCause `json:"causes"`
	// Returns counts the times that a caller came back, and ReturnedJobs the jobs for which one did.
	// AdmittedJobs counts those of them that were admitted then.
	Returns      int `json:"returns"`
	ReturnedJobs int `json:"returned_jobs"`
	AdmittedJobs int `json:"admitted_jobs"`
}

// RefusalCause counts the refusals with one cause. A cancellation that the store did not take is logged like a
// submission, and counts as one.
type RefusalCause struct {
	Cause    string `json:"cause"`
	Refusals int    `json:"refusals"`
	Jobs     int    `json:"jobs"`
}

// The causes of refusals. A refusal for load is followed by its reason.
const (
	causeLoadPrefix = "load: "
	causeStoreAway  = "store: unavailable"
	causeDeadline   = "store: " + event.ReasonDeadlinePassed
	causeNotTaken   = "store: did not take the record"
	causeInvalid    = "other: invalid submission"
)

// refusalHistory holds what is known of refused jobs.
type refusalHistory struct {
	counts   map[string]int             // refusals by cause
	jobs     map[string]map[string]bool // IDs of the refused jobs by cause
	returns  int
	admitted map[string]bool // by the ID of a job whose caller came back
	// isShown is whether the logs have events of the features for hard load. Reports on other logs are without
	// refusals.
	isShown bool
}

func newRefusalHistory() refusalHistory {
	return refusalHistory{counts: map[string]int{}, jobs: map[string]map[string]bool{}, admitted: map[string]bool{}}
}

// apply updates the history from a log line.
func (refused *refusalHistory) apply(ln *line) {
	refused.isShown = refused.isShown || ln.isOfHardLoad()
	switch ln.Event {
	case event.JobRefused:
		cause := ln.refusalCause()
		refused.counts[cause]++
		if refused.jobs[cause] == nil {
			refused.jobs[cause] = map[string]bool{}
		}
		refused.jobs[cause][ln.Job] = true
	case event.JobReturned:
		refused.returns++
		refused.admitted[ln.Job] = refused.admitted[ln.Job] || ln.Admitted
	}
}

// isOfHardLoad reports whether only a process with a feature for hard load logs such a line.
func (ln *line) isOfHardLoad() bool {
	return ln.Event >= event.JobForecast && ln.Event <= event.OwnershipConfirmed || ln.isRefusalForLoad()
}

// isRefusalForLoad reports whether a job was refused by its forecast. Only such refusals say until when the job is
// of use.
func (ln *line) isRefusalForLoad() bool { return ln.Event == event.JobRefused && ln.Useful > 0 }

// refusalCause returns the cause of a refusal. The caller of an invalid submission is not told to come back.
func (ln *line) refusalCause() string {
	switch {
	case ln.isRefusalForLoad():
		return causeLoadPrefix + ln.Reason
	case len(ln.RetryAfter) == 0:
		return causeInvalid
	case ln.Reason == event.ReasonStoreUnavailable:
		return causeStoreAway
	case ln.Reason == event.ReasonDeadlinePassed:
		return causeDeadline
	}
	return causeNotTaken
}

// summary returns the refusals, or nil if none are shown.
func (refused *refusalHistory) summary() *Refusals {
	if !refused.isShown || len(refused.counts) == 0 && refused.returns == 0 {
		return nil
	}
	summary := &Refusals{Returns: refused.returns, ReturnedJobs: len(refused.admitted)}
	for cause, count := range refused.counts {
		summary.Causes = append(summary.Causes, RefusalCause{Cause: cause, Refusals: count, Jobs: len(refused.jobs[cause])})
	}
	slices.SortFunc(summary.Causes, func(a, b RefusalCause) int {
		return cmp.Or(cmp.Compare(b.Refusals, a.Refusals), strings.Compare(a.Cause, b.Cause))
	})
	for _, admitted := range refused.admitted {
		if admitted {
			summary.AdmittedJobs++
		}
	}
	return summary
}

func (r *Report) refusalLines() []string {
	if r.Refusals == nil {
		return nil
	}
	lines := []string{"REFUSED FOR\tTIMES\tJOBS"}
	for _, cause := range r.Refusals.Causes {
		lines = append(lines, fmt.Sprintf("%s\t%d\t%d", cause.Cause, cause.Refusals, cause.Jobs))
	}
	return append(lines, fmt.Sprintf("callers that came back after a refusal for load: %d times for %d jobs, of which %d were admitted",
		r.Refusals.Returns, r.Refusals.ReturnedJobs, r.Refusals.AdmittedJobs))
}
