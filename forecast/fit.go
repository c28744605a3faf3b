package forecast

// descentRounds is the number of rounds of coordinate descent for each observation; the sums change slowly.
const descentRounds = 3

// features is the number of features of a fit, of which the first one is 1.
const features = 4

// vector holds the features of an observation, or their coefficients.
type vector [features]float64

// dot returns the sum of the products.
func (values vector) dot(others vector) float64 {
	sum := 0.0
	for i, value := range values {
		sum += value * others[i]
	}
	return sum
}

// fit is a linear function of features that is fitted to observations of decaying weight.
type fit struct {
	coefficients vector
	// products holds the sums of the products of features, and targets those of the features and the observed value.
	products [features][features]float64
	targets  vector
	// hasSign is set if the first coefficient may be negative; the others never are.
	hasSign bool
}

// newFit returns a fit that begins with the coefficients; strengths say by how many observations each of them is held, at a feature of 1.
func newFit(coefficients, strengths vector) fit {
	fitted := fit{coefficients: coefficients}
	for i, strength := range strengths {
		fitted.products[i][i] = strength
		fitted.targets[i] = strength * coefficients[i]
	}
	return fitted
}

func (fitted *fit) at(values vector) float64 { return values.dot(fitted.coefficients) }

// add adds an observation of the value at the features.
func (fitted *fit) add(values vector, value, memory float64) {
	keep := 1 - 1/memory
	for i := range values {
		for j := range values {
			fitted.products[i][j] = keep*fitted.products[i][j] + values[i]*values[j]
		}
		fitted.targets[i] = keep*fitted.targets[i] + values[i]*value
	}
	for range descentRounds {
		fitted.descend()
	}
}

// descend finds for each coefficient in turn the best value beside the others.
func (fitted *fit) descend() {
	for i := range fitted.coefficients {
		if fitted.products[i][i] < 1e-9 {
			continue
		}
		rest := fitted.targets[i]
		for j := range fitted.coefficients {
			if j != i {
				rest -= fitted.products[i][j] * fitted.coefficients[j]
			}
		}
		fitted.coefficients[i] = rest / fitted.products[i][i]
		if i > 0 || !fitted.hasSign {
			fitted.coefficients[i] = max(0, fitted.coefficients[i])
		}
	}
}
