package owner

import "ambertiller.example/ambertiller/job"

// obstacle is why a task can't be started at a worker now: a reason of package admission
// or one of those below. Its text stands in logs.
type obstacle string

const (
	obstacleNone           obstacle = ""
	obstacleService        obstacle = "service"
	obstacleEvacuation     obstacle = "evacuation"
	obstacleLabel          obstacle = "label"
	obstacleSpread         obstacle = "spread"
	obstacleProbation      obstacle = "doubt"
	obstacleSuspect        obstacle = "suspect"
	obstacleIdleProcessors obstacle = "idle processors"
	obstacleInterference   obstacle = "interference"
	obstacleTicket         obstacle = "advice"
	obstacleNoWorkers      obstacle = "workers"
)

// mostCommonObstacle returns what keeps a task from most of the workers that run its service.
func mostCommonObstacle(task *job.Task, workers []*candidate) obstacle {
	counts := map[obstacle]int{}
	for _, worker := range workers {
		found := worker.obstacleTo(task)
		if found == obstacleNone {
			// It would fit, so what is missing is the leave to run there.
			found = obstacleTicket
		}
		if found != obstacleService {
			counts[found]++
		}
	}
	main := obstacleNoWorkers
	for found, count := range counts {
		if count > counts[main] || count == counts[main] && found < main {
			main = found
		}
	}
	return main
}
