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

// fault notes a fault at the node that the path leads to.
func (check *checker) fault(path, format string, arguments ...any) {
	line, column := locate(check.root, strings.Split(path, "."))
	check.faults = append(check.faults, Fault{Line: line, Column: column, Path: path, Message: fmt.Sprintf(format, arguments...)})
}

// locate returns the position of the last node along the path that exists.
func locate(node *yaml.Node, path []string) (line, column int) {
	if node.Kind == yaml.DocumentNode && len(node.Content) == 1 {
		node = node.Content[0]
	}
	line, column = max(1, node.Line), max(1, node.Column)
	for _, name := range path {
		next := child(node, name)
		if next == nil {
			return line, column
		}
		node = next
		line, column = node.Line, node.Column
	}
	return line, column
}

func child(node *yaml.Node, name string) *yaml.Node {
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
	check.kinds(read, parsed)
	check.services(read, parsed)
	check.teams(read, parsed)
	check.limits(read, parsed)
	return parsed
}

func (check *checker) name(path, name string) {
	if !namePattern.MatchString(name) {
		check.fault(path, "the name must be 1 to 63 of a-z, 0-9 and -, and not begin with -")
	}
}

func (check *checker) kinds(read *document, parsed *Config) {
	if len(read.Kinds) == 0 {
		check.fault("kinds", "name at least one kind of work")
	}
	for _, name := range slices.Sorted(maps.Keys(read.Kinds)) {
		given := read.Kinds[name]
		path := "kinds." + name
		check.name(path, name)
		kind := Kind{
			class:      given.Class,
			priority:   given.Priority,
			lease:      given.Lease,
			maxRunTime: given.MaxRunTime,
			maxPending: given.MaxPending,
		}
		if kind.lease == 0 {
			kind.lease = defaultLease(given.Class)
		}
		switch given.Class {
		case LatencyCritical, Batch, Watch:
		default:
			check.fault(path+".class", "%q is not a class; use %s, %s or %s", given.Class, LatencyCritical, Batch, Watch)
		}
		check.between(path+".priority", given.Priority, 0, maxPriority)
		check.duration(path+".lease", kind.lease, minLease, maxLease)
		check.duration(path+".max_run_time", given.MaxRunTime, 0, maxKeep)
		check.between(path+".max_pending", given.MaxPending, 0, maxQueue)
		parsed.kinds[name] = kind
	}
}

func defaultLease(class Class) time.Duration {
	if class == Watch {
		return defaultWatchLease
	}
	return defaultBatchLease
}

func (check *checker) services(read *document, parsed *Config) {
	for _, name := range slices.Sorted(maps.Keys(read.Services)) {
		given := read.Services[name]
		path := "services." + name
		check.name(path, name)
		service := Service{
			kind:        given.Kind,
			slots:       orInt(given.Slots, defaultSlots),
			connections: orInt(given.Connections, defaultConnections),
			timeout:     orDuration(given.Timeout, defaultTimeout),
			targetP99:   given.TargetP99,
			maxBody:     int64(given.MaxBody),
			repeatable:  given.Repeatable,
		}
		if service.maxBody == 0 {
			service.maxBody = defaultMaxBody
		}
		service.queue = orInt(given.Queue, service.slots)
		kind, found := parsed.kinds[given.Kind]
		switch {
		case !found:
			check.fault(path+".kind", "%q is not one of the kinds; add it under kinds", given.Kind)
		case kind.class != LatencyCritical:
			check.fault(path+".kind", "a service needs a kind of class %s; %q is %s", LatencyCritical, given.Kind, kind.class)
		}
		check.between(path+".slots", service.slots, 1, maxSlots)
		check.between(path+".connections", service.connections, 1, maxConnections)
		check.between(path+".queue", service.queue, 0, maxQueue)
		check.duration(path+".timeout", service.timeout, time.Millisecond, maxTimeout)
		check.duration(path+".target_p99", service.targetP99, 0, maxTimeout)
		check.between(path+".max_body", int(service.maxBody), 1, maxBodyBytes)
		parsed.services[name] = service
	}
}

func (check *checker) teams(read *document, parsed *Config) {
	if len(read.Teams) == 0 {
		check.fault("teams", "name at least one team")
	}
	for _, name := range slices.Sorted(maps.Keys(read.Teams)) {
		given := read.Teams[name]
		path := "teams." + name
		check.name(path, name)
		share := given.Share
		if share == 0 {
			share = defaultShare
		}
		check.fraction(path+".processors", given.Processors, maxMilli/thousand)
		check.fraction(path+".share", share, thousand)
		check.between(path+".accelerators", int(given.Accelerators), 0, maxQueue)
		parsed.teams[name] = Team{
			milliCPU:     int64(given.Processors * thousand),
			memory:       int64(given.Memory),
			accelerators: given.Accelerators,
			share:        share,
		}
	}
}

func (check *checker) limits(read *document, parsed *Config) {
	given := read.Limits
	limits := Limits{
		retryRatio:   defaultRetryRatio,
		keepEnded:    orDuration(given.KeepEnded, defaultKeepEnded),
		keepClaims:   orDuration(given.KeepClaims, defaultKeepClaims),
		workerSilent: orDuration(given.WorkerSilent, defaultWorkerSilent),
		reserved:     int64(given.ReservedProcessors * thousand),
	}
	if given.RetryRatio != nil {
		limits.retryRatio = *given.RetryRatio
	}
	check.fraction("limits.retry_ratio", limits.retryRatio, 1)
	check.fraction("limits.reserved_processors", given.ReservedProcessors, maxMilli/thousand)
	check.duration("limits.keep_ended", limits.keepEnded, time.Minute, maxKeep)
	check.duration("limits.keep_claims", limits.keepClaims, time.Minute, maxKeep)
	check.duration("limits.worker_silent", limits.workerSilent, time.Second, maxTimeout)
	parsed.limits = limits
}

func (check *checker) between(path string, value, least, most int) {
	if value < least || value > most {
		check.fault(path, "%d is out of bounds; give %d to %d", value, least, most)
	}
}

func (check *checker) fraction(path string, value float64, most float64) {
	if !(value >= 0 && value <= most) {
		check.fault(path, "%g is out of bounds; give 0 to %g", value, most)
	}
}

func (check *checker) duration(path string, value, least, most time.Duration) {
	if value < least || value > most {
		check.fault(path, "%s is out of bounds; give %s to %s", value, least, most)
	}
}

func orInt(value *int, otherwise int) int {
	if value == nil {
		return otherwise
	}
	return *value
}

func orDuration(value, otherwise time.Duration) time.Duration {
	if value == 0 {
		return otherwise
	}
	return value
}
