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

// TestQuota checks the limit of each resource, a team without a quota, and a team
// that the configuration does not have.
func TestQuota(t *testing.T) {
	settings := parseConfig(t, "  a: {processors: 4, memory: 1GiB, accelerators: 1}\n  free: {}\n")
	tests := map[string]struct {
		team      string
		used      placement.Resources
		requested *record.Resources
		exceeded  bool
	}{
		"within":              {"a", placement.Resources{MilliCPU: 1000}, &record.Resources{MilliCpu: 3000}, false},
		"processors":          {"a", placement.Resources{MilliCPU: 1000}, &record.Resources{MilliCpu: 3001}, true},
		"memory":              {"a", placement.Resources{MemoryBytes: 1 << 29}, &record.Resources{MemoryBytes: 1<<29 + 1}, true},
		"accelerators":        {"a", placement.Resources{Accelerators: 1}, &record.Resources{Accelerators: 1}, true},
		"no quota":            {"free", placement.Resources{MilliCPU: 1 << 40}, &record.Resources{MilliCpu: 1 << 40}, false},
		"team not configured": {"gone", placement.Resources{}, &record.Resources{MilliCpu: 1000}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			usage := usageByTeam{test.team: test.used}
			if exceeded := usage.exceedsQuota(settings, &record.TaskSpec{Team: test.team, Resources: test.requested}); exceeded != test.exceeded {
				t.Errorf("exceedsQuota returned %t", exceeded)
			}
		})
	}
}

// TestSortByShare checks that, among tasks of equal priority, those of the team with
// the lowest use per share come first, and that a higher priority takes precedence.
func TestSortByShare(t *testing.T) {
	settings := parseConfig(t, "  small: {share: 1}\n  large: {share: 4}\n")
	st := state.New()
	for i, spec := range []struct {
		team     string
		priority int32
	}{{"small", 0}, {"large", 0}, {"small", 5}} {
		rec := &record.Record{Format: 1, Body: &record.Record_TaskCreate{TaskCreate: &record.TaskCreate{
			Task: fmt.Sprintf("%s-%d", spec.team, spec.priority),
			Spec: &record.TaskSpec{Team: spec.team, Kind: "minutes", Priority: spec.priority},
		}}}
		if _, err := st.Apply(int64(i), &record.Batch{Records: []*record.Record{rec}}); err != nil {
			t.Fatal(err)
		}
	}
	usage := usageByTeam{"small": {MilliCPU: 1000}, "large": {MilliCPU: 2000}}
	var order []string
	for _, task := range sortByShare(st.Pending(), usage, settings) {
		order = append(order, task.ID())
	}
	if fmt.Sprint(order) != "[small-5 large-0 small-0]" {
		t.Errorf("order: got %v, want [small-5 large-0 small-0]", order)
	}
}
