package changelog

const (
	// readLimitDivisor divides the limit after a read that failed, since its response may be too large to arrive.
	readLimitDivisor = 8
	// readLimitGrowth multiplies the limit after a read that succeeded.
	readLimitGrowth = 4
)

// readLimit is the number of entries to read at once. It adapts to what arrives.
type readLimit struct {
	entries    int
	maxEntries int
}

func newReadLimit(maxEntries int) readLimit {
	return readLimit{entries: maxEntries, maxEntries: maxEntries}
}

// adjust adjusts the limit to the outcome of a read.
func (limit *readLimit) adjust(err error) {
	if err != nil {
		limit.entries = max(1, limit.entries/readLimitDivisor)
		return
	}
	limit.entries = min(limit.maxEntries, limit.entries*readLimitGrowth)
}
