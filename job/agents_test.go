package job_test

import (
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"ambertiller.example/ambertiller/incarnation"
	"ambertiller.example/ambertiller/job"
)

// TestRecordsKeepIncarnations checks that incarnations are read as they were written, and that records of
// earlier builds, which have worker IDs alone, stay readable. In a new record, such a build must not find the
// worker ID of an incarnation with a start time: it would take every incarnation of that worker for ended.
func TestRecordsKeepIncarnations(t *testing.T) {
	ended := []incarnation.ID{incarnation.New("i-1", 7), incarnation.New("i-2", 0), incarnation.New("i-1", 9)}
	record := job.NewAgentRecord("side-1", "10.0.0.1:1", ended)
	if got := record.GetEnded(); !slices.Equal(got, []string{"i-2"}) {
		t.Errorf("an earlier build reads %v", got)
	}
	got := record.EndedIncarnations()
	for _, id := range ended {
		if !slices.Contains(got, id) {
			t.Errorf("wrote %v, read %v", id, got)
		}
	}
	places := map[string]struct {
		change func(progress *job.Progress)
		want   incarnation.ID
	}{
		"this build":                {func(*job.Progress) {}, incarnation.New("i-1", 7)},
		"earlier build":             {func(progress *job.Progress) { progress.Born = nil }, incarnation.New("i-1", 0)},
		"earlier build, empty list": {func(progress *job.Progress) { progress.Born = []int64{} }, incarnation.New("i-1", 0)},
	}
	for name, test := range places {
		t.Run(name, func(t *testing.T) {
			now := time.UnixMilli(1_790_000_000_000)
			submission := &job.Submission{Id: "0123456789abcdef", Steps: []*job.StepSpec{{Count: 1}}}
			original := job.New(submission, 0)
			original.StartRun(original.Tasks()[0], job.Place{Incarnation: incarnation.New("i-1", 7), AgentAddress: "10.0.0.1:1"}, now)
			progress := proto.CloneOf(original.Progress())
			test.change(progress)
			restored := job.New(submission, 0)
			restored.Restore(progress, now)
			if got := restored.Tasks()[0].Place(); got.Incarnation != test.want || got.AgentAddress != "10.0.0.1:1" {
				t.Errorf("restored place %+v", got)
			}
		})
	}
}
