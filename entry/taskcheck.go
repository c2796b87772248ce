package entry

import (
	"fmt"
	"math"
	"time"

	"ambertiller.example/ambertiller/api"
	"ambertiller.example/ambertiller/config"
)

// taskCheck collects the faults of a submission.
type taskCheck struct {
	faults []api.Fault
}

func (check *taskCheck) fault(path, format string, arguments ...any) {
	check.faults = append(check.faults, api.Fault{Path: path, Message: fmt.Sprintf(format, arguments...)})
}

func (check *taskCheck) kind(settings *config.Config, name string) config.Kind {
	kind, found := settings.Kind(name)
	if !found {
		check.fault("kind", "%q is not one of the configured kinds", name)
	} else if kind.Class() == config.LatencyCritical {
		check.fault("kind", "%q is latency-critical; send its work as requests of a service", name)
	}
	return kind
}

func (check *taskCheck) team(settings *config.Config, name string) {
	if _, found := settings.Team(name); !found {
		check.fault("team", "%q is not one of the configured teams", name)
	}
}

func (check *taskCheck) text(path, given string, most int) string {
	if len(given) > most {
		check.fault(path, "it has %d bytes; the most is %d", len(given), most)
	}
	return given
}

func (check *taskCheck) duration(path, given string) time.Duration {
	if given == "" {
		return 0
	}
	parsed, err := time.ParseDuration(given)
	if err != nil || parsed < 0 || parsed > maxRunTime {
		check.fault(path, "%q is not a duration from 0 to %s, such as 90s", given, maxRunTime)
	}
	return parsed
}

func (check *taskCheck) processors(given float64) int64 {
	if math.IsNaN(given) || given < 0 || given > maxProcessors {
		check.fault("processors", "%g is out of bounds; give 0 to %d", given, maxProcessors)
		return 0
	}
	return int64(math.Ceil(given * thousand))
}

func (check *taskCheck) size(path, given string) int64 {
	if given == "" {
		return 0
	}
	parsed, err := config.ParseSize(given)
	if err != nil {
		check.fault(path, "%v", err)
	}
	return parsed
}

func (check *taskCheck) count(path string, given, most int64) int64 {
	if given < 0 || given > most {
		check.fault(path, "%d is out of bounds; give 0 to %d", given, most)
		return 0
	}
	return given
}
