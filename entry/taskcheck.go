package entry

import (
	"fmt"
	"math"
	"time"

	"ambertiller.example/ambertiller/api"
	"ambertiller.example/ambertiller/config"
)

// taskChecker validates the fields of a submitted task and collects the faults.
type taskChecker struct {
	faults []api.Fault
}

func (c *taskChecker) addFault(path, format string, args ...any) {
	c.faults = append(c.faults, api.Fault{Path: path, Message: fmt.Sprintf(format, args...)})
}

func (c *taskChecker) checkKind(settings *config.Config, name string) config.Kind {
	kind, found := settings.Kind(name)
	if !found {
		c.addFault("kind", "%q is not one of the configured kinds", name)
	} else if kind.Class() == config.LatencyCritical {
		c.addFault("kind", "%q is latency-critical; send its work as requests of a service", name)
	}
	return kind
}

func (c *taskChecker) checkTeam(settings *config.Config, name string) {
	if _, found := settings.Team(name); !found {
		c.addFault("team", "%q is not one of the configured teams", name)
	}
}

// checkLength returns the text unchanged, and adds a fault if it is longer than limit
// bytes.
func (c *taskChecker) checkLength(path, value string, limit int) string {
	if len(value) > limit {
		c.addFault(path, "it has %d bytes; the most is %d", len(value), limit)
	}
	return value
}

// checkDuration parses a duration from 0 to maxRunTime. An empty value is 0.
func (c *taskChecker) checkDuration(path, value string) time.Duration {
	if value == "" {
		return 0
	}
	parsed, err := time.ParseDuration(value)
	if err != nil || parsed < 0 || parsed > maxRunTime {
		c.addFault(path, "%q is not a duration from 0 to %s, such as 90s", value, maxRunTime)
	}
	return parsed
}

// checkProcessors returns the processors in thousandths, rounded up.
func (c *taskChecker) checkProcessors(value float64) int64 {
	if math.IsNaN(value) || value < 0 || value > maxProcessors {
		c.addFault("processors", "%g is out of bounds; give 0 to %d", value, maxProcessors)
		return 0
	}
	return int64(math.Ceil(value * millisPerCore))
}

// checkSize parses a size in bytes. An empty value is 0.
func (c *taskChecker) checkSize(path, value string) int64 {
	if value == "" {
		return 0
	}
	parsed, err := config.ParseSize(value)
	if err != nil {
		c.addFault(path, "%v", err)
	}
	return parsed
}

func (c *taskChecker) checkCount(path string, value, limit int64) int64 {
	if value < 0 || value > limit {
		c.addFault(path, "%d is out of bounds; give 0 to %d", value, limit)
		return 0
	}
	return value
}
