// Package config parses and validates the configuration that operators publish.
//
// A configuration is a YAML document. It defines the services whose requests are
// routed, the kinds of work, the teams with their quotas, and limits of the whole
// system. Parse checks the entire document and returns all faults together, each
// with its line and column.
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
// Times are Go durations (250ms, 30m). Memory sizes are in bytes, written as a
// plain number or with a unit (512MiB, 64GiB). Processors are counts and may be
// fractional.
package config

import (
	"time"
)

// DocumentName is the document name under which the configuration is published.
const DocumentName = "config"

// PolicyDocumentName returns the document name under which the given policy is published.
func PolicyDocumentName(policy string) string { return "policy-" + policy }

// Class determines how work of a kind is handled.
type Class string

// Classes of work. Services need a kind of class LatencyCritical, whose work consists of requests.
// Tasks have a kind of class Batch or Watch, which differ in the default lease.
const (
	LatencyCritical Class = "latency-critical"
	Batch           Class = "batch"
	Watch           Class = "watch"
)

// Config is a valid configuration with all defaults filled in. It does not change after Parse returned it.
type Config struct {
	services map[string]Service
	kinds    map[string]Kind
	teams    map[string]Team
	limits   Limits
}

// Service returns the service with the given name, and whether it exists.
func (c *Config) Service(name string) (Service, bool) {
	service, found := c.services[name]
	return service, found
}

// Services returns all services by name. The caller must not modify the map.
func (c *Config) Services() map[string]Service { return c.services }

// Kind returns the kind with the given name, and whether it exists.
func (c *Config) Kind(name string) (Kind, bool) {
	kind, found := c.kinds[name]
	return kind, found
}

// Kinds returns all kinds by name. The caller must not modify the map.
func (c *Config) Kinds() map[string]Kind { return c.kinds }

// Team returns the team with the given name, and whether it exists.
func (c *Config) Team(name string) (Team, bool) {
	team, found := c.teams[name]
	return team, found
}

// Teams returns all teams by name. The caller must not modify the map.
func (c *Config) Teams() map[string]Team { return c.teams }

// Limits returns the limits of the whole system.
func (c *Config) Limits() Limits { return c.limits }

// Service holds the settings of a latency-critical service, whose requests are routed to backend servers.
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

// Slots returns how many requests one backend server processes concurrently.
func (service Service) Slots() int { return service.slots }

// Connections returns how many connections one backend server accepts.
func (service Service) Connections() int { return service.connections }

// Timeout returns the timeout of a request whose caller sets none. It is also the
// longest timeout that a caller may set.
func (service Service) Timeout() time.Duration { return service.timeout }

// TargetP99 returns the 99th percentile of latency that operators aim for.
func (service Service) TargetP99() time.Duration { return service.targetP99 }

// MaxBodyBytes returns the maximum size of a request body.
func (service Service) MaxBodyBytes() int64 { return service.maxBody }

// Queue returns how many requests may wait at one entry while all slots are in use.
func (service Service) Queue() int { return service.queue }

// Repeatable reports whether a request may be executed more than once, unless the
// request itself specifies it.
func (service Service) Repeatable() bool { return service.repeatable }

// Kind holds the settings of one kind of work.
type Kind struct {
	class      Class
	priority   int
	lease      time.Duration
	maxRunTime time.Duration
	maxPending int
}

// Class returns the class, which determines how work of the kind is handled.
func (kind Kind) Class() Class { return kind.class }

// Priority returns the default priority of the kind's work. Higher values are served first.
func (kind Kind) Priority() int { return kind.priority }

// Lease returns how long a task of the kind keeps running without a renewal of
// its lease. It is therefore also the longest outage of the log that such a task
// survives, and how long it takes until a task on an unresponsive worker can be
// started elsewhere.
func (kind Kind) Lease() time.Duration { return kind.lease }

// MaxRunTime returns the longest run time that a task may declare. Zero means no
// limit.
func (kind Kind) MaxRunTime() time.Duration { return kind.maxRunTime }

// MaxPending returns how many tasks of the kind may be waiting. Zero means no limit.
func (kind Kind) MaxPending() int { return kind.maxPending }

// Team holds the quotas and the share of a team of operators or callers.
type Team struct {
	milliCPU     int64
	memory       int64
	accelerators int64
	share        float64
}

// MilliCPU returns the team's processor quota in thousandths of a processor. Zero means no quota.
func (team Team) MilliCPU() int64 { return team.milliCPU }

// MemoryBytes returns the team's memory quota. Zero means no quota.
func (team Team) MemoryBytes() int64 { return team.memory }

// Accelerators returns the team's accelerator quota. Zero means no quota.
func (team Team) Accelerators() int64 { return team.accelerators }

// Share returns the team's weight while work of several teams is waiting.
func (team Team) Share() float64 { return team.share }

// Limits holds settings that apply to the whole system.
type Limits struct {
	retryRatio   float64
	keepEnded    time.Duration
	keepClaims   time.Duration
	workerSilent time.Duration
	reserved     int64
}

// RetryRatio returns how many retries an entry may send for each first attempt, on average.
func (limits Limits) RetryRatio() float64 { return limits.retryRatio }

// KeepEnded returns how long ended tasks are retained.
func (limits Limits) KeepEnded() time.Duration { return limits.keepEnded }

// KeepClaims returns how long the key of a request that must not be executed
// twice is retained.
func (limits Limits) KeepClaims() time.Duration { return limits.keepClaims }

// WorkerSilent returns how long a guard may send no reports before its worker is suspected to have failed.
func (limits Limits) WorkerSilent() time.Duration { return limits.workerSilent }

// ReservedMilliCPU returns the processors that a worker reserves for its backend
// server, in thousandths of a processor.
func (limits Limits) ReservedMilliCPU() int64 { return limits.reserved }
