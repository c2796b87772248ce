package job_test

import (
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"ambertiller.example/ambertiller/incarnation"
	"ambertiller.example/ambertiller/job"
)

// TestRecordsKeepIncarnations: what is kept of lives is read as it was written, and what an earlier build wrote by ids alone
// stays readable. What such a build reads of a life that it can't name says nothing to it.
func TestRecordsKeepIncarnations(t *testing.T) {
	ended := []incarnation.ID{incarnation.New("i-1", 7), incarnation.New("i-2", 0), incarnation.New("i-1", 9)}
	written := job.NewAgentRecord("side-1", "10.0.0.1:1", ended)
	if got := written.GetEnded(); !slices.Equal(got, []string{"i-2"}) {
		t.Errorf("an earlier build reads %v", got)
	}
	read := written.EndedIncarnations()
	for _, over := range ended {
		if !slices.Contains(read, over) {
			t.Errorf("%v was written, %v read", over, read)
		}
	}
	places := map[string]struct {
		change func(kept *job.Progress)
		want   incarnation.ID
	}{
		"of this build":                 {func(*job.Progress) {}, incarnation.New("i-1", 7)},
		"of an earlier build":           {func(kept *job.Progress) { kept.Born = nil }, incarnation.New("i-1", 0)},
		"of an earlier build, then new": {func(kept *job.Progress) { kept.Born = []int64{} }, incarnation.New("i-1", 0)},
	}
	for name, test := range places {
		t.Run(name, func(t *testing.T) {
			now := time.UnixMilli(1_790_000_000_000)
			handed := &job.Submission{Id: "0123456789abcdef", Steps: []*job.StepSpec{{Count: 1}}}
			made := job.New(handed, 0)
			made.StartRun(made.Tasks()[0], job.Place{Incarnation: incarnation.New("i-1", 7), AgentAddress: "10.0.0.1:1"}, now)
			kept := proto.CloneOf(made.Progress())
			test.change(kept)
			again := job.New(handed, 0)
			again.Restore(kept, now)
			if got := again.Tasks()[0].Place(); got.Incarnation != test.want || got.AgentAddress != "10.0.0.1:1" {
				t.Errorf("placed at %+v", got)
			}
		})
	}
}
