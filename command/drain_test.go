package command_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"ambertiller.example/ambertiller/api"
	"ambertiller.example/ambertiller/command"
)

// TestDrainFailureDomain checks that exactly the workers of the failure domain are drained.
func TestDrainFailureDomain(t *testing.T) {
	tests := map[string]struct {
		args    []string
		code    int
		drained []string // workers in the order of the calls; the prefix "-" marks the end of a drain
	}{
		"failure domain":            {[]string{"--failure-domain", "milano-a"}, command.ExitOK, []string{"w-1", "w-3"}},
		"end of the drain":          {[]string{"--end", "--failure-domain", "milano-a"}, command.ExitOK, []string{"-w-1", "-w-3"}},
		"domain without workers":    {[]string{"--failure-domain", "torino"}, command.ExitUsage, nil},
		"domain and worker":         {[]string{"--failure-domain", "milano-a", "w-2"}, command.ExitUsage, nil},
		"neither domain nor worker": {nil, command.ExitUsage, nil},
		"worker":                    {[]string{"w-2"}, command.ExitOK, []string{"w-2"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var drained []string
			mux := http.NewServeMux()
			mux.HandleFunc("GET /v1/workers", func(w http.ResponseWriter, _ *http.Request) {
				workers := []api.Worker{{Name: "w-1", FailureDomain: "milano-a"}, {Name: "w-2", FailureDomain: "bergamo"}, {Name: "w-3", FailureDomain: "milano-a"}}
				_ = json.NewEncoder(w).Encode(workers)
			})
			mux.HandleFunc("PUT /v1/workers/{worker}/drain", func(w http.ResponseWriter, request *http.Request) {
				var requested api.DrainRequest
				_ = json.NewDecoder(request.Body).Decode(&requested)
				prefix := "-"
				if requested.Draining {
					prefix = ""
				}
				drained = append(drained, prefix+request.PathValue("worker"))
				_ = json.NewEncoder(w).Encode(requested)
			})
			server := httptest.NewServer(mux)
			t.Cleanup(server.Close)
			code, _, stderr := runCommand(append([]string{"--entry", server.URL, "drain"}, test.args...)...)
			if code != test.code || !slices.Equal(drained, test.drained) {
				t.Errorf("exit code %d, drained %v, stderr %q", code, drained, strings.TrimSpace(stderr))
			}
		})
	}
}
