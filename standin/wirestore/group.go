package wirestore

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"
)

// joinRequest is the body of a join and of a leave request.
type joinRequest struct {
	Group      string   `json:"group"`
	Member     string   `json:"member"`
	Topics     []string `json:"topics"`
	TTLMs      int64    `json:"ttl_ms"`
	Generation int64    `json:"generation"`
}

// getGroup returns the group with the given name. It creates the group if there is none.
func (store *Store) getGroup(name string) *group {
	if store.groups[name] == nil {
		store.groups[name] = &group{owners: map[int]string{}, nextOwners: map[int]string{}}
	}
	return store.groups[name]
}

// decodeBody decodes the JSON body of a request. If that fails, it responds with 400 Bad Request and returns
// false.
func decodeBody(writer http.ResponseWriter, request *http.Request, body any) bool {
	if err := json.NewDecoder(request.Body).Decode(body); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return false
	}
	return true
}

// serveJoin adds a member to a group or renews its membership, and responds with the partitions that the
// member owns. Partitions that are to move to another member are left out of the response.
func (store *Store) serveJoin(writer http.ResponseWriter, request *http.Request) {
	var body joinRequest
	if !decodeBody(writer, request, &body) {
		return
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	group := store.getGroup(body.Group)
	group.topics, group.partitionsPerTopic = body.Topics, store.partitionsPerTopic
	now := store.now()
	group.expireMembers(now)
	memberIndex := slices.IndexFunc(group.members, func(candidate *member) bool { return candidate.name == body.Member })
	if memberIndex < 0 {
		group.members = append(group.members, &member{name: body.Member})
		memberIndex = len(group.members) - 1
		group.assignPartitions()
	}
	group.members[memberIndex].timeout = time.Duration(body.TTLMs) * time.Millisecond
	group.members[memberIndex].lastJoin = now
	group.members[memberIndex].generation = body.Generation
	group.handOverPartitions(body.Member, body.Generation)
	partitions := [][]any{}
	for index, owner := range group.owners {
		if owner == body.Member && group.nextOwners[index] == owner {
			partitions = append(partitions, group.describePartition(index, 0))
		}
	}
	writeJSON(writer, http.StatusOK, struct {
		Generation int64   `json:"generation"`
		Parts      [][]any `json:"parts"`
	}{group.generation, partitions})
}

// describePartition returns the topic and the partition number for an index into owners, followed by the
// values in more.
func (group *group) describePartition(index int, more ...any) []any {
	return append([]any{group.topics[index/group.partitionsPerTopic], index % group.partitionsPerTopic}, more...)
}

// assignPartitions starts a new generation and distributes the partitions of all topics evenly over the
// members. A partition that has an owner moves only when that owner has confirmed the new generation; see
// handOverPartitions.
func (group *group) assignPartitions() {
	group.generation++
	if len(group.members) == 0 {
		group.owners, group.nextOwners = map[int]string{}, map[int]string{}
		return
	}
	count := len(group.topics) * group.partitionsPerTopic
	for index := range count {
		owner := group.members[index*len(group.members)/count].name
		group.nextOwners[index] = owner
		if group.owners[index] == "" {
			group.owners[index] = owner
		}
	}
}

// handOverPartitions moves the partitions of a member that are assigned to another one, if the member has
// confirmed the current generation and has thus given them up.
func (group *group) handOverPartitions(name string, generation int64) {
	if generation < group.generation {
		return
	}
	for index, owner := range group.owners {
		if owner == name {
			group.owners[index] = group.nextOwners[index]
		}
	}
}

// expireMembers removes the members whose last join is at least their timeout ago.
func (group *group) expireMembers(now time.Time) {
	before := len(group.members)
	group.members = slices.DeleteFunc(group.members, func(candidate *member) bool {
		return now.Sub(candidate.lastJoin) >= candidate.timeout
	})
	if len(group.members) != before {
		group.reassignPartitions()
	}
}

// reassignPartitions takes the partitions of removed members away from them and assigns all partitions anew.
func (group *group) reassignPartitions() {
	for index, owner := range group.owners {
		if !slices.ContainsFunc(group.members, func(candidate *member) bool { return candidate.name == owner }) {
			group.owners[index] = ""
		}
	}
	group.assignPartitions()
}

// serveLeave removes a member from a group. Its partitions are reassigned without waiting for a confirmation.
func (store *Store) serveLeave(writer http.ResponseWriter, request *http.Request) {
	var body joinRequest
	if !decodeBody(writer, request, &body) {
		return
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	group := store.getGroup(body.Group)
	group.members = slices.DeleteFunc(group.members, func(candidate *member) bool { return candidate.name == body.Member })
	group.reassignPartitions()
	writeJSON(writer, http.StatusOK, struct{}{})
}

// serveOwners responds with the owner of every partition of a group that has one.
func (store *Store) serveOwners(writer http.ResponseWriter, request *http.Request) {
	store.mu.Lock()
	defer store.mu.Unlock()
	group := store.getGroup(request.URL.Query().Get("group"))
	group.expireMembers(store.now())
	rows := [][]any{}
	for index, owner := range group.owners {
		if owner != "" {
			rows = append(rows, group.describePartition(index, owner, 0))
		}
	}
	writeJSON(writer, http.StatusOK, struct {
		Owners [][]any `json:"owners"`
	}{rows})
}

// member is a member of a group.
type member struct {
	name       string
	timeout    time.Duration
	lastJoin   time.Time
	generation int64 // stated in the last join
}

// group distributes the partitions of its topics over its members.
type group struct {
	generation int64
	members    []*member
	// topics are the topics whose partitions are distributed. The partitions are numbered consecutively over
	// all topics, in this order; owners and nextOwners use this number as their key.
	topics             []string
	partitionsPerTopic int
	owners             map[int]string
	nextOwners         map[int]string // take over once the owner has confirmed the current generation
}
