package overload

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// hashFractionBits is the number of bits of a hash that a float64 holds exactly.
const hashFractionBits = 53

// spread returns a part of width that depends on the ID alone. It is added to the times that callers are told, so that
// they don't all come back at once. It uses the high bits of the hash, because the low ones determine a job's shard.
func spread(id string, width time.Duration) time.Duration {
	fraction := float64(xxhash.Sum64String(id)>>(64-hashFractionBits)) / (1 << hashFractionBits)
	return time.Duration(float64(width) * fraction)
}
