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

type partitionKey struct {
	topic     string
	partition int
}

type producerState struct {
	epoch, sequence int64
	endOffsets      map[int64]int64 // answers by sequence
}

type partition struct {
	entries     []entry
	endOffset   int64
	firstOffset int64
	producers   map[string]*producerState
}

func (store *Store) getPartition(topic string, part int) *partition {
	place := partitionKey{topic, part}
	if store.partitions[place] == nil {
		store.partitions[place] = &partition{producers: map[string]*producerState{}}
	}
	return store.partitions[place]
}

func (store *Store) appendEntries(kept *partition, added []entry) {
	for _, one := range added {
		one.offset = kept.endOffset
		kept.endOffset++
		kept.entries = append(kept.entries, one)
	}
	close(store.appended)
	store.appended = make(chan struct{})
}

func (store *Store) requestedPartition(request *http.Request) *partition {
	return store.getPartition(request.URL.Query().Get("topic"), int(queryInt(request, "part")))
}

// admitAppend judges a fenced append: status 0 lets it in, 200 answers it again.
func (kept *partition) admitAppend(name string, epoch, sequence int64) (status int, reason string, end int64) {
	known, found := kept.producers[name]
	if !found || epoch > known.epoch {
		kept.producers[name] = &producerState{epoch: epoch, sequence: sequence, endOffsets: map[int64]int64{}}
		return 0, "", 0
	}
	if epoch < known.epoch {
		return http.StatusConflict, "fenced", 0
	}
	if again, done := known.endOffsets[sequence]; done {
		return http.StatusOK, "", again
	}
	if sequence != known.sequence+1 {
		return http.StatusConflict, "seq", 0
	}
	known.sequence = sequence
	return 0, "", 0
}

func decodeEntries(body []byte) []entry {
	var found []entry
	for len(body) > 5 {
		size := 4 + int(binary.BigEndian.Uint32(body))
		keyEnd := 5 + int(body[4])
		found = append(found, entry{key: string(body[5:keyEnd]), value: slices.Clone(body[keyEnd:size])})
		body = body[size:]
	}
	return found
}

func encodeEntries(entries []entry) []byte {
	var body []byte
	for _, one := range entries {
		body = binary.BigEndian.AppendUint32(body, uint32(1+len(one.key)+len(one.value)))
		body = append(body, byte(len(one.key)))
		body = append(body, one.key...)
		body = append(body, one.value...)
	}
	return body
}

func (kept *partition) encodeFrom(offset int64) []byte {
	var later []entry
	for _, one := range kept.entries {
		if one.offset >= offset {
			later = append(later, one)
		}
	}
	body := binary.BigEndian.AppendUint64(nil, uint64(kept.endOffset))
	body = binary.BigEndian.AppendUint64(body, uint64(kept.firstOffset))
	return append(body, encodeEntries(later)...)
}
