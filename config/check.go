package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// thousand converts processors to thousandths of one. It is also the maximum of a team's share.
const thousand = 1000

// checker converts a decoded document into a Config and collects every fault that it finds.
type checker struct {
	root   *yaml.Node
	faults Faults
}

// addFault adds a fault with the position of the node at path. The keys in path are separated by dots.
func (c *checker) addFault(path, format string, args ...any) {
	line, column := nodePosition(c.root, strings.Split(path, "."))
	c.faults = append(c.faults, Fault{Line: line, Column: column, Path: path, Message: fmt.Sprintf(format, args...)})
}

// nodePosition returns the position of the node at path, or of its closest ancestor that exists: a key that
// the document leaves out has no position of its own.
func nodePosition(node *yaml.Node, path []string) (line, column int) {
	if node.Kind == yaml.DocumentNode && len(node.Content) == 1 {
		node = node.Content[0]
	}
	line, column = max(1, node.Line), max(1, node.Column)
	for _, name := range path {
		next := childNode(node, name)
		if next == nil {
			return line, column
		}
		node = next
		line, column = node.Line, node.Column
	}
	return line, column
}

// childNode returns the value of the named key of a mapping, or nil if there is none.
func childNode(node *yaml.Node, name string) *yaml.Node {
	if node.Kind != yaml.MappingNode {
		return nil
	}
	for index := 0; index+1 < len(node.Content); index += 2 {
		if node.Content[index].Value == name {
			return node.Content[index+1]
		}
	}
	return nil
}

// convert fills in defaults, checks all values and returns the Config, which is usable only if no fault was
// added. Kinds come first because services refer to them.
func (c *checker) convert(doc *document) *Config {
	config := &Config{services: map[string]Service{}, kinds: map[string]Kind{}, teams: map[string]Team{}}
	c.convertKinds(doc, config)
	c.convertServices(doc, config)
	c.convertTeams(doc, config)
	c.convertLimits(doc, config)
	return config
}

func (c *checker) checkName(path, name string) {
	if !namePattern.MatchString(name) {
		c.addFault(path, "the name must be 1 to 63 of a-z, 0-9 and -, and not begin with -")
	}
}

func (c *checker) convertKinds(doc *document, config *Config) {
	if len(doc.Kinds) == 0 {
		c.addFault("kinds", "name at least one kind of work")
	}
	for _, name := range slices.Sorted(maps.Keys(doc.Kinds)) {
		settings := doc.Kinds[name]
		path := "kinds." + name
		c.checkName(path, name)
		kind := Kind{
			class:      settings.Class,
			priority:   settings.Priority,
			lease:      settings.Lease,
			maxRunTime: settings.MaxRunTime,
			maxPending: settings.MaxPending,
		}
		if kind.lease == 0 {
			kind.lease = defaultClassLease(settings.Class)
		}
		switch settings.Class {
		case LatencyCritical, Batch, Watch:
		default:
			c.addFault(path+".class", "%q is not a class; use %s, %s or %s", settings.Class, LatencyCritical, Batch, Watch)
		}
		c.checkInt(path+".priority", settings.Priority, 0, maxPriority)
		c.checkDuration(path+".lease", kind.lease, minLease, maxLease)
		c.checkDuration(path+".max_run_time", settings.MaxRunTime, 0, maxRetention)
		c.checkInt(path+".max_pending", settings.MaxPending, 0, maxQueue)
		config.kinds[name] = kind
	}
}

func defaultClassLease(class Class) time.Duration {
	if class == Watch {
		return defaultWatchLease
	}
	return defaultBatchLease
}

