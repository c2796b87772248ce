package interference

// variable names one of the values that a filter estimates.
type variable struct {
	kind variableKind
	name string
}

type variableKind int

const (
	levelVariable  variableKind = iota // headroom that the named task has by itself
	slopeVariable                      // change of that level a second
	weightVariable                     // headroom that a core of the named filling image takes
)

func levelOf(task string) variable  { return variable{levelVariable, task} }
func slopeOf(task string) variable  { return variable{slopeVariable, task} }
func weightOf(fill string) variable { return variable{weightVariable, fill} }

// term is a part of a sum, with its factor.
type term struct {
	variable    variable
	coefficient float64
}

// gaussian is what is known of a part: it is about the mean, off by the square root of
// the variance.
type gaussian struct{ mean, variance float64 }

// filter is a Kalman filter: it estimates values of which only sums are read. It
// keeps how errors go together, so that a sum which stays the same while one of its
// parts is known to change teaches nothing about the others.
type filter struct {
	variables []variable
	mean      []float64
	// covariance holds the covariance of each two parts.
	covariance [][]float64
}

// indexOf returns the position of a part, or -1.
func (known *filter) indexOf(wanted variable) int {
	for position, has := range known.variables {
		if has == wanted {
			return position
		}
	}
	return -1
}

// estimate returns the estimate of a part, which must be known.
func (known *filter) estimate(wanted variable) gaussian {
	position := known.indexOf(wanted)
	return gaussian{known.mean[position], known.covariance[position][position]}
}

// add begins to estimate a part.
func (known *filter) add(wanted variable, first gaussian) {
	known.variables = append(known.variables, wanted)
	known.mean = append(known.mean, first.mean)
	for position := range known.covariance {
		known.covariance[position] = append(known.covariance[position], 0)
	}
	row := make([]float64, len(known.variables))
	row[len(row)-1] = first.variance
	known.covariance = append(known.covariance, row)
}

// remove ends the estimate of a part.
func (known *filter) remove(unwanted variable) {
	gone := known.indexOf(unwanted)
	if gone < 0 {
		return
	}
	known.variables = append(known.variables[:gone], known.variables[gone+1:]...)
	known.mean = append(known.mean[:gone], known.mean[gone+1:]...)
	known.covariance = append(known.covariance[:gone], known.covariance[gone+1:]...)
	for position, row := range known.covariance {
		known.covariance[position] = append(row[:gone], row[gone+1:]...)
	}
}

// addScaled adds factor times one part to another, as time does to a level with a
// slope.
func (known *filter) addScaled(to, from variable, factor float64) {
	target, source := known.indexOf(to), known.indexOf(from)
	known.mean[target] += factor * known.mean[source]
	for other := range known.variables {
		known.covariance[target][other] += factor * known.covariance[source][other]
	}
	for other := range known.variables {
		known.covariance[other][target] += factor * known.covariance[other][source]
	}
}

// scale moves a part towards zero, keeping a share of it.
func (known *filter) scale(wanted variable, share float64) {
	target := known.indexOf(wanted)
	known.mean[target] *= share
	for other := range known.variables {
		known.covariance[target][other] *= share
	}
	for other := range known.variables {
		known.covariance[other][target] *= share
	}
}

// addVariance adds to the variance of a part, up to a most.
func (known *filter) addVariance(wanted variable, variance, most float64) {
	position := known.indexOf(wanted)
	before := known.covariance[position][position]
	known.covariance[position][position] = max(before, min(before+variance, most))
}

// predict returns what a sum is expected to be.
func (known *filter) predict(sum []term) float64 {
	expected := 0.0
	for _, of := range sum {
		expected += of.coefficient * known.mean[known.indexOf(of.variable)]
	}
	return expected
}

// update takes in that a sum was read as surprise higher than expected, where the
// reading itself has the variance noise.
func (known *filter) update(sum []term, surprise, noise float64) {
	shared := known.covarianceWith(sum)
	total := noise
	for _, of := range sum {
		total += of.coefficient * shared[known.indexOf(of.variable)]
	}
	for row := range shared {
		gain := shared[row] / total
		known.mean[row] += gain * surprise
		for column := range shared {
			known.covariance[row][column] -= gain * shared[column]
		}
	}
}

// covarianceWith returns the covariance of each part with a sum.
func (known *filter) covarianceWith(sum []term) []float64 {
	shared := make([]float64, len(known.variables))
	for _, of := range sum {
		position := known.indexOf(of.variable)
		for other := range shared {
			shared[other] += of.coefficient * known.covariance[other][position]
		}
	}
	return shared
}
