package forecast

import (
	"math"
	"time"
)

const (
	// speedMemory is the number of answers over which a service's speed is learned.
	speedMemory = 300
	// priorWeight is the weight of the assumed speed, in answers.
	priorWeight = 4
	// reportMemory is the number of reports over which the means of a service are taken.
	reportMemory = 300
	// maxUnread bounds the time to read what is unread, in seconds; beyond it, a stream pauses whatever the time.
	maxUnread = 2.0
	// minPerToken is the shortest time that is assumed for reading a token, in seconds.
	minPerToken = 1e-7
	// minPause is the shortest pause that is told apart, in seconds.
	minPause = 0.002
	// minPauseDeviation and maxPauseDeviation bound the learned deviation of the logarithm of pauses, and priorPauseError is the assumed error.
	minPauseDeviation = 0.4
	maxPauseDeviation = 1.5
	priorPauseError   = 0.8
	// errorDeviation is the standard deviation of a normal distribution relative to its mean error.
	errorDeviation = 1.25
	// priorStream is the assumed time of a stream after its first event, in seconds.
	priorStream = 0.5
	// priorError is the assumed mean error of a forecast, relative to it; minError and maxError bound the learned one.
	priorError = 0.3
	minError   = 0.15
	maxError   = 1.0
)

// priorReading are the coefficients that are assumed for the time to the first event, in seconds.
var priorReading = vector{0.01, 0.01, 0.05, 0.05}

// readingFeatures returns the features of the time to the first event: a fixed part, and those that grow with the slowdown: the time of a step, the
// prompt tokens that the target has to read, in thousands, and those that it has to read before.
func readingFeatures(slowdown, tokens, unread float64) vector {
	return vector{1, slowdown, slowdown * tokens / 1000, slowdown * unread / 1000}
}

// priorPauses are the coefficients that are assumed for the logarithm of the longest pause of a stream.
var priorPauses = vector{math.Log(0.025), 0.5, 0.1, 0.5}

// pauseFeatures returns the features of the longest pause of a stream: the logarithm of its number of tokens, that of the number of requests that run
// beside it, and the time that the target needs to read what is unread.
func pauseFeatures(logOutput, running, unread float64) vector {
	return vector{1, logOutput, math.Log1p(running), min(unread, maxUnread)}
}

// unreadFeature is the position of what the target has to read before in the features of first events and of pauses.
const unreadFeature = 3

// Service holds what is common to all targets of a service: how fast their software works where the machine is as fast as usual. It and its targets
// are not safe for concurrent use.
type Service struct {
	// reading is the time to the first event in seconds for the features of readingFeatures, and pauses the logarithm of the longest pause of a
	// stream, in seconds at a slowdown of 1, for the features of pauseFeatures.
	reading fit
	pauses  fit
	// stream is the time of a stream after its first event, in seconds at a slowdown of 1.
	stream average
	// prompt and output are the numbers of uncached prompt tokens and of output tokens of a request.
	prompt average
	output average
	// slowdown, running and waiting are means over the targets' reports.
	slowdown average
	running  average
	waiting  average
	// unread is the mean number of unread tokens of the targets.
	unread average
	// firstError is the mean error of the forecast first events, relative to these, and pauseError that of the logarithm of pauses.
	firstError average
	pauseError average
}

// NewService returns a service of whose speed nothing is known.
func NewService() *Service {
	service := &Service{
		reading: newFit(priorReading, vector{priorWeight, priorWeight, priorWeight, priorWeight}),
		pauses:  newFit(priorPauses, vector{priorWeight, priorWeight, priorWeight, priorWeight}),
	}
	service.pauses.hasSign = true
	return service
}

// ReadingTime returns the learned time to the first event of a request with this number of uncached prompt tokens, on an idle target whose machine
// is as fast as usual.
func (service *Service) ReadingTime(tokens int) time.Duration {
	return toDuration(service.reading.at(readingFeatures(1, float64(tokens), 0)))
}

// perToken returns the time in which a target reads a prompt token, in seconds at a slowdown of 1.
func (service *Service) perToken() float64 {
	return max(service.reading.coefficients[2]/1000, minPerToken)
}

// firstDeviation returns the standard deviation of the time to the first event, relative to it.
func (service *Service) firstDeviation() float64 {
	return min(max(service.firstError.orElse(priorError), minError), maxError)
}

// pauseDeviation returns the standard deviation of the logarithm of the longest pause.
func (service *Service) pauseDeviation() float64 {
	return min(max(errorDeviation*service.pauseError.orElse(priorPauseError), minPauseDeviation), maxPauseDeviation)
}

func toDuration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
