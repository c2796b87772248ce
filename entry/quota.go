package entry

import (
	"cmp"
	"math"
	"slices"

	"ambertiller.example/ambertiller/config"
	"ambertiller.example/ambertiller/placement"
	"ambertiller.example/ambertiller/record"
	"ambertiller.example/ambertiller/state"
)

// usageByTeam holds the resources requested by the placed tasks of each team.
type usageByTeam map[string]placement.Resources

func newTeamUsage(st *state.State) usageByTeam {
	usage := usageByTeam{}
	for _, worker := range st.Workers() {
		for _, task := range st.TasksOnWorker(worker) {
			usage.add(task.Spec())
		}
	}
	return usage
}

func (usage usageByTeam) add(spec *record.TaskSpec) {
	requested := placement.ResourcesOf(spec)
	used := usage[spec.GetTeam()]
	used.MilliCPU += requested.MilliCPU
	used.MemoryBytes += requested.MemoryBytes
	used.Accelerators += requested.Accelerators
	usage[spec.GetTeam()] = used
}

// exceedsQuota reports whether placing the task would exceed its team's quota. A
// quota of zero means no limit.
func (usage usageByTeam) exceedsQuota(settings *config.Config, spec *record.TaskSpec) bool {
	team, found := settings.Team(spec.GetTeam())
	if !found {
		return false
	}
	requested := placement.ResourcesOf(spec)
	used := usage[spec.GetTeam()]
	return isAboveQuota(used.MilliCPU+requested.MilliCPU, team.MilliCPU()) ||
		isAboveQuota(used.MemoryBytes+requested.MemoryBytes, team.MemoryBytes()) ||
		isAboveQuota(used.Accelerators+requested.Accelerators, team.Accelerators())
}

func isAboveQuota(value, quota int64) bool { return quota > 0 && value > quota }

// sortByShare sorts tasks by descending priority, and tasks of equal priority by
// ascending use per share of their teams. The order within a team is kept.
func sortByShare(pending []*state.Task, usage usageByTeam, settings *config.Config) []*state.Task {
	slices.SortStableFunc(pending, func(a, b *state.Task) int {
		return cmp.Or(
			cmp.Compare(b.Spec().GetPriority(), a.Spec().GetPriority()),
			cmp.Compare(usage.usagePerShare(settings, a.Spec().GetTeam()), usage.usagePerShare(settings, b.Spec().GetTeam())),
		)
	})
	return pending
}

// usagePerShare returns the CPU that the team's placed tasks requested, divided by
// its share. Teams that are not configured or have no share come last.
func (usage usageByTeam) usagePerShare(settings *config.Config, name string) float64 {
	team, found := settings.Team(name)
	if !found || team.Share() == 0 {
		return math.Inf(1)
	}
	return float64(usage[name].MilliCPU) / team.Share()
}
