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

// TestDrainFailureDomain: each worker of the failure domain is drained, and no other.
func TestDrainFailureDomain(t *testing.T) {
	tests := map[string]struct {
		arguments []string
		code      int
		drained   []string // in the order of the calls; with "-" for an end
	}{
		"a domain":           {[]string{"--failure-domain", "milano-a"}, command.ExitOK, []string{"w-1", "w-3"}},
		"given back":         {[]string{"--end", "--failure-domain", "milano-a"}, command.ExitOK, []string{"-w-1", "-w-3"}},
		"nobody there":       {[]string{"--failure-domain", "torino"}, command.ExitUsage, nil},
		"a worker besides":   {[]string{"--failure-domain", "milano-a", "w-2"}, command.ExitUsage, nil},
		"neither of the two": {nil, command.ExitUsage, nil},
		"a worker by itself": {[]string{"w-2"}, command.ExitOK, []string{"w-2"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var drained []string
			mux := http.NewServeMux()
			mux.HandleFunc("GET /v1/workers", func(answer http.ResponseWriter, _ *http.Request) {
				workers := []api.Worker{{Name: "w-1", FailureDomain: "milano-a"}, {Name: "w-2", FailureDomain: "bergamo"}, {Name: "w-3", FailureDomain: "milano-a"}}
				_ = json.NewEncoder(answer).Encode(workers)
			})
			mux.HandleFunc("PUT /v1/workers/{worker}/drain", func(answer http.ResponseWriter, request *http.Request) {
				var asked api.DrainRequest
				_ = json.NewDecoder(request.Body).Decode(&asked)
				sign := "-"
				if asked.Draining {
					sign = ""
				}
				drained = append(drained, sign+request.PathValue("worker"))
				_ = json.NewEncoder(answer).Encode(asked)
			})
			server := httptest.NewServer(mux)
			t.Cleanup(server.Close)
			code, _, errOut := runCommand(append([]string{"--entry", server.URL, "drain"}, test.arguments...)...)
			if code != test.code || !slices.Equal(drained, test.drained) {
				t.Errorf("code %d, drained %v, said %q", code, drained, strings.TrimSpace(errOut))
			}
		})
	}
}
