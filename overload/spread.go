package overload

import (
	"hash/fnv"
	"math"
	"time"
)

// spread returns a part of width that depends on the ID alone. It is added to the times that callers are told, so that
// they don't all come back at once.
func spread(id string, width time.Duration) time.Duration {
	hash := fnv.New32a()
	// Write of a hash never fails.
	_, _ = hash.Write([]byte(id))
	return time.Duration(float64(width) * mix(hash.Sum32()))
}

// mix maps a hash to a number in [0, 1) by the finalizer of MurmurHash3. The high bits of FNV alone differ little for
// similar IDs.
func mix(sum uint32) float64 {
	sum ^= sum >> 16
	sum *= 0x85ebca6b
	sum ^= sum >> 13
	sum *= 0xc2b2ae35
	sum ^= sum >> 16
	return float64(sum) / (math.MaxUint32 + 1)
}
