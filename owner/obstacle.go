package owner

import "ambertiller.example/ambertiller/job"

// obstacle is why a task can't be started at a worker now: a reason of package admission
// or one of those below. Its text stands in logs.
type obstacle string

const (
	unobstructed        obstacle = ""
	wrongService        obstacle = "service"
	domainEvacuated     obstacle = "evacuation"
	lacksLabel          obstacle = "label"
	holdsEnough         obstacle = "spread"
	inDoubt             obstacle = "doubt"
	hasSuspect          obstacle = "suspect"
	lacksIdleProcessors obstacle = "idle processors"
	wouldDisturb        obstacle = "interference"
	lacksTicket         obstacle = "advice"
	noWorkers           obstacle = "workers"
)

// mainObstacle returns what keeps a task from most of the workers that run its service.
func mainObstacle(task *job.Task, workers []*candidate) obstacle {
	counts := map[obstacle]int{}
	for _, worker := range workers {
		found := worker.obstacleTo(task)
		if found == unobstructed {
			// It would fit, so what is missing is the leave to run there.
			found = lacksTicket
		}
		if found != wrongService {
			counts[found]++
		}
	}
	main := noWorkers
	for found, count := range counts {
		if count > counts[main] || count == counts[main] && found < main {
			main = found
		}
	}
	return main
}
