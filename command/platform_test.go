package command_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"ambertiller.example/ambertiller/command"
)

// TestPlatformSettingsAreChecked: both roles name every fault of the settings file
// in one line and start nothing.
func TestPlatformSettingsAreChecked(t *testing.T) {
	sound := `
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
		"sound":        {sound, command.ExitOK, nil},
		"two faults":   {strings.Replace(strings.Replace(sound, "edge-1", "", 1), "parts = 8", "", 1), command.ExitUsage, []string{"node_name is empty", "platform.parts must be at least 1"}},
		"not the form": {"{}", command.ExitUsage, []string{"settings"}},
	}
	for _, role := range []string{"gateway", "agent"} {
		for name, test := range tests {
			t.Run(role+" "+name, func(t *testing.T) {
				path := filepath.Join(t.TempDir(), "local.toml")
				if err := os.WriteFile(path, []byte(test.text), 0o600); err != nil {
					t.Fatal(err)
				}
				code, _, errOut := runCommand(role, "--settings", path, "--check")
				if code != test.code || strings.Count(errOut, "\n") > 1 {
					t.Errorf("code %d, said %q", code, errOut)
				}
				for _, want := range test.want {
					if !strings.Contains(errOut, want) {
						t.Errorf("%q lacks %q", errOut, want)
					}
				}
			})
		}
	}
}

func TestPlatformSettingsMissing(t *testing.T) {
	code, _, errOut := runCommand("agent", "--settings", filepath.Join(t.TempDir(), "none.toml"))
	if code != command.ExitUsage || !strings.Contains(errOut, "AMBERTILLER_BOOT") {
		t.Errorf("code %d, said %q", code, errOut)
	}
}

func TestTraceCommand(t *testing.T) {
	log := filepath.Join("..", "trace", "testdata", "failed", "edge-milano-b-1.log")
	code, out, _ := runCommand("trace", "e20636f97a5f298c", log)
	if code != command.ExitOK || !strings.Contains(out, "job ended") {
		t.Errorf("code %d, said %q", code, out)
	}
	if code, _, _ := runCommand("trace", "ffffffffffffffff", log); code != command.ExitNotFound {
		t.Errorf("an ID that no log names: code %d", code)
	}
	if code, _, _ := runCommand("trace"); code != command.ExitUsage {
		t.Errorf("no ID: code %d", code)
	}
}
