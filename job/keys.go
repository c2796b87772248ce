package job

import "strings"

// The topics that hold jobs. Entries write jobs and cancellations, the owner of
// a shard writes runs; only the owner reads the first from end to end, so its own
// records don't wake it.
const (
	TopicJobs   = "keyed.jobs"
	TopicRuns   = "keyed.runs"
	TopicAgents = "keyed.agents"
	// TopicInterference holds what has been learned of interference.
	TopicInterference = "keyed.learned"
)

// maxAgentPartitions bounds the partitions that agents register in. A partition takes its
// appends in turn, and all agents of a fleet may register at once: several make the last of
// them known sooner, and each is one more read that every reader waits in.
const maxAgentPartitions = 4

// AgentPartitions returns how many partitions of TopicAgents are used, of so many that a topic has.
func AgentPartitions(parts int) int { return min(parts, maxAgentPartitions) }

// AgentPartition returns the partition of TopicAgents that holds an agent's record.
func AgentPartition(agent string, parts int) int { return ShardOf(agent, AgentPartitions(parts)) }

// InterferenceKey is the key of the only record of TopicInterference, which lies in the
// partition with the number of InterferenceShard.
const InterferenceKey = "interference"

// InterferenceShard is the shard whose owner puts together what the agents have learned
// of interference, so that one of the owners does.
const InterferenceShard = 0

// OwnersGroup is the group that deals shards to entries.
const OwnersGroup = "owners"

// SeatsGroup is the group that deals seats to entries: those that have one join OwnersGroup.
const SeatsGroup = "seats"

// SeatTopics are the topics whose partitions stand for seats.
func SeatTopics() []string { return []string{TopicJobs, TopicRuns} }

const (
	submissionPrefix   = "j"
	cancellationPrefix = "c"
)

// SubmissionKey returns the key of a job's submission.
func SubmissionKey(id string) string { return submissionPrefix + id }

// CancellationKey returns the key of a job's cancellation.
func CancellationKey(id string) string { return cancellationPrefix + id }

// IsSubmissionKey reports whether the key holds a submission.
func IsSubmissionKey(key string) bool { return strings.HasPrefix(key, submissionPrefix) }

// IsCancellationKey reports whether the key holds a cancellation.
func IsCancellationKey(key string) bool { return strings.HasPrefix(key, cancellationPrefix) }
