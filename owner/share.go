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
	if table == nil || !view.greeted || now.Sub(view.sharedAt) < learnedSendInterval {
		return
	}
	view.sharedAt = now
	if !view.keepsLearned {
		view.message.Learned = table.meansExcluding(view)
		return
	}
	owner.publishLearned(table, now)
	if view.sharedVersion < table.version {
		view.message.LearnedByAll = table.changedSince(view.sharedVersion)
		view.sharedVersion = table.version
	}
}

// publishLearned begins a new version of the table where that is due: once for all agents.
func (owner *Owner) publishLearned(table *learnedTable, now time.Time) {
	if now.Sub(owner.publishedAt) < learnedSendInterval {
		return
	}
	owner.publishedAt = now
	table.publish()
}
