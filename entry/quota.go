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

// teamUse is what the placed tasks of each team ask for.
type teamUse map[string]placement.Resources

func teamUsage(folded *state.State) teamUse {
	usage := teamUse{}
	for _, worker := range folded.Workers() {
		for _, task := range folded.TasksOnWorker(worker) {
			usage.add(task.Spec())
		}
	}
	return usage
}

func (usage teamUse) add(spec *record.TaskSpec) {
	asked := placement.ResourcesOf(spec)
	used := usage[spec.GetTeam()]
	used.MilliCPU += asked.MilliCPU
	used.MemoryBytes += asked.MemoryBytes
	used.Accelerators += asked.Accelerators
	usage[spec.GetTeam()] = used
}

// over reports whether the task would take its team over its quota. A quota of
// zero bounds nothing.
func (usage teamUse) over(settings *config.Config, spec *record.TaskSpec) bool {
	team, found := settings.Team(spec.GetTeam())
	if !found {
		return false
	}
	asked := placement.ResourcesOf(spec)
	used := usage[spec.GetTeam()]
	return exceeds(used.MilliCPU+asked.MilliCPU, team.MilliCPU()) ||
		exceeds(used.MemoryBytes+asked.MemoryBytes, team.MemoryBytes()) ||
		exceeds(used.Accelerators+asked.Accelerators, team.Accelerators())
}

func exceeds(value, quota int64) bool { return quota > 0 && value > quota }

// byShare orders tasks of equal priority so that the teams which use least for
// their share come first. The order within a team stays as it is.
func byShare(pending []*state.Task, usage teamUse, settings *config.Config) []*state.Task {
	slices.SortStableFunc(pending, func(a, b *state.Task) int {
		return cmp.Or(
			cmp.Compare(b.Spec().GetPriority(), a.Spec().GetPriority()),
			cmp.Compare(usage.perShare(settings, a.Spec().GetTeam()), usage.perShare(settings, b.Spec().GetTeam())),
		)
	})
	return pending
}

// perShare is what a team uses for each unit of its share.
func (usage teamUse) perShare(settings *config.Config, name string) float64 {
	team, found := settings.Team(name)
	if !found || team.Share() == 0 {
		return math.Inf(1)
	}
	return float64(usage[name].MilliCPU) / team.Share()
}
