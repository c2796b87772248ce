package wirestore

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"
)

type joinRequest struct {
	Group      string   `json:"group"`
	Member     string   `json:"member"`
	Topics     []string `json:"topics"`
	TTLMs      int64    `json:"ttl_ms"`
	Generation int64    `json:"generation"`
}

func (store *Store) getGroup(name string) *group {
	if store.groups[name] == nil {
		store.groups[name] = &group{owners: map[int]string{}, nextOwners: map[int]string{}}
	}
	return store.groups[name]
}

// decodeBody decodes a call; one that it can't decode is answered.
func decodeBody(answer http.ResponseWriter, request *http.Request, body any) bool {
	if err := json.NewDecoder(request.Body).Decode(body); err != nil {
		answer.WriteHeader(http.StatusBadRequest)
		return false
	}
	return true
}

func (store *Store) serveJoin(answer http.ResponseWriter, request *http.Request) {
	var body joinRequest
	if !decodeBody(answer, request, &body) {
		return
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	joined := store.getGroup(body.Group)
	joined.topics, joined.partitionsPerTopic = body.Topics, store.partitionsPerTopic
	now := store.now()
	joined.expireMembers(now)
	at := slices.IndexFunc(joined.members, func(known *member) bool { return known.name == body.Member })
	if at < 0 {
		joined.members = append(joined.members, &member{name: body.Member})
		at = len(joined.members) - 1
		joined.assignPartitions()
	}
	joined.members[at].timeout = time.Duration(body.TTLMs) * time.Millisecond
	joined.members[at].lastJoin = now
	joined.members[at].generation = body.Generation
	joined.handOverPartitions(body.Member, body.Generation)
	parts := [][]any{}
	for slot, owner := range joined.owners {
		if owner == body.Member && joined.nextOwners[slot] == owner {
			parts = append(parts, joined.describePartition(slot, 0))
		}
	}
	writeJSON(answer, http.StatusOK, struct {
		Generation int64   `json:"generation"`
		Parts      [][]any `json:"parts"`
	}{joined.generation, parts})
}

// describePartition describes a partition, with what else is told of it.
func (joined *group) describePartition(slot int, more ...any) []any {
	return append([]any{joined.topics[slot/joined.partitionsPerTopic], slot % joined.partitionsPerTopic}, more...)
}

// assignPartitions spreads the partitions of all topics evenly over the members. A partition passes on
// once its owner has heard of it.
func (joined *group) assignPartitions() {
	joined.generation++
	if len(joined.members) == 0 {
		joined.owners, joined.nextOwners = map[int]string{}, map[int]string{}
		return
	}
	slots := len(joined.topics) * joined.partitionsPerTopic
	for part := range slots {
		to := joined.members[part*len(joined.members)/slots].name
		joined.nextOwners[part] = to
		if joined.owners[part] == "" {
			joined.owners[part] = to
		}
	}
}

// handOverPartitions passes on the partitions that a member which has heard of the present
// generation no longer holds.
func (joined *group) handOverPartitions(name string, heard int64) {
	if heard < joined.generation {
		return
	}
	for part, owner := range joined.owners {
		if owner == name {
			joined.owners[part] = joined.nextOwners[part]
		}
	}
}

// expireMembers takes out members that have been silent for too long.
func (joined *group) expireMembers(now time.Time) {
	before := len(joined.members)
	joined.members = slices.DeleteFunc(joined.members, func(known *member) bool {
		return now.Sub(known.lastJoin) >= known.timeout
	})
	if len(joined.members) != before {
		joined.reassignPartitions()
	}
}

func (joined *group) reassignPartitions() {
	for part, owner := range joined.owners {
		if !slices.ContainsFunc(joined.members, func(known *member) bool { return known.name == owner }) {
			joined.owners[part] = ""
		}
	}
	joined.assignPartitions()
}

func (store *Store) serveLeave(answer http.ResponseWriter, request *http.Request) {
	var body joinRequest
	if !decodeBody(answer, request, &body) {
		return
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	left := store.getGroup(body.Group)
	left.members = slices.DeleteFunc(left.members, func(known *member) bool { return known.name == body.Member })
	left.reassignPartitions()
	writeJSON(answer, http.StatusOK, struct{}{})
}

func (store *Store) serveOwners(answer http.ResponseWriter, request *http.Request) {
	store.mu.Lock()
	defer store.mu.Unlock()
	asked := store.getGroup(request.URL.Query().Get("group"))
	asked.expireMembers(store.now())
	rows := [][]any{}
	for slot, owner := range asked.owners {
		if owner != "" {
			rows = append(rows, asked.describePartition(slot, owner, 0))
		}
	}
	writeJSON(answer, http.StatusOK, struct {
		Owners [][]any `json:"owners"`
	}{rows})
}

type member struct {
	name       string
	timeout    time.Duration
	lastJoin   time.Time
	generation int64
}

type group struct {
	generation int64
	members    []*member
	// topics are those whose partitions are dealt, of which each has so many parts. A slot counts them one topic
	// after the other.
	topics             []string
	partitionsPerTopic int
	owners             map[int]string // by slot
	nextOwners         map[int]string // to whom a slot goes once its owner has heard
}
