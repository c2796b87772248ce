package owner

import (
	"time"
)

// shareEvery is how often an agent is told: weights move over seconds.
const shareEvery = 1500 * time.Millisecond

// share tells an agent what the readings of all workers have taught: one worker alone sees few of the
// pairs of images. An agent that keeps what it is told hears of what has changed since; another one of
// all that others have learned.
func (owner *Owner) share(view *agentView, now time.Time) {
	table := owner.learned()
	if table == nil || !view.heardOnConn || now.Sub(view.learnedSentAt) < shareEvery {
		return
	}
	view.learnedSentAt = now
	if !view.keepsLearned {
		view.nextMessage.Learned = table.without(view)
		return
	}
	owner.publishLearned(table, now)
	if view.learnedSentVersion < table.version {
		view.nextMessage.LearnedByAll = table.since(view.learnedSentVersion)
		view.learnedSentVersion = table.version
	}
}

// publishLearned begins a new version of the table where that is due: once for all agents.
func (owner *Owner) publishLearned(table *learnedTable, now time.Time) {
	if now.Sub(owner.learnedPublishedAt) < shareEvery {
		return
	}
	owner.learnedPublishedAt = now
	table.publish()
}
