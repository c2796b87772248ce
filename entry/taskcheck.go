package entry

import (
	"fmt"
	"math"
	"time"

	"ambertiller.example/ambertiller/api"
	"ambertiller.example/ambertiller/config"
)

// taskChecker collects the faults of a submission.
type taskChecker struct {
	faults []api.Fault
}

func (check *taskChecker) addFault(path, format string, arguments ...any) {
	check.faults = append(check.faults, api.Fault{Path: path, Message: fmt.Sprintf(format, arguments...)})
}

func (check *taskChecker) checkKind(settings *config.Config, name string) config.Kind {
	kind, found := settings.Kind(name)
	if !found {
		check.addFault("kind", "%q is not one of the configured kinds", name)
	} else if kind.Class() == config.LatencyCritical {
		check.addFault("kind", "%q is latency-critical; send its work as requests of a service", name)
	}
	return kind
}

func (check *taskChecker) checkTeam(settings *config.Config, name string) {
	if _, found := settings.Team(name); !found {
		check.addFault("team", "%q is not one of the configured teams", name)
	}
}

func (check *taskChecker) checkLength(path, given string, most int) string {
	if len(given) > most {
		check.addFault(path, "it has %d bytes; the most is %d", len(given), most)
	}
	return given
}

func (check *taskChecker) checkDuration(path, given string) time.Duration {
	if given == "" {
		return 0
	}
	parsed, err := time.ParseDuration(given)
	if err != nil || parsed < 0 || parsed > maxRunTime {
		check.addFault(path, "%q is not a duration from 0 to %s, such as 90s", given, maxRunTime)
	}
	return parsed
}

func (check *taskChecker) checkProcessors(given float64) int64 {
	if math.IsNaN(given) || given < 0 || given > maxProcessors {
		check.addFault("processors", "%g is out of bounds; give 0 to %d", given, maxProcessors)
		return 0
	}
	return int64(math.Ceil(given * millisPerCore))
}

func (check *taskChecker) checkSize(path, given string) int64 {
	if given == "" {
		return 0
	}
	parsed, err := config.ParseSize(given)
	if err != nil {
		check.addFault(path, "%v", err)
	}
	return parsed
}

func (check *taskChecker) checkCount(path string, given, most int64) int64 {
	if given < 0 || given > most {
		check.addFault(path, "%d is out of bounds; give 0 to %d", given, most)
		return 0
	}
	return given
}
