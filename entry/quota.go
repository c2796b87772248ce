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

// usageByTeam is what the placed tasks of each team ask for.
type usageByTeam map[string]placement.Resources

func newTeamUsage(folded *state.State) usageByTeam {
	usage := usageByTeam{}
	for _, worker := range folded.Workers() {
		for _, task := range folded.TasksOnWorker(worker) {
			usage.add(task.Spec())
		}
	}
	return usage
}

func (usage usageByTeam) add(spec *record.TaskSpec) {
	asked := placement.ResourcesOf(spec)
	used := usage[spec.GetTeam()]
	used.MilliCPU += asked.MilliCPU
	used.MemoryBytes += asked.MemoryBytes
	used.Accelerators += asked.Accelerators
	usage[spec.GetTeam()] = used
}

// exceedsQuota reports whether the task would take its team over its quota. A quota of
// zero bounds nothing.
func (usage usageByTeam) exceedsQuota(settings *config.Config, spec *record.TaskSpec) bool {
	team, found := settings.Team(spec.GetTeam())
	if !found {
		return false
	}
	asked := placement.ResourcesOf(spec)
	used := usage[spec.GetTeam()]
	return isAboveQuota(used.MilliCPU+asked.MilliCPU, team.MilliCPU()) ||
		isAboveQuota(used.MemoryBytes+asked.MemoryBytes, team.MemoryBytes()) ||
		isAboveQuota(used.Accelerators+asked.Accelerators, team.Accelerators())
}

func isAboveQuota(value, quota int64) bool { return quota > 0 && value > quota }

// sortByShare orders tasks of equal priority so that the teams which use least for
// their share come first. The order within a team stays as it is.
func sortByShare(pending []*state.Task, usage usageByTeam, settings *config.Config) []*state.Task {
	slices.SortStableFunc(pending, func(a, b *state.Task) int {
		return cmp.Or(
			cmp.Compare(b.Spec().GetPriority(), a.Spec().GetPriority()),
			cmp.Compare(usage.usagePerShare(settings, a.Spec().GetTeam()), usage.usagePerShare(settings, b.Spec().GetTeam())),
		)
	})
	return pending
}

// usagePerShare is what a team uses for each unit of its share.
func (usage usageByTeam) usagePerShare(settings *config.Config, name string) float64 {
	team, found := settings.Team(name)
	if !found || team.Share() == 0 {
		return math.Inf(1)
	}
	return float64(usage[name].MilliCPU) / team.Share()
}
