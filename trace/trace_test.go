package trace_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"ambertiller.example/ambertiller/trace"
)

// TestTimelines checks that the logs in each directory of testdata give the timeline in the golden file next
// to it.
func TestTimelines(t *testing.T) {
	idFiles, err := filepath.Glob("testdata/*/id")
	if err != nil || len(idFiles) == 0 {
		t.Fatal(idFiles, err)
	}
	for _, idFile := range idFiles {
		dir := filepath.Dir(idFile)
		name := filepath.Base(dir)
		t.Run(name, func(t *testing.T) {
			timeline := readTimeline(t, dir)
			goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, name, []byte(strings.Join(timeline.Lines(), "\n")+"\n"))
		})
	}
}

func readTimeline(t *testing.T, dir string) trace.Timeline {
	id, err := os.ReadFile(filepath.Join(dir, "id"))
	if err != nil {
		t.Fatal(err)
	}
	logs, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		t.Fatal(err)
	}
	var contents []string
	for _, log := range logs {
		content, err := os.ReadFile(log)
		if err != nil {
			t.Fatal(err)
		}
		contents = append(contents, string(content))
	}
	timeline, err := trace.Read(strings.TrimSpace(string(id)), strings.NewReader(strings.Join(contents, "")))
	if err != nil {
		t.Fatal(err)
	}
	return timeline
}

func TestNoMatchingLines(t *testing.T) {
	timeline, err := trace.Read("0123456789abcdef", strings.NewReader("{\"msg\":\"run placed\",\"task\":\"ffffffffffffffff.0.0.0\"}\nnot a log\n{cut off 0123456789abcdef"))
	if err != nil || !timeline.IsEmpty() {
		t.Errorf("got %v, %v", timeline.Lines(), err)
	}
}
