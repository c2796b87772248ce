package daemon

import (
	"encoding/json"
	"io"
	"os"
	"strings"
	"testing"
)

// TestPanicIsLogged: a fault leaves one line that names it and where it was, and is
// not swallowed.
func TestPanicIsLogged(t *testing.T) {
	line, fault := captureOutput(t, func() {
		var missing *backgroundLoop
		missing.cancel()
	})
	if fault == nil {
		t.Error("the fault was swallowed")
	}
	var told struct {
		Msg, Fault string
		Frames     []string
	}
	if err := json.Unmarshal([]byte(line), &told); err != nil {
		t.Fatal(err)
	}
	if told.Msg != "process failed" || !strings.Contains(told.Fault, "nil pointer") {
		t.Errorf("told %+v", told)
	}
	if len(told.Frames) == 0 || !strings.HasPrefix(told.Frames[0], "daemon/panic_test.go:") {
		t.Errorf("it happened at %v", told.Frames)
	}
}

// TestNoPanicLogsNothing: what ends without a fault logs nothing.
func TestNoPanicLogsNothing(t *testing.T) {
	if line, fault := captureOutput(t, func() {}); line != "" || fault != nil {
		t.Errorf("told %q, fault %v", line, fault)
	}
}

// captureOutput runs a function under logPanic and returns what went to standard output and
// the fault that was passed on.
func captureOutput(t *testing.T, run func()) (line string, fault any) {
	t.Helper()
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	output := os.Stdout
	os.Stdout = writer
	func() {
		defer func() { fault = recover() }()
		defer logPanic()
		run()
	}()
	os.Stdout = output
	if err := writer.Close(); err != nil {
		t.Fatal(err)
	}
	told, err := io.ReadAll(reader)
	if err != nil {
		t.Fatal(err)
	}
	return string(told), fault
}
