package trace_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"ambertiller.example/ambertiller/trace"
)

// TestTimelines: the logs of several processes in a folder give the page beside it.
func TestTimelines(t *testing.T) {
	folders, err := filepath.Glob("testdata/*/id")
	if err != nil || len(folders) == 0 {
		t.Fatal(folders, err)
	}
	for _, id := range folders {
		folder := filepath.Dir(id)
		name := filepath.Base(folder)
		t.Run(name, func(t *testing.T) {
			life := readTimeline(t, folder)
			goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, name, []byte(strings.Join(life.Lines(), "\n")+"\n"))
		})
	}
}

func readTimeline(t *testing.T, folder string) trace.Timeline {
	id, err := os.ReadFile(filepath.Join(folder, "id"))
	if err != nil {
		t.Fatal(err)
	}
	logs, err := filepath.Glob(filepath.Join(folder, "*.log"))
	if err != nil {
		t.Fatal(err)
	}
	var text []string
	for _, log := range logs {
		content, err := os.ReadFile(log)
		if err != nil {
			t.Fatal(err)
		}
		text = append(text, string(content))
	}
	life, err := trace.Read(strings.TrimSpace(string(id)), strings.NewReader(strings.Join(text, "")))
	if err != nil {
		t.Fatal(err)
	}
	return life
}

func TestNoMatchingLines(t *testing.T) {
	life, err := trace.Read("0123456789abcdef", strings.NewReader("{\"msg\":\"run placed\",\"task\":\"ffffffffffffffff.0.0.0\"}\nnot a log\n{cut off 0123456789abcdef"))
	if err != nil || !life.IsEmpty() {
		t.Errorf("got %v, %v", life.Lines(), err)
	}
}
