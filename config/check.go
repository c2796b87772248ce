package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

const thousand = 1000

// checker converts a document and collects its faults.
type checker struct {
	root   *yaml.Node
	faults Faults
}

// addFault notes a fault at the node that the path leads to.
func (check *checker) addFault(path, format string, arguments ...any) {
	line, column := nodePosition(check.root, strings.Split(path, "."))
	check.faults = append(check.faults, Fault{Line: line, Column: column, Path: path, Message: fmt.Sprintf(format, arguments...)})
}

// nodePosition returns the position of the last node along the path that exists.
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

func (check *checker) convert(read *document) *Config {
	parsed := &Config{services: map[string]Service{}, kinds: map[string]Kind{}, teams: map[string]Team{}}
	check.convertKinds(read, parsed)
	check.convertServices(read, parsed)
	check.convertTeams(read, parsed)
	check.convertLimits(read, parsed)
	return parsed
}

func (check *checker) checkName(path, name string) {
	if !namePattern.MatchString(name) {
		check.addFault(path, "the name must be 1 to 63 of a-z, 0-9 and -, and not begin with -")
	}
}

func (check *checker) convertKinds(read *document, parsed *Config) {
	if len(read.Kinds) == 0 {
		check.addFault("kinds", "name at least one kind of work")
	}
	for _, name := range slices.Sorted(maps.Keys(read.Kinds)) {
		given := read.Kinds[name]
		path := "kinds." + name
		check.checkName(path, name)
		kind := Kind{
			class:      given.Class,
			priority:   given.Priority,
			lease:      given.Lease,
			maxRunTime: given.MaxRunTime,
			maxPending: given.MaxPending,
		}
		if kind.lease == 0 {
			kind.lease = defaultClassLease(given.Class)
		}
		switch given.Class {
		case LatencyCritical, Batch, Watch:
		default:
			check.addFault(path+".class", "%q is not a class; use %s, %s or %s", given.Class, LatencyCritical, Batch, Watch)
		}
		check.checkInt(path+".priority", given.Priority, 0, maxPriority)
		check.checkDuration(path+".lease", kind.lease, minLease, maxLease)
		check.checkDuration(path+".max_run_time", given.MaxRunTime, 0, maxRetention)
		check.checkInt(path+".max_pending", given.MaxPending, 0, maxQueue)
		parsed.kinds[name] = kind
	}
}

func defaultClassLease(class Class) time.Duration {
	if class == Watch {
		return defaultWatchLease
	}
	return defaultBatchLease
}

func (check *checker) convertServices(read *document, parsed *Config) {
	for _, name := range slices.Sorted(maps.Keys(read.Services)) {
		given := read.Services[name]
		path := "services." + name
		check.checkName(path, name)
		service := Service{
			kind:        given.Kind,
			slots:       intOrDefault(given.Slots, defaultSlots),
			connections: intOrDefault(given.Connections, defaultConnections),
			timeout:     durationOrDefault(given.Timeout, defaultTimeout),
			targetP99:   given.TargetP99,
			maxBody:     int64(given.MaxBody),
			repeatable:  given.Repeatable,
		}
		if service.maxBody == 0 {
			service.maxBody = defaultMaxBody
		}
		service.queue = intOrDefault(given.Queue, service.slots)
		kind, found := parsed.kinds[given.Kind]
		switch {
		case !found:
			check.addFault(path+".kind", "%q is not one of the kinds; add it under kinds", given.Kind)
		case kind.class != LatencyCritical:
			check.addFault(path+".kind", "a service needs a kind of class %s; %q is %s", LatencyCritical, given.Kind, kind.class)
		}
		check.checkInt(path+".slots", service.slots, 1, maxSlots)
		check.checkInt(path+".connections", service.connections, 1, maxConnections)
		check.checkInt(path+".queue", service.queue, 0, maxQueue)
		check.checkDuration(path+".timeout", service.timeout, time.Millisecond, maxTimeout)
		check.checkDuration(path+".target_p99", service.targetP99, 0, maxTimeout)
		check.checkInt(path+".max_body", int(service.maxBody), 1, maxBodyBytes)
		parsed.services[name] = service
	}
}

func (check *checker) convertTeams(read *document, parsed *Config) {
	if len(read.Teams) == 0 {
		check.addFault("teams", "name at least one team")
	}
	for _, name := range slices.Sorted(maps.Keys(read.Teams)) {
		given := read.Teams[name]
		path := "teams." + name
		check.checkName(path, name)
		share := given.Share
		if share == 0 {
			share = defaultShare
		}
		check.checkFloat(path+".processors", given.Processors, maxMilliCPU/thousand)
		check.checkFloat(path+".share", share, thousand)
		check.checkInt(path+".accelerators", int(given.Accelerators), 0, maxQueue)
		parsed.teams[name] = Team{
			milliCPU:     int64(given.Processors * thousand),
			memory:       int64(given.Memory),
			accelerators: given.Accelerators,
			share:        share,
		}
	}
}

func (check *checker) convertLimits(read *document, parsed *Config) {
	given := read.Limits
	limits := Limits{
		retryRatio:   defaultRetryRatio,
		keepEnded:    durationOrDefault(given.KeepEnded, defaultKeepEnded),
		keepClaims:   durationOrDefault(given.KeepClaims, defaultKeepClaims),
		workerSilent: durationOrDefault(given.WorkerSilent, defaultWorkerSilent),
		reserved:     int64(given.ReservedProcessors * thousand),
	}
	if given.RetryRatio != nil {
		limits.retryRatio = *given.RetryRatio
	}
	check.checkFloat("limits.retry_ratio", limits.retryRatio, 1)
	check.checkFloat("limits.reserved_processors", given.ReservedProcessors, maxMilliCPU/thousand)
	check.checkDuration("limits.keep_ended", limits.keepEnded, time.Minute, maxRetention)
	check.checkDuration("limits.keep_claims", limits.keepClaims, time.Minute, maxRetention)
	check.checkDuration("limits.worker_silent", limits.workerSilent, time.Second, maxTimeout)
	parsed.limits = limits
}

func (check *checker) checkInt(path string, value, least, most int) {
	if value < least || value > most {
		check.addFault(path, "%d is out of bounds; give %d to %d", value, least, most)
	}
}

func (check *checker) checkFloat(path string, value float64, most float64) {
	if !(value >= 0 && value <= most) {
		check.addFault(path, "%g is out of bounds; give 0 to %g", value, most)
	}
}

func (check *checker) checkDuration(path string, value, least, most time.Duration) {
	if value < least || value > most {
		check.addFault(path, "%s is out of bounds; give %s to %s", value, least, most)
	}
}

func intOrDefault(value *int, otherwise int) int {
	if value == nil {
		return otherwise
	}
	return *value
}

func durationOrDefault(value, otherwise time.Duration) time.Duration {
	if value == 0 {
		return otherwise
	}
	return value
}
