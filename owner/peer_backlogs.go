package owner

import (
	"time"

	"ambertiller.example/ambertiller/wire"
)

// peerBacklogs are the backlogs of the other owners, as they reported them last.
type peerBacklogs struct {
	backlogs []*wire.OwnerBacklog
	// receivedAt is when they were received, the zero time if there are none.
	receivedAt time.Time
}

// UpdatePeerBacklogs replaces the backlogs of the other owners. The age of each is that when it was received.
func (owner *Owner) UpdatePeerBacklogs(backlogs []*wire.OwnerBacklog) {
	owner.eventLoop.Post(func(now time.Time) {
		owner.peerBacklogs = peerBacklogs{backlogs: backlogs, receivedAt: now}
	})
}
