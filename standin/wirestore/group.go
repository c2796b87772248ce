package wirestore

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"
)

type joinBody struct {
	Group      string   `json:"group"`
	Member     string   `json:"member"`
	Topics     []string `json:"topics"`
	TTLMs      int64    `json:"ttl_ms"`
	Generation int64    `json:"generation"`
}

func (store *Store) named(name string) *group {
	if store.group[name] == nil {
		store.group[name] = &group{owners: map[int]string{}, owed: map[int]string{}}
	}
	return store.group[name]
}

// takeBody decodes a call; one that it can't decode is answered.
func takeBody(answer http.ResponseWriter, request *http.Request, body any) bool {
	if err := json.NewDecoder(request.Body).Decode(body); err != nil {
		answer.WriteHeader(http.StatusBadRequest)
		return false
	}
	return true
}

func (store *Store) join(answer http.ResponseWriter, request *http.Request) {
	var body joinBody
	if !takeBody(answer, request, &body) {
		return
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	joined := store.named(body.Group)
	joined.topics, joined.parts = body.Topics, store.parts
	now := store.now()
	joined.expire(now)
	at := slices.IndexFunc(joined.members, func(known *member) bool { return known.name == body.Member })
	if at < 0 {
		joined.members = append(joined.members, &member{name: body.Member})
		at = len(joined.members) - 1
		joined.deal()
	}
	joined.members[at].silent = time.Duration(body.TTLMs) * time.Millisecond
	joined.members[at].heardAt = now
	joined.members[at].heard = body.Generation
	joined.handOver(body.Member, body.Generation)
	parts := [][]any{}
	for slot, owner := range joined.owners {
		if owner == body.Member && joined.owed[slot] == owner {
			parts = append(parts, joined.row(slot, 0))
		}
	}
	reply(answer, http.StatusOK, struct {
		Generation int64   `json:"generation"`
		Parts      [][]any `json:"parts"`
	}{joined.generation, parts})
}

// row describes a partition, with what else is told of it.
func (joined *group) row(slot int, more ...any) []any {
	return append([]any{joined.topics[slot/joined.parts], slot % joined.parts}, more...)
}

// deal spreads the partitions of all topics evenly over the members. A partition passes on
// once its owner has heard of it.
func (joined *group) deal() {
	joined.generation++
	if len(joined.members) == 0 {
		joined.owners, joined.owed = map[int]string{}, map[int]string{}
		return
	}
	slots := len(joined.topics) * joined.parts
	for part := range slots {
		to := joined.members[part*len(joined.members)/slots].name
		joined.owed[part] = to
		if joined.owners[part] == "" {
			joined.owners[part] = to
		}
	}
}

// handOver passes on the partitions that a member which has heard of the present
// generation no longer holds.
func (joined *group) handOver(name string, heard int64) {
	if heard < joined.generation {
		return
	}
	for part, owner := range joined.owners {
		if owner == name {
			joined.owners[part] = joined.owed[part]
		}
	}
}

// expire takes out members that have been silent for too long.
func (joined *group) expire(now time.Time) {
	before := len(joined.members)
	joined.members = slices.DeleteFunc(joined.members, func(known *member) bool {
		return now.Sub(known.heardAt) >= known.silent
	})
	if len(joined.members) != before {
		joined.dropAbsent()
	}
}

func (joined *group) dropAbsent() {
	for part, owner := range joined.owners {
		if !slices.ContainsFunc(joined.members, func(known *member) bool { return known.name == owner }) {
			joined.owners[part] = ""
		}
	}
	joined.deal()
}

func (store *Store) leave(answer http.ResponseWriter, request *http.Request) {
	var body joinBody
	if !takeBody(answer, request, &body) {
		return
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	left := store.named(body.Group)
	left.members = slices.DeleteFunc(left.members, func(known *member) bool { return known.name == body.Member })
	left.dropAbsent()
	reply(answer, http.StatusOK, struct{}{})
}

func (store *Store) owners(answer http.ResponseWriter, request *http.Request) {
	store.mu.Lock()
	defer store.mu.Unlock()
	asked := store.named(request.URL.Query().Get("group"))
	asked.expire(store.now())
	rows := [][]any{}
	for slot, owner := range asked.owners {
		if owner != "" {
			rows = append(rows, asked.row(slot, owner, 0))
		}
	}
	reply(answer, http.StatusOK, struct {
		Owners [][]any `json:"owners"`
	}{rows})
}

type member struct {
	name    string
	silent  time.Duration
	heardAt time.Time
	heard   int64
}

type group struct {
	generation int64
	members    []*member
	// topics are those whose partitions are dealt, of which each has so many parts. A slot counts them one topic
	// after the other.
	topics []string
	parts  int
	owners map[int]string // by slot
	owed   map[int]string // to whom a slot goes once its owner has heard
}
