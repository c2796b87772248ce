// Package config reads the configuration that operators publish.
//
// A configuration is a YAML document. It names the services whose requests are
// routed, the kinds of work, the teams and their quotas, and limits. Parse
// checks all of it and reports every fault at once, each with its line and
// column.
//
// # Usage
//
//	parsed, err := config.Parse(content)
//	var faults config.Faults
//	if errors.As(err, &faults) {
//		for _, fault := range faults { fmt.Println(fault) }
//	}
//
// # Units
//
// Times are Go durations (250ms, 30m). Sizes of memory are bytes, as a number
// or with a unit (512MiB, 64GiB). Processors are whole or fractional counts.
package config

import (
	"time"
)

// DocumentName is the name under which the configuration is published.
const DocumentName = "config"

// PolicyDocumentName returns the name under which a policy is published.
func PolicyDocumentName(policy string) string { return "policy-" + policy }

// Class says how a kind of work is treated.
type Class string

// The classes.
const (
	LatencyCritical Class = "latency-critical"
	Batch           Class = "batch"
	Watch           Class = "watch"
)

// Config is one checked configuration.
type Config struct {
	services map[string]Service
	kinds    map[string]Kind
	teams    map[string]Team
	limits   Limits
}

// Service returns the named service.
func (parsed *Config) Service(name string) (Service, bool) {
	service, found := parsed.services[name]
	return service, found
}

// Services returns every service, by name. The map must not be changed.
func (parsed *Config) Services() map[string]Service { return parsed.services }

// Kind returns the named kind.
func (parsed *Config) Kind(name string) (Kind, bool) {
	kind, found := parsed.kinds[name]
	return kind, found
}

// Kinds returns every kind, by name. The map must not be changed.
func (parsed *Config) Kinds() map[string]Kind { return parsed.kinds }

// Team returns the named team.
func (parsed *Config) Team(name string) (Team, bool) {
	team, found := parsed.teams[name]
	return team, found
}

// Teams returns every team, by name. The map must not be changed.
func (parsed *Config) Teams() map[string]Team { return parsed.teams }

// Limits returns the limits of the whole system.
func (parsed *Config) Limits() Limits { return parsed.limits }

// Service is a latency-critical service whose requests are routed.
type Service struct {
	kind        string
	slots       int
	connections int
	timeout     time.Duration
	targetP99   time.Duration
	maxBody     int64
	queue       int
	repeatable  bool
}

// Kind returns the name of the service's kind.
func (service Service) Kind() string { return service.kind }

// Slots returns how many requests one backend server runs at a time.
func (service Service) Slots() int { return service.slots }

// Connections returns how many connections one backend server takes.
func (service Service) Connections() int { return service.connections }

// Timeout returns the time a request has when its caller states none, and the
// longest it may state.
func (service Service) Timeout() time.Duration { return service.timeout }

// TargetP99 returns the tail latency that operators aim at.
func (service Service) TargetP99() time.Duration { return service.targetP99 }

// MaxBodyBytes returns the largest request body.
func (service Service) MaxBodyBytes() int64 { return service.maxBody }

// Queue returns how many requests wait at one entry while all slots are taken.
func (service Service) Queue() int { return service.queue }

// Repeatable reports whether requests may run more than once unless they say
// otherwise.
func (service Service) Repeatable() bool { return service.repeatable }

// Kind is a kind of work.
type Kind struct {
	class      Class
	priority   int
	lease      time.Duration
	maxRunTime time.Duration
	maxPending int
}

// Class returns how the kind is treated.
func (kind Kind) Class() Class { return kind.class }

// Priority returns the kind's priority; the larger goes first.
func (kind Kind) Priority() int { return kind.priority }

// Lease returns how long a task of the kind runs on without renewal. It is
// also the outage of the log that such a task outlives, and the time before a
// task on a silent worker can be started elsewhere.
func (kind Kind) Lease() time.Duration { return kind.lease }

// MaxRunTime returns the longest run time that a task may declare, zero for no
// bound.
func (kind Kind) MaxRunTime() time.Duration { return kind.maxRunTime }

// MaxPending returns how many tasks of the kind may wait, zero for no bound.
func (kind Kind) MaxPending() int { return kind.maxPending }

// Team is a team of operators or callers.
type Team struct {
	milliCPU     int64
	memory       int64
	accelerators int64
	share        float64
}

// MilliCPU returns the team's quota of processors in thousandths, zero for none.
func (team Team) MilliCPU() int64 { return team.milliCPU }

// MemoryBytes returns the team's quota of memory, zero for none.
func (team Team) MemoryBytes() int64 { return team.memory }

// Accelerators returns the team's quota of accelerators, zero for none.
func (team Team) Accelerators() int64 { return team.accelerators }

// Share returns the team's weight when work of several teams waits.
func (team Team) Share() float64 { return team.share }

// Limits bounds the whole system.
type Limits struct {
	retryRatio   float64
	keepEnded    time.Duration
	keepClaims   time.Duration
	workerSilent time.Duration
	reserved     int64
}

// RetryRatio returns how many retries an entry sends per request.
func (limits Limits) RetryRatio() float64 { return limits.retryRatio }

// KeepEnded returns how long ended tasks are kept.
func (limits Limits) KeepEnded() time.Duration { return limits.keepEnded }

// KeepClaims returns how long the key of a request that must not be repeated
// is remembered.
func (limits Limits) KeepClaims() time.Duration { return limits.keepClaims }

// WorkerSilent returns how long a guard may be silent before its worker is suspected.
func (limits Limits) WorkerSilent() time.Duration { return limits.workerSilent }

// ReservedMilliCPU returns the processors that a worker keeps for its backend
// server, in thousandths.
func (limits Limits) ReservedMilliCPU() int64 { return limits.reserved }
