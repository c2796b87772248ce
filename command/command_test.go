package command_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"ambertiller.example/ambertiller/api"
	"ambertiller.example/ambertiller/command"
)

// runCommand runs a command in this process and returns its exit code and output.
func runCommand(args ...string) (code int, out, errOut string) {
	var stdout, stderr bytes.Buffer
	code = command.Run(context.Background(), append([]string{"ambertiller"}, args...), &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

// TestSettingsReportEveryFault checks that a command with several invalid flags
// reports all of them together and starts nothing.
func TestSettingsReportEveryFault(t *testing.T) {
	tests := map[string]struct {
		args []string
		want []string
	}{
		"entry": {
			[]string{"entry", "--http", "localhost:1", "--rpc", "127.0.0.1", "--platform", "ftp://x", "--stop-timeout", "0s", "--appends-per-second", "0", "--log-level", "loud"},
			[]string{"--name must be set", "--failure-domain must be set", "--http must name an IP number", "--rpc must be an IP number and port", "--platform must be a URL", "--stop-timeout must be", "--appends-per-second is out of bounds", `"loud"`},
		},
		"guard": {
			[]string{"guard"},
			[]string{"--name", "--service", "--rpc", "--admin", "--platform", "--worker", "--backend"},
		},
		"standin":  {[]string{"standin", "--network", "10.0", "--workers", "0"}, []string{"--network", "--workers"}},
		"operator": {[]string{"--output", "xml", "--entry", "nowhere", "workers"}, []string{"--output must be table or json", "--entry must be a URL"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			code, _, stderr := runCommand(test.args...)
			if code != command.ExitUsage {
				t.Errorf("exit code %d: %s", code, stderr)
			}
			for _, want := range test.want {
				if !strings.Contains(stderr, want) {
					t.Errorf("%q is not in %s", want, stderr)
				}
			}
		})
	}
}

// TestEnvironmentVariables checks that a flag takes its value from its environment variable.
func TestEnvironmentVariables(t *testing.T) {
	t.Setenv("AMBERTILLER_OUTPUT", "json")
	code, out, stderr := runCommand("version")
	var info struct {
		Version string `json:"version"`
	}
	if err := json.Unmarshal([]byte(out), &info); code != command.ExitOK || err != nil || info.Version == "" {
		t.Errorf("exit code %d, %q, %q, %v", code, out, stderr, err)
	}
}

// TestExitCodes checks the exit code for each kind of problem, and that an error
// message is printed.
func TestExitCodes(t *testing.T) {
	tests := map[string]struct {
		problem api.Problem
		code    int
	}{
		"not found":           {api.Problem{Type: api.TypeNotFound, Status: http.StatusNotFound}, command.ExitNotFound},
		"conflict":            {api.Problem{Type: api.TypeConflict, Status: http.StatusConflict}, command.ExitConflict},
		"faults":              {api.Problem{Type: api.TypeBadRequest, Status: http.StatusBadRequest, Faults: []api.Fault{{Message: "x"}}}, command.ExitFaults},
		"bad request":         {api.Problem{Type: api.TypeBadRequest, Status: http.StatusBadRequest}, command.ExitUsage},
		"log down":            {api.Problem{Type: api.TypeLogUnavailable, Status: http.StatusServiceUnavailable, Outcome: api.OutcomeNotRun}, command.ExitUnavailable},
		"log outcome unknown": {api.Problem{Type: api.TypeLogUnavailable, Status: http.StatusServiceUnavailable, Outcome: api.OutcomeUnknown}, command.ExitUnreachable},
		"impossible task":     {api.Problem{Type: api.TypeCanNeverRun, Status: http.StatusUnprocessableEntity}, command.ExitFailed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			entry := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				writer.Header().Set("Content-Type", api.ProblemType)
				writer.WriteHeader(test.problem.Status)
				_ = json.NewEncoder(writer).Encode(test.problem)
			}))
			defer entry.Close()
			if code, _, stderr := runCommand("--entry", entry.URL, "task", "t-1"); code != test.code || stderr == "" {
				t.Errorf("exit code %d: %q", code, stderr)
			}
		})
	}
	t.Run("no entry", func(t *testing.T) {
		if code, _, stderr := runCommand("--entry", "http://127.0.0.1:1", "workers"); code != command.ExitUnreachable || !strings.Contains(stderr, "check --entry") {
			t.Errorf("exit code %d: %q", code, stderr)
		}
	})
}

// TestCheckOffline checks that documents can be checked without an entry.
func TestCheckOffline(t *testing.T) {
	if code, _, stderr := runCommand("config", "check", "--offline", "../examples/sapporo/config.yaml"); code != command.ExitOK {
		t.Errorf("exit code %d: %s", code, stderr)
	}
	if code, _, _ := runCommand("config", "check", "--offline", "../config/testdata/every-fault.yaml"); code != command.ExitFaults {
		t.Errorf("exit code %d", code)
	}
	if code, _, _ := runCommand("policy", "check", "--offline", "../examples/verbalia/placement.expr"); code != command.ExitOK {
		t.Errorf("exit code %d", code)
	}
}
