package wirestore

import (
	"encoding/binary"
	"net/http"
	"slices"
)

type entry struct {
	key    string
	value  []byte
	offset int64
}

type topicPart struct {
	topic string
	part  int
}

type producerState struct {
	epoch, sequence int64
	ends            map[int64]int64 // answers by sequence
}

type partition struct {
	entries   []entry
	end       int64
	first     int64
	producers map[string]*producerState
}

func (store *Store) at(topic string, part int) *partition {
	place := topicPart{topic, part}
	if store.kept[place] == nil {
		store.kept[place] = &partition{producers: map[string]*producerState{}}
	}
	return store.kept[place]
}

func (store *Store) add(kept *partition, added []entry) {
	for _, one := range added {
		one.offset = kept.end
		kept.end++
		kept.entries = append(kept.entries, one)
	}
	close(store.grown)
	store.grown = make(chan struct{})
}

func (store *Store) partition(request *http.Request) *partition {
	return store.at(request.URL.Query().Get("topic"), int(number(request, "part")))
}

// admit judges a fenced append: status 0 lets it in, 200 answers it again.
func (kept *partition) admit(name string, epoch, sequence int64) (status int, reason string, end int64) {
	known, found := kept.producers[name]
	if !found || epoch > known.epoch {
		kept.producers[name] = &producerState{epoch: epoch, sequence: sequence, ends: map[int64]int64{}}
		return 0, "", 0
	}
	if epoch < known.epoch {
		return http.StatusConflict, "fenced", 0
	}
	if again, done := known.ends[sequence]; done {
		return http.StatusOK, "", again
	}
	if sequence != known.sequence+1 {
		return http.StatusConflict, "seq", 0
	}
	known.sequence = sequence
	return 0, "", 0
}

func decode(body []byte) []entry {
	var found []entry
	for len(body) > 5 {
		size := 4 + int(binary.BigEndian.Uint32(body))
		keyEnd := 5 + int(body[4])
		found = append(found, entry{key: string(body[5:keyEnd]), value: slices.Clone(body[keyEnd:size])})
		body = body[size:]
	}
	return found
}

func encode(entries []entry) []byte {
	var body []byte
	for _, one := range entries {
		body = binary.BigEndian.AppendUint32(body, uint32(1+len(one.key)+len(one.value)))
		body = append(body, byte(len(one.key)))
		body = append(body, one.key...)
		body = append(body, one.value...)
	}
	return body
}

func (kept *partition) from(offset int64) []byte {
	var later []entry
	for _, one := range kept.entries {
		if one.offset >= offset {
			later = append(later, one)
		}
	}
	body := binary.BigEndian.AppendUint64(nil, uint64(kept.end))
	body = binary.BigEndian.AppendUint64(body, uint64(kept.first))
	return append(body, encode(later)...)
}