func (c *checker) convertServices(doc *document, config *Config) {
	for _, name := range slices.Sorted(maps.Keys(doc.Services)) {
		settings := doc.Services[name]
		path := "services." + name
		c.checkName(path, name)
		service := Service{
			kind:        settings.Kind,
			slots:       intOrDefault(settings.Slots, defaultSlots),
			connections: intOrDefault(settings.Connections, defaultConnections),
			timeout:     durationOrDefault(settings.Timeout, defaultTimeout),
			targetP99:   settings.TargetP99,
			maxBody:     int64(settings.MaxBody),
			repeatable:  settings.Repeatable,
		}
		if service.maxBody == 0 {
			service.maxBody = defaultMaxBody
		}
		service.queue = intOrDefault(settings.Queue, service.slots)
		kind, found := config.kinds[settings.Kind]
		switch {
		case !found:
			c.addFault(path+".kind", "%q is not one of the kinds; add it under kinds", settings.Kind)
		case kind.class != LatencyCritical:
			c.addFault(path+".kind", "a service needs a kind of class %s; %q is %s", LatencyCritical, settings.Kind, kind.class)
		}
		c.checkInt(path+".slots", service.slots, 1, maxSlots)
		c.checkInt(path+".connections", service.connections, 1, maxConnections)
		c.checkInt(path+".queue", service.queue, 0, maxQueue)
		c.checkDuration(path+".timeout", service.timeout, time.Millisecond, maxTimeout)
		c.checkDuration(path+".target_p99", service.targetP99, 0, maxTimeout)
		c.checkInt(path+".max_body", int(service.maxBody), 1, maxBodyBytes)
		config.services[name] = service
	}
}

func (c *checker) convertTeams(doc *document, config *Config) {
	if len(doc.Teams) == 0 {
		c.addFault("teams", "name at least one team")
	}
	for _, name := range slices.Sorted(maps.Keys(doc.Teams)) {
		settings := doc.Teams[name]
		path := "teams." + name
		c.checkName(path, name)
		share := settings.Share
		if share == 0 {
			share = defaultShare
		}
		c.checkFloat(path+".processors", settings.Processors, maxMilliCPU/thousand)
		c.checkFloat(path+".share", share, thousand)
		c.checkInt(path+".accelerators", int(settings.Accelerators), 0, maxQueue)
		config.teams[name] = Team{
			milliCPU:     int64(settings.Processors * thousand),
			memory:       int64(settings.Memory),
			accelerators: settings.Accelerators,
			share:        share,
		}
	}
}

func (c *checker) convertLimits(doc *document, config *Config) {
	settings := doc.Limits
	limits := Limits{
		retryRatio:   defaultRetryRatio,
		keepEnded:    durationOrDefault(settings.KeepEnded, defaultKeepEnded),
		keepClaims:   durationOrDefault(settings.KeepClaims, defaultKeepClaims),
		workerSilent: durationOrDefault(settings.WorkerSilent, defaultWorkerSilent),
		reserved:     int64(settings.ReservedProcessors * thousand),
	}
	if settings.RetryRatio != nil {
		limits.retryRatio = *settings.RetryRatio
	}
	c.checkFloat("limits.retry_ratio", limits.retryRatio, 1)
	c.checkFloat("limits.reserved_processors", settings.ReservedProcessors, maxMilliCPU/thousand)
	c.checkDuration("limits.keep_ended", limits.keepEnded, time.Minute, maxRetention)
	c.checkDuration("limits.keep_claims", limits.keepClaims, time.Minute, maxRetention)
	c.checkDuration("limits.worker_silent", limits.workerSilent, time.Second, maxTimeout)
	config.limits = limits
}

// checkInt adds a fault if value is outside of minValue to maxValue.
func (c *checker) checkInt(path string, value, minValue, maxValue int) {
	if value < minValue || value > maxValue {
		c.addFault(path, "%d is out of bounds; give %d to %d", value, minValue, maxValue)
	}
}

// checkFloat adds a fault if value is not a number or outside of 0 to maxValue. The condition is negated
// because every comparison with NaN is false.
func (c *checker) checkFloat(path string, value float64, maxValue float64) {
	if !(value >= 0 && value <= maxValue) {
		c.addFault(path, "%g is out of bounds; give 0 to %g", value, maxValue)
	}
}

// checkDuration adds a fault if value is outside of minValue to maxValue.
func (c *checker) checkDuration(path string, value, minValue, maxValue time.Duration) {
	if value < minValue || value > maxValue {
		c.addFault(path, "%s is out of bounds; give %s to %s", value, minValue, maxValue)
	}
}

func intOrDefault(value *int, defaultValue int) int {
	if value == nil {
		return defaultValue
	}
	return *value
}

func durationOrDefault(value, defaultValue time.Duration) time.Duration {
	if value == 0 {
		return defaultValue
	}
	return value
}
