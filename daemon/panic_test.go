package daemon

import (
	"encoding/json"
	"io"
	"os"
	"strings"
	"testing"
)

// TestPanicIsLogged checks that a panic is logged as one line with its value and location, and that it is
// raised again.
func TestPanicIsLogged(t *testing.T) {
	line, value := captureOutput(t, func() {
		var missing *backgroundLoop
		missing.cancel()
	})
	if value == nil {
		t.Error("logPanic did not panic again")
	}
	var logged struct {
		Msg, Fault string
		Frames     []string
	}
	if err := json.Unmarshal([]byte(line), &logged); err != nil {
		t.Fatal(err)
	}
	if logged.Msg != "process failed" || !strings.Contains(logged.Fault, "nil pointer") {
		t.Errorf("logged %+v, want message \"process failed\" and a fault with \"nil pointer\"", logged)
	}
	if len(logged.Frames) == 0 || !strings.HasPrefix(logged.Frames[0], "daemon/panic_test.go:") {
		t.Errorf("frames are %v, want the first in daemon/panic_test.go", logged.Frames)
	}
}

// TestNoPanicLogsNothing checks that a function that returns normally causes no log line.
func TestNoPanicLogsNothing(t *testing.T) {
	if line, value := captureOutput(t, func() {}); line != "" || value != nil {
		t.Errorf("logged %q, panic value %v; want neither", line, value)
	}
}

// captureOutput runs a function with logPanic deferred. It returns what was written to standard output and the
// value of the panic that logPanic raised again.
func captureOutput(t *testing.T, run func()) (line string, value any) {
	t.Helper()
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	stdout := os.Stdout
	os.Stdout = writer
	func() {
		defer func() { value = recover() }()
		defer logPanic()
		run()
	}()
	os.Stdout = stdout
	if err := writer.Close(); err != nil {
		t.Fatal(err)
	}
	output, err := io.ReadAll(reader)
	if err != nil {
		t.Fatal(err)
	}
	return string(output), value
}
