package owner

import (
	"time"
)

// learnedSendInterval is how often an agent is told: weights move over seconds.
const learnedSendInterval = 1500 * time.Millisecond

// addLearned tells an agent what the readings of all workers have taught: one worker alone sees few of the
// pairs of images. An agent that keeps what it is told hears of what has changed since; another one of
// all that others have learned.
func (owner *Owner) addLearned(view *agentView, now time.Time) {
	table := owner.learnedTable()
	if table == nil || !view.heardOnConn || now.Sub(view.learnedSentAt) < learnedSendInterval {
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

// publishLearned begins a new version of the table where that is due: once for all agents.
func (owner *Owner) publishLearned(table *learnedTable, now time.Time) {
	if now.Sub(owner.learnedPublishedAt) < learnedSendInterval {
		return
	}
	owner.learnedPublishedAt = now
	table.publish()
}
