package forecast

import "math"

// average is a mean of decaying weight.
type average struct {
	value  float64
	weight float64
}

// add adds a sample; the mean is over about memory samples.
func (mean *average) add(sample, memory float64) {
	mean.weight = min(mean.weight+1, memory)
	mean.value += (sample - mean.value) / mean.weight
}

// orElse returns the mean, or the given value while there are no samples.
func (mean *average) orElse(value float64) float64 {
	if mean.weight == 0 {
		return value
	}
	return mean.value
}

const (
	// logisticSlope makes the deviation of the logistic distribution the given one.
	logisticSlope = 1.814
	// minDeviation is the smallest deviation of a quantity.
	minDeviation = 1e-3
)

// logistic returns the probability that a quantity with the expected value and standard deviation is at most the limit.
func logistic(limit, expected, deviation float64) float64 {
	return 1 / (1 + math.Exp(-logisticSlope*(limit-expected)/max(deviation, minDeviation)))
}
