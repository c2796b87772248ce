package config_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sebdah/goldie/v2"

	"ambertiller.example/ambertiller/config"
)

// TestParse parses each testdata/*.yaml and compares every fault it has, or
// what was understood, with its golden file.
func TestParse(t *testing.T) {
	files, err := filepath.Glob("testdata/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatalf("no cases: %v", err)
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".yaml")
		t.Run(name, func(t *testing.T) {
			content, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			goldie.New(t).Assert(t, name, []byte(formatResult(content)))
		})
	}
}

func formatResult(content []byte) string {
	parsed, err := config.Parse(content)
	var faults config.Faults
	if errors.As(err, &faults) {
		var out strings.Builder
		for _, fault := range faults {
			fmt.Fprintln(&out, fault)
		}
		return out.String()
	}
	return fmt.Sprintf("%+v\n%+v\n%+v\n%+v\n", parsed.Services(), parsed.Kinds(), parsed.Teams(), parsed.Limits())
}

func TestExamplesAreValid(t *testing.T) {
	for _, name := range []string{"verbalia", "sapporo"} {
		t.Run(name, func(t *testing.T) {
			content, err := os.ReadFile("../examples/" + name + "/config.yaml")
			if err != nil {
				t.Fatal(err)
			}
			if _, err := config.Parse(content); err != nil {
				t.Error(err)
			}
		})
	}
}

func TestParseSize(t *testing.T) {
	tests := map[string]struct {
		want  int64
		wrong bool
	}{
		"1048576":                {want: 1 << 20},
		"512MiB":                 {want: 512 << 20},
		"1.5 GiB":                {want: 3 << 29},
		"0":                      {want: 0},
		"-1":                     {wrong: true},
		"12 parsecs":             {wrong: true},
		"":                       {wrong: true},
		"99999999999999999999":   {wrong: true},
		"9999999999999999999TiB": {wrong: true},
	}
	for text, test := range tests {
		t.Run(text, func(t *testing.T) {
			got, err := config.ParseSize(text)
			if got != test.want || (err != nil) != test.wrong {
				t.Errorf("got %d, %v", got, err)
			}
		})
	}
}

// FuzzParse must neither fail without a fault nor accept a value out of bounds.
func FuzzParse(f *testing.F) {
	files, err := filepath.Glob("testdata/*.yaml")
	if err != nil {
		f.Fatal(err)
	}
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(content)
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		parsed, err := config.Parse(content)
		var faults config.Faults
		if err != nil && (!errors.As(err, &faults) || len(faults) == 0) {
			t.Fatalf("an error without a fault: %v", err)
		}
		if err != nil {
			return
		}
		for name, service := range parsed.Services() {
			if service.Slots() < 1 || service.Timeout() <= 0 || service.MaxBodyBytes() < 1 {
				t.Errorf("%s is %+v", name, service)
			}
		}
		for name, kind := range parsed.Kinds() {
			if kind.Lease() < time.Second || kind.Priority() < 0 {
				t.Errorf("%s is %+v", name, kind)
			}
		}
	})
}

func ExampleParse() {
	_, err := config.Parse([]byte("kinds:\n  minutes: {class: quick}\nteams:\n  a: {}\n"))
	var faults config.Faults
	if errors.As(err, &faults) {
		fmt.Println(faults[0])
	}
	// Output: 2:20: kinds.minutes.class: "quick" is not a class; use latency-critical, batch or watch
}
