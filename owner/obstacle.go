package owner

import "ambertiller.example/ambertiller/job"

// obstacle is the reason why a task cannot be started on a worker now: one of the constants below,
// or the name of the resource that is short, from package admission. It is written to the log.
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
	obstacleShortReserve   obstacle = "kept for short tasks"
	obstacleNoWorkers      obstacle = "workers"
)

// mostCommonObstacle returns the obstacle that a task meets on most of the workers of its service, or
// obstacleNoWorkers if there are none. Of equally common ones it is the first in alphabetical order.
func mostCommonObstacle(task *job.Task, workers []*candidate) obstacle {
	counts := map[obstacle]int{}
	for _, worker := range workers {
		found := worker.obstacleTo(task)
		if found == obstacleNone {
			// The task fits, so it lacks a ticket for the worker.
			found = obstacleTicket
		}
		if found != obstacleService {
			counts[found]++
		}
	}
	mostCommon := obstacleNoWorkers
	for found, count := range counts {
		if count > counts[mostCommon] || count == counts[mostCommon] && found < mostCommon {
			mostCommon = found
		}
	}
	return mostCommon
}
