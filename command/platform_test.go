package command_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"ambertiller.example/ambertiller/command"
)

// TestPlatformSettingsAreChecked checks that both roles of the platform report all faults of the
// settings file in one line and start nothing.
func TestPlatformSettingsAreChecked(t *testing.T) {
	valid := `
node_name = "edge-1"
ip = "127.0.0.1"
internal_ports = [7720, 7735]
[bounds]
max_hold_ms = 6000
grace_s = 6
[platform]
address = "127.0.0.1:8169"
parts = 8
`
	tests := map[string]struct {
		text string
		code int
		want []string
	}{
		"valid":      {valid, command.ExitOK, nil},
		"two faults": {strings.Replace(strings.Replace(valid, "edge-1", "", 1), "parts = 8", "", 1), command.ExitUsage, []string{"node_name is empty", "platform.parts must be at least 1"}},
		"not TOML":   {"{}", command.ExitUsage, []string{"settings"}},
	}
	for _, role := range []string{"gateway", "agent"} {
		for name, test := range tests {
			t.Run(role+" "+name, func(t *testing.T) {
				path := filepath.Join(t.TempDir(), "local.toml")
				if err := os.WriteFile(path, []byte(test.text), 0o600); err != nil {
					t.Fatal(err)
				}
				code, _, stderr := runCommand(role, "--settings", path, "--check")
				if code != test.code || strings.Count(stderr, "\n") > 1 {
					t.Errorf("exit code %d, stderr %q", code, stderr)
				}
				for _, want := range test.want {
					if !strings.Contains(stderr, want) {
						t.Errorf("%q does not contain %q", stderr, want)
					}
				}
			})
		}
	}
}

// TestUnknownFeature checks that a role does not start with a feature that it doesn't have.
func TestUnknownFeature(t *testing.T) {
	path := filepath.Join(t.TempDir(), "local.toml")
	text := "node_name = \"edge-1\"\nip = \"127.0.0.1\"\ninternal_ports = [7720, 7735]\n" +
		"[bounds]\nmax_hold_ms = 6000\ngrace_s = 6\n[platform]\naddress = \"127.0.0.1:8169\"\nparts = 8\n"
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	code, _, stderr := runCommand("gateway", "--settings", path, "--check", "--enable", "backlog,admision")
	if code != command.ExitUsage || !strings.Contains(stderr, "there is no feature admision") {
		t.Errorf("exit code %d, stderr %q", code, stderr)
	}
}

// TestPlatformSettingsMissing checks that the error for a missing settings file names the
// environment variable that gives its path.
func TestPlatformSettingsMissing(t *testing.T) {
	code, _, stderr := runCommand("agent", "--settings", filepath.Join(t.TempDir(), "none.toml"))
	if code != command.ExitUsage || !strings.Contains(stderr, "AMBERTILLER_BOOT") {
		t.Errorf("exit code %d, stderr %q", code, stderr)
	}
}

func TestTraceCommand(t *testing.T) {
	log := filepath.Join("..", "trace", "testdata", "failed", "edge-milano-b-1.log")
	code, out, _ := runCommand("trace", "e20636f97a5f298c", log)
	if code != command.ExitOK || !strings.Contains(out, "job ended") {
		t.Errorf("exit code %d, stdout %q", code, out)
	}
	if code, _, _ := runCommand("trace", "ffffffffffffffff", log); code != command.ExitNotFound {
		t.Errorf("ID that is not in the log: exit code %d", code)
	}
	if code, _, _ := runCommand("trace"); code != command.ExitUsage {
		t.Errorf("missing ID: exit code %d", code)
	}
}
