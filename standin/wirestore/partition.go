package wirestore

import (
	"cmp"
	"encoding/binary"
	"net/http"
	"slices"
)

// entry is a record and its offset in a partition.
type entry struct {
	key    string
	value  []byte
	offset int64
}

// size returns the number of bytes of the key and the value.
func (e entry) size() int64 { return int64(len(e.key) + len(e.value)) }

// partitionKey identifies a partition of a topic.
type partitionKey struct {
	topic     string
	partition int
}

// producerState holds the epoch and the last sequence number of a producer. Before its first append with records under
// an epoch, the sequence number is not set and the next one may be any.
type producerState struct {
	epoch, sequence int64
	hasSequence     bool
	endOffsets      map[int64]int64 // end offsets returned to appends, by sequence number
}

// partition holds the records of one partition of a topic. Reads by offset start at firstOffset; endOffset is
// the offset of the next record.
type partition struct {
	entries     []entry
	newest      map[string]entry // the newest record of each key, unless its value is empty
	endOffset   int64
	firstOffset int64
	producers   map[string]*producerState
	appended    chan struct{} // closed and replaced at each append
}

// getPartition returns a partition. It creates the partition if there is none.
func (store *Store) getPartition(topic string, number int) *partition {
	key := partitionKey{topic, number}
	if store.partitions[key] == nil {
		store.partitions[key] = &partition{newest: map[string]entry{}, producers: map[string]*producerState{}, appended: make(chan struct{})}
	}
	return store.partitions[key]
}

// appendEntries appends entries to a partition, assigns their offsets and wakes the reads that wait.
func (store *Store) appendEntries(partition *partition, added []entry) {
	for _, entry := range added {
		entry.offset = partition.endOffset
		partition.endOffset++
		partition.entries = append(partition.entries, entry)
		partition.newest[entry.key] = entry
		if len(entry.value) == 0 {
			delete(partition.newest, entry.key)
		}
	}
	close(partition.appended)
	partition.appended = make(chan struct{})
}

// requestedPartition returns the partition that the query of a request names.
func (store *Store) requestedPartition(request *http.Request) *partition {
	key := requestedKey(request)
	return store.getPartition(key.topic, key.partition)
}

// requestedKey returns the key of the partition that the query of a request names.
func requestedKey(request *http.Request) partitionKey {
	return partitionKey{request.URL.Query().Get("topic"), int(queryInt(request, "part"))}
}

// admitAppend checks the epoch and the sequence number of an append. It returns status 0 if the append is to
// be carried out. It returns 200 and the earlier end offset if it repeats one that was carried out. Otherwise
// it returns the error status and the reason: "fenced" for an epoch below the producer's current one, "seq"
// for a sequence number that does not follow the last one. An empty append sets the epoch and leaves the sequence
// number as it is.
func (partition *partition) admitAppend(name string, epoch, sequence int64, isEmpty bool) (status int, reason string, end int64) {
	producer, found := partition.producers[name]
	if !found || epoch > producer.epoch {
		producer = &producerState{epoch: epoch, endOffsets: map[int64]int64{}}
		partition.producers[name] = producer
	}
	if epoch < producer.epoch {
		return http.StatusConflict, "fenced", 0
	}
	if endOffset, appended := producer.endOffsets[sequence]; appended {
		return http.StatusOK, "", endOffset
	}
	if producer.hasSequence && sequence != producer.sequence+1 {
		return http.StatusConflict, "seq", 0
	}
	if !isEmpty {
		producer.sequence, producer.hasSequence = sequence, true
	}
	return 0, "", 0
}

// decodeEntries decodes records. Each is a 4-byte big-endian length of the rest, a 1-byte key length, the key
// and the value.
func decodeEntries(body []byte) []entry {
	var entries []entry
	for len(body) > 5 {
		size := 4 + int(binary.BigEndian.Uint32(body))
		keyEnd := 5 + int(body[4])
		entries = append(entries, entry{key: string(body[5:keyEnd]), value: slices.Clone(body[keyEnd:size])})
		body = body[size:]
	}
	return entries
}

// encodeEntries encodes records in the format that decodeEntries reads.
func encodeEntries(entries []entry) []byte {
	var body []byte
	for _, entry := range entries {
		body = binary.BigEndian.AppendUint32(body, uint32(1+len(entry.key)+len(entry.value)))
		body = append(body, byte(len(entry.key)))
		body = append(body, entry.key...)
		body = append(body, entry.value...)
	}
	return body
}

// page is what a read returns: the end and the first readable offset of a partition, and records. It is encoded while the
// store is not locked.
type page struct {
	endOffset, firstOffset int64
	entries                []entry
}

// pageFrom returns the records from offset on, up to maxBytes of keys and values but at least one record.
func (partition *partition) pageFrom(offset, maxBytes int64) page {
	found := page{endOffset: partition.endOffset, firstOffset: partition.firstOffset}
	size := int64(0)
	// Performance: a read waits for appends and looks for records after each, under the lock of the store.
	first, _ := slices.BinarySearchFunc(partition.entries, offset, func(entry entry, offset int64) int { return cmp.Compare(entry.offset, offset) })
	for _, entry := range partition.entries[first:] {
		size += entry.size()
		if len(found.entries) > 0 && size > maxBytes {
			break
		}
		found.entries = append(found.entries, entry)
	}
	return found
}

// encode encodes the body of a read: both offsets as 8-byte big-endian integers, followed by the records.
func (p page) encode() []byte {
	body := binary.BigEndian.AppendUint64(nil, uint64(p.endOffset))
	body = binary.BigEndian.AppendUint64(body, uint64(p.firstOffset))
	return append(body, encodeEntries(p.entries)...)
}
