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

// TestParse parses each testdata/*.yaml and compares the faults, or the resulting
// configuration if there are none, with the golden file of the same name.
func TestParse(t *testing.T) {
	files, err := filepath.Glob("testdata/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatalf("found no files in testdata: %v", err)
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

// formatResult returns the faults of a document, or the parsed configuration if it has none.
func formatResult(content []byte) string {
	c, err := config.Parse(content)
	var faults config.Faults
	if errors.As(err, &faults) {
		var out strings.Builder
		for _, fault := range faults {
			fmt.Fprintln(&out, fault)
		}
		return out.String()
	}
	return fmt.Sprintf("%+v\n%+v\n%+v\n%+v\n", c.Services(), c.Kinds(), c.Teams(), c.Limits())
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
		want    int64
		invalid bool
	}{
		"1048576":                {want: 1 << 20},
		"512MiB":                 {want: 512 << 20},
		"1.5 GiB":                {want: 3 << 29},
		"0":                      {want: 0},
		"-1":                     {invalid: true},
		"12 parsecs":             {invalid: true},
		"":                       {invalid: true},
		"99999999999999999999":   {invalid: true},
		"9999999999999999999TiB": {invalid: true},
	}
	for text, test := range tests {
		t.Run(text, func(t *testing.T) {
			got, err := config.ParseSize(text)
			if got != test.want || (err != nil) != test.invalid {
				t.Errorf("ParseSize returned %d, %v", got, err)
			}
		})
	}
}

// FuzzParse checks that an error of Parse always has at least one fault, and that an accepted
// document has no value that is out of bounds.
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
		c, err := config.Parse(content)
		var faults config.Faults
		if err != nil && (!errors.As(err, &faults) || len(faults) == 0) {
			t.Fatalf("Parse returned an error without faults: %v", err)
		}
		if err != nil {
			return
		}
		for name, service := range c.Services() {
			if service.Slots() < 1 || service.Timeout() <= 0 || service.MaxBodyBytes() < 1 {
				t.Errorf("service %s was accepted with a value out of bounds: %+v", name, service)
			}
		}
		for name, kind := range c.Kinds() {
			if kind.Lease() < time.Second || kind.Priority() < 0 {
				t.Errorf("kind %s was accepted with a value out of bounds: %+v", name, kind)
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
