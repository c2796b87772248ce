package interference

// variable identifies one of the state variables of a filter.
type variable struct {
	kind variableKind
	name string // of the task or the image, depending on the kind
}

// variableKind is the kind of a state variable.
type variableKind int

const (
	levelVariable  variableKind = iota // headroom of the named serving task without any fill tasks
	slopeVariable                      // change of that level per second
	weightVariable                     // headroom taken by each core of the named fill image
)

func levelOf(task string) variable  { return variable{levelVariable, task} }
func slopeOf(task string) variable  { return variable{slopeVariable, task} }
func weightOf(fill string) variable { return variable{weightVariable, fill} }

// term is a variable and its coefficient in a linear combination.
type term struct {
	variable    variable
	coefficient float64
}

// gaussian is a normal distribution.
type gaussian struct{ mean, variance float64 }

// filter is a Kalman filter. It estimates variables of which only linear combinations can be measured.
// Because of the covariances, a measurement that doesn't change although one variable is known to have
// changed does not affect the estimates of the other variables.
type filter struct {
	variables []variable
	mean      []float64
	// covariance is the covariance matrix. Its rows and columns are in the order of variables.
	covariance [][]float64
}

// indexOf returns the index of a variable, or -1 if the filter doesn't contain it.
func (f *filter) indexOf(wanted variable) int {
	for index, variable := range f.variables {
		if variable == wanted {
			return index
		}
	}
	return -1
}

// estimate returns the estimate of a variable, which must be in the filter.
func (f *filter) estimate(variable variable) gaussian {
	index := f.indexOf(variable)
	return gaussian{f.mean[index], f.covariance[index][index]}
}

// add adds a variable that is not correlated with the others.
func (f *filter) add(variable variable, initial gaussian) {
	f.variables = append(f.variables, variable)
	f.mean = append(f.mean, initial.mean)
	for index := range f.covariance {
		f.covariance[index] = append(f.covariance[index], 0)
	}
	row := make([]float64, len(f.variables))
	row[len(row)-1] = initial.variance
	f.covariance = append(f.covariance, row)
}

// remove removes a variable if the filter contains it.
func (f *filter) remove(variable variable) {
	removed := f.indexOf(variable)
	if removed < 0 {
		return
	}
	f.variables = append(f.variables[:removed], f.variables[removed+1:]...)
	f.mean = append(f.mean[:removed], f.mean[removed+1:]...)
	f.covariance = append(f.covariance[:removed], f.covariance[removed+1:]...)
	for index, row := range f.covariance {
		f.covariance[index] = append(row[:removed], row[removed+1:]...)
	}
}

// addScaled adds factor times one variable to another one. With the elapsed time as factor, it extrapolates a
// level by its slope.
func (f *filter) addScaled(to, from variable, factor float64) {
	target, source := f.indexOf(to), f.indexOf(from)
	f.mean[target] += factor * f.mean[source]
	for other := range f.variables {
		f.covariance[target][other] += factor * f.covariance[source][other]
	}
	for other := range f.variables {
		f.covariance[other][target] += factor * f.covariance[other][source]
	}
}

// scale multiplies a variable by factor.
func (f *filter) scale(variable variable, factor float64) {
	target := f.indexOf(variable)
	f.mean[target] *= factor
	for other := range f.variables {
		f.covariance[target][other] *= factor
	}
	for other := range f.variables {
		f.covariance[other][target] *= factor
	}
}

// addVariance increases the variance of a variable up to limit. A variance that already exceeds limit stays
// as it is.
func (f *filter) addVariance(variable variable, variance, limit float64) {
	index := f.indexOf(variable)
	before := f.covariance[index][index]
	f.covariance[index][index] = max(before, min(before+variance, limit))
}

// predict returns the expected value of a linear combination.
func (f *filter) predict(terms []term) float64 {
	expected := 0.0
	for _, term := range terms {
		expected += term.coefficient * f.mean[f.indexOf(term.variable)]
	}
	return expected
}

// update updates the estimates with a measurement of a linear combination. The innovation is the difference
// between the measurement and the result of predict, and noiseVariance the variance of the measurement error.
func (f *filter) update(terms []term, innovation, noiseVariance float64) {
	covariance := f.covarianceWith(terms)
	innovationVariance := noiseVariance
	for _, term := range terms {
		innovationVariance += term.coefficient * covariance[f.indexOf(term.variable)]
	}
	for row := range covariance {
		gain := covariance[row] / innovationVariance
		f.mean[row] += gain * innovation
		for column := range covariance {
			f.covariance[row][column] -= gain * covariance[column]
		}
	}
}

// covarianceWith returns the covariance of each variable with a linear combination.
func (f *filter) covarianceWith(terms []term) []float64 {
	covariance := make([]float64, len(f.variables))
	for _, term := range terms {
		index := f.indexOf(term.variable)
		for other := range covariance {
			covariance[other] += term.coefficient * f.covariance[other][index]
		}
	}
	return covariance
}
