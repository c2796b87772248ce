package interference

// part names one of the values that a filter estimates.
type part struct {
	kind partKind
	name string
}

type partKind int

const (
	partLevel  partKind = iota // headroom that the named task has by itself
	partSlope                  // change of that level a second
	partWeight                 // headroom that a core of the named filling image takes
)

func levelOf(task string) part  { return part{partLevel, task} }
func slopeOf(task string) part  { return part{partSlope, task} }
func weightOf(fill string) part { return part{partWeight, fill} }

// term is a part of a sum, with its factor.
type term struct {
	part   part
	factor float64
}

// value is what is known of a part: it is about the mean, off by the square root of
// the variance.
type value struct{ mean, variance float64 }

// filter is a Kalman filter: it estimates values of which only sums are read. It
// keeps how errors go together, so that a sum which stays the same while one of its
// parts is known to change teaches nothing about the others.
type filter struct {
	parts []part
	mean  []float64
	// cov holds the covariance of each two parts.
	cov [][]float64
}

// indexOf returns the position of a part, or -1.
func (known *filter) indexOf(wanted part) int {
	for position, has := range known.parts {
		if has == wanted {
			return position
		}
	}
	return -1
}

// value returns the estimate of a part, which must be known.
func (known *filter) value(wanted part) value {
	position := known.indexOf(wanted)
	return value{known.mean[position], known.cov[position][position]}
}

// add begins to estimate a part.
func (known *filter) add(wanted part, first value) {
	known.parts = append(known.parts, wanted)
	known.mean = append(known.mean, first.mean)
	for position := range known.cov {
		known.cov[position] = append(known.cov[position], 0)
	}
	row := make([]float64, len(known.parts))
	row[len(row)-1] = first.variance
	known.cov = append(known.cov, row)
}

// remove ends the estimate of a part.
func (known *filter) remove(unwanted part) {
	gone := known.indexOf(unwanted)
	if gone < 0 {
		return
	}
	known.parts = append(known.parts[:gone], known.parts[gone+1:]...)
	known.mean = append(known.mean[:gone], known.mean[gone+1:]...)
	known.cov = append(known.cov[:gone], known.cov[gone+1:]...)
	for position, row := range known.cov {
		known.cov[position] = append(row[:gone], row[gone+1:]...)
	}
}

// couple adds factor times one part to another, as time does to a level with a
// slope.
func (known *filter) couple(to, from part, factor float64) {
	target, source := known.indexOf(to), known.indexOf(from)
	known.mean[target] += factor * known.mean[source]
	for other := range known.parts {
		known.cov[target][other] += factor * known.cov[source][other]
	}
	for other := range known.parts {
		known.cov[other][target] += factor * known.cov[other][source]
	}
}

// shrink moves a part towards zero, keeping a share of it.
func (known *filter) shrink(wanted part, share float64) {
	target := known.indexOf(wanted)
	known.mean[target] *= share
	for other := range known.parts {
		known.cov[target][other] *= share
	}
	for other := range known.parts {
		known.cov[other][target] *= share
	}
}

// blur adds to the variance of a part, up to a most.
func (known *filter) blur(wanted part, variance, most float64) {
	position := known.indexOf(wanted)
	before := known.cov[position][position]
	known.cov[position][position] = max(before, min(before+variance, most))
}

// expect returns what a sum is expected to be.
func (known *filter) expect(sum []term) float64 {
	expected := 0.0
	for _, of := range sum {
		expected += of.factor * known.mean[known.indexOf(of.part)]
	}
	return expected
}

// observe takes in that a sum was read as surprise higher than expected, where the
// reading itself has the variance noise.
func (known *filter) observe(sum []term, surprise, noise float64) {
	shared := known.shared(sum)
	total := noise
	for _, of := range sum {
		total += of.factor * shared[known.indexOf(of.part)]
	}
	for row := range shared {
		gain := shared[row] / total
		known.mean[row] += gain * surprise
		for column := range shared {
			known.cov[row][column] -= gain * shared[column]
		}
	}
}

// shared returns the covariance of each part with a sum.
func (known *filter) shared(sum []term) []float64 {
	shared := make([]float64, len(known.parts))
	for _, of := range sum {
		position := known.indexOf(of.part)
		for other := range shared {
			shared[other] += of.factor * known.cov[other][position]
		}
	}
	return shared
}
