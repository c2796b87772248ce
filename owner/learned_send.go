package owner

import (
	"time"
)

// learnedSendInterval is how often interference estimates are sent to an agent: weights change over
// seconds.
const learnedSendInterval = 1500 * time.Millisecond

// addLearned adds the interference estimates from all workers to the agent's next message, since one
// worker alone sees only few pairs of images. An agent that keeps the estimates it receives is sent
// those that have changed since the last message. Any other agent, which is of an earlier version, is
// sent all estimates of the other agents each time.
func (owner *Owner) addLearned(view *agentView, now time.Time) {
	table := owner.learnedTable()
	if table == nil || !view.receivedOnConn || now.Sub(view.learnedSentAt) < learnedSendInterval {
		return
	}
	view.learnedSentAt = now
	if !view.keepsLearned {
		view.nextMessage.Learned = table.meansExcluding(view)
		return
	}
	owner.publishLearned(table, now)
	if view.learnedSentVersion < table.version {
		view.nextMessage.LearnedByAll = table.changedSince(view.learnedSentVersion)
		view.learnedSentVersion = table.version
	}
}

// publishLearned publishes the table at most once per learnedSendInterval, for all agents together.
func (owner *Owner) publishLearned(table *learnedTable, now time.Time) {
	if now.Sub(owner.learnedPublishedAt) < learnedSendInterval {
		return
	}
	owner.learnedPublishedAt = now
	table.publish()
}
