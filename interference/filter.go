package interference

// part is what a filter knows one value of.
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

// term is a value's factor in a sum.
type term struct {
	part   part
	factor float64
}

// filter is a Kalman filter: it estimates values of which only sums are read. It
// keeps how errors go together, so that a sum which stays the same while one of its
// parts is known to change teaches nothing about the others.
type filter struct {
	parts []part
	mean  []float64
	cov   [][]float64
}

// at returns the position of a part, or -1.
func (known *filter) at(wanted part) int {
	for position, has := range known.parts {
		if has == wanted {
			return position
		}
	}
	return -1
}

// value returns the estimate of a part and its variance; the part must be known.
func (known *filter) value(wanted part) (mean, variance float64) {
	position := known.at(wanted)
	return known.mean[position], known.cov[position][position]
}

// add begins to estimate a part.
func (known *filter) add(wanted part, mean, variance float64) {
	known.parts = append(known.parts, wanted)
	known.mean = append(known.mean, mean)
	for position := range known.cov {
		known.cov[position] = append(known.cov[position], 0)
	}
	row := make([]float64, len(known.parts))
	row[len(row)-1] = variance
	known.cov = append(known.cov, row)
}

// remove ends the estimate of a part.
func (known *filter) remove(unwanted part) {
	gone := known.at(unwanted)
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
	target, source := known.at(to), known.at(from)
	known.mean[target] += factor * known.mean[source]
	for position := range known.parts {
		known.cov[target][position] += factor * known.cov[source][position]
	}
	for position := range known.parts {
		known.cov[position][target] += factor * known.cov[position][source]
	}
}

// shrink moves a part towards zero, keeping a share of it.
func (known *filter) shrink(wanted part, share float64) {
	target := known.at(wanted)
	known.mean[target] *= share
	for position := range known.parts {
		known.cov[target][position] *= share
	}
	for position := range known.parts {
		known.cov[position][target] *= share
	}
}

// blur adds to the variance of a part.
func (known *filter) blur(wanted part, variance float64) {
	position := known.at(wanted)
	known.cov[position][position] += variance
}

// expect returns what a sum is expected to be.
func (known *filter) expect(sum []term) float64 {
	expected := 0.0
	for _, of := range sum {
		expected += of.factor * known.mean[known.at(of.part)]
	}
	return expected
}

// observe takes in that a sum was read as surprise higher than expected, where the
// reading itself has the variance noise.
func (known *filter) observe(sum []term, surprise, noise float64) {
	shared := make([]float64, len(known.parts))
	total := noise
	for _, of := range sum {
		position := known.at(of.part)
		for other := range shared {
			shared[other] += of.factor * known.cov[other][position]
		}
	}
	for _, of := range sum {
		total += of.factor * shared[known.at(of.part)]
	}
	for row := range shared {
		gain := shared[row] / total
		known.mean[row] += gain * surprise
		for column := range shared {
			known.cov[row][column] -= gain * shared[column]
		}
	}
}
