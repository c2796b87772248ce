package entry

import (
	"fmt"
	"testing"

	"ambertiller.example/ambertiller/config"
	"ambertiller.example/ambertiller/placement"
	"ambertiller.example/ambertiller/record"
	"ambertiller.example/ambertiller/state"
)

func parseConfig(t *testing.T, teams string) *config.Config {
	t.Helper()
	parsed, err := config.Parse([]byte("kinds:\n  minutes: {class: batch}\nteams:\n" + teams))
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

func TestQuota(t *testing.T) {
	settings := parseConfig(t, "  a: {processors: 4, memory: 1GiB, accelerators: 1}\n  free: {}\n")
	tests := map[string]struct {
		team  string
		used  placement.Resources
		asked *record.Resources
		over  bool
	}{
		"within":             {"a", placement.Resources{MilliCPU: 1000}, &record.Resources{MilliCpu: 3000}, false},
		"processors":         {"a", placement.Resources{MilliCPU: 1000}, &record.Resources{MilliCpu: 3001}, true},
		"memory":             {"a", placement.Resources{MemoryBytes: 1 << 29}, &record.Resources{MemoryBytes: 1<<29 + 1}, true},
		"accelerators":       {"a", placement.Resources{Accelerators: 1}, &record.Resources{Accelerators: 1}, true},
		"no quota":           {"free", placement.Resources{MilliCPU: 1 << 40}, &record.Resources{MilliCpu: 1 << 40}, false},
		"a team that's gone": {"gone", placement.Resources{}, &record.Resources{MilliCpu: 1000}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			usage := usageByTeam{test.team: test.used}
			if over := usage.exceedsQuota(settings, &record.TaskSpec{Team: test.team, Resources: test.asked}); over != test.over {
				t.Errorf("over: %t", over)
			}
		})
	}
}

// TestSortByShare: with equal priorities the team that uses least for its share
// goes first; a higher priority goes before that.
func TestSortByShare(t *testing.T) {
	settings := parseConfig(t, "  small: {share: 1}\n  large: {share: 4}\n")
	folded := state.New()
	for index, each := range []struct {
		team     string
		priority int32
	}{{"small", 0}, {"large", 0}, {"small", 5}} {
		rec := &record.Record{Format: 1, Body: &record.Record_TaskCreate{TaskCreate: &record.TaskCreate{
			Task: fmt.Sprintf("%s-%d", each.team, each.priority),
			Spec: &record.TaskSpec{Team: each.team, Kind: "minutes", Priority: each.priority},
		}}}
		if _, err := folded.Apply(int64(index), &record.Batch{Records: []*record.Record{rec}}); err != nil {
			t.Fatal(err)
		}
	}
	usage := usageByTeam{"small": {MilliCPU: 1000}, "large": {MilliCPU: 2000}}
	var order []string
	for _, task := range sortByShare(folded.Pending(), usage, settings) {
		order = append(order, task.ID())
	}
	if fmt.Sprint(order) != "[small-5 large-0 small-0]" {
		t.Errorf("got %v", order)
	}
}
