package command_test

import (
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"ambertiller.example/ambertiller/command"
	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/standin/wirestore"
)

// TestEvacuate evacuates failure domains, lists them and ends their evacuation.
func TestEvacuate(t *testing.T) {
	store := wirestore.New(1, time.Now)
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	path := filepath.Join(t.TempDir(), "local.toml")
	text := fmt.Sprintf("node_name = \"edge-1\"\nip = \"127.0.0.1\"\ninternal_ports = [7720, 7735]\n"+
		"[bounds]\nmax_hold_ms = 6000\ngrace_s = 6\n[platform]\naddress = %q\nparts = 1\n", strings.TrimPrefix(server.URL, "http://"))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	steps := []struct {
		args []string
		want string
	}{
		{nil, `"evacuated": []`},
		{[]string{"milano-a"}, `"milano-a"`},
		{[]string{"bergamo"}, `"bergamo",`},
		{[]string{"--end", "bergamo"}, `"milano-a"`},
		{[]string{"--end", "milano-a"}, `"evacuated": []`},
	}
	for _, step := range steps {
		args := append([]string{"--output", "json", "evacuate", "--settings", path}, step.args...)
		code, out, stderr := runCommand(args...)
		if code != command.ExitOK || !strings.Contains(out, step.want) {
			t.Errorf("%v: exit code %d, stdout %q, stderr %q", step.args, code, out, stderr)
		}
	}
	if _, exists := store.Newest(platform.OperatorTopic, 0, platform.EvacuationKey("milano-a")); exists {
		t.Error("the record of the evacuation was not deleted")
	}
	store.InjectFaults(func(string) wirestore.Fault { return wirestore.FaultUnavailable })
	if code, _, stderr := runCommand("evacuate", "--settings", path, "milano-a"); code != command.ExitUnreachable || !strings.Contains(stderr, "call it again") {
		t.Errorf("store unavailable: exit code %d, stderr %q", code, stderr)
	}
}
