package entry

import (
	"ambertiller.example/ambertiller/config"
	"ambertiller.example/ambertiller/placement"
	"ambertiller.example/ambertiller/record"
	"ambertiller.example/ambertiller/state"
)

// teamUse is what the placed tasks of each team ask for.
type teamUse map[string]placement.Amount

func teamUsage(folded *state.State) teamUse {
	usage := teamUse{}
	for _, worker := range folded.Workers() {
		for _, task := range folded.OnWorker(worker) {
			usage.add(task.Spec())
		}
	}
	return usage
}

func (usage teamUse) add(spec *record.TaskSpec) {
	asked := placement.AmountOf(spec)
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
	asked := placement.AmountOf(spec)
	used := usage[spec.GetTeam()]
	return exceeds(used.MilliCPU+asked.MilliCPU, team.MilliCPU()) ||
		exceeds(used.MemoryBytes+asked.MemoryBytes, team.MemoryBytes()) ||
		exceeds(used.Accelerators+asked.Accelerators, team.Accelerators())
}

func exceeds(value, quota int64) bool { return quota > 0 && value > quota }
