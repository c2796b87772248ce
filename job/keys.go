package job

import "strings"

// The topics that store jobs, agents and interference estimates. Entries append submissions and cancellations
// to TopicJobs, and the owner of a shard appends the progress of its jobs to TopicRuns. These two are
// separate because the owner follows TopicJobs with blocking reads, which its own records must not wake.
const (
	TopicJobs   = "keyed.jobs"
	TopicRuns   = "keyed.runs"
	TopicAgents = "keyed.agents"
	// TopicInterference holds the interference estimates of all agents.
	TopicInterference = "keyed.learned"
)

// maxAgentPartitions limits the number of partitions that agents register in. A partition handles one append
// at a time, and all agents of a fleet may register at once, so more partitions make the last agent known
// sooner. But each partition costs every reader one more blocking read.
const maxAgentPartitions = 4

// AgentPartitions returns how many partitions of TopicAgents are used if each topic has the given number of
// partitions.
func AgentPartitions(partitions int) int { return min(partitions, maxAgentPartitions) }

// AgentPartition returns the partition of TopicAgents that holds an agent's record.
func AgentPartition(agent string, partitions int) int {
	return ShardOf(agent, AgentPartitions(partitions))
}

// InterferenceKey is the key of the only record of TopicInterference. The record is in partition
// InterferenceShard.
const InterferenceKey = "interference"

// InterferenceShard is the shard whose owner combines the interference estimates of all agents, so that
// exactly one of the owners does.
const InterferenceShard = 0

// OwnersGroup is the group in which the store assigns shards to entries.
const OwnersGroup = "owners"

// SeatsGroup is the group in which the store assigns seats to entries. Only an entry with a seat joins
// OwnersGroup, unless owners are missing; see package candidacy.
const SeatsGroup = "seats"

// SeatTopics returns the topics whose partitions serve as seats, one seat for each partition.
func SeatTopics() []string { return []string{TopicJobs, TopicRuns} }

const (
	submissionPrefix   = "j"
	cancellationPrefix = "c"
)

// SubmissionKey returns the key of a job's submission.
func SubmissionKey(id string) string { return submissionPrefix + id }

// CancellationKey returns the key of a job's cancellation.
func CancellationKey(id string) string { return cancellationPrefix + id }

// IsSubmissionKey reports whether a key is that of a submission.
func IsSubmissionKey(key string) bool { return strings.HasPrefix(key, submissionPrefix) }

// IsCancellationKey reports whether a key is that of a cancellation.
func IsCancellationKey(key string) bool { return strings.HasPrefix(key, cancellationPrefix) }
