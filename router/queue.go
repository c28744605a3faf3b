package router

import (
	"time"

	celerylanding "celerylanding.example/celerylanding"
)

// waiter is a queued request.
type waiter struct {
	ticket  Ticket
	request Request
}

// queue holds the waiting requests of one model or group, each class by arrival.
type queue struct {
	classes [celerylanding.PriorityCount][]waiter
	count   int
	bytes   int
	passed  int
}

// addDemand adds the requests that wait for a model to its report.
func (waiting *queue) addDemand(now time.Time, reports map[celerylanding.ModelID]celerylanding.DemandReport) {
	for _, class := range waiting.classes {
		for _, waiter := range class {
			model := waiter.request.Model
			if model == "" {
				return
			}
			report := reports[model]
			report.Model = model
			report.Waiting++
			report.Patience = max(report.Patience, waiter.request.Deadline.Sub(now))
			reports[model] = report
		}
	}
}

func (waiting *queue) push(newcomer waiter) {
	class := newcomer.request.Priority
	waiting.classes[class] = append(waiting.classes[class], newcomer)
	waiting.count++
	waiting.bytes += newcomer.request.Bytes
}

// nextClass returns the class to serve: the highest one, but batch requests get a share.
func (waiting *queue) nextClass() celerylanding.Priority {
	if waiting.passed >= batchShare && len(waiting.classes[celerylanding.PriorityBatch]) > 0 {
		return celerylanding.PriorityBatch
	}
	for class := range celerylanding.PriorityCount {
		if len(waiting.classes[class]) > 0 {
			return class
		}
	}
	return celerylanding.PriorityNormal
}

func (waiting *queue) first() waiter {
	return waiting.classes[waiting.nextClass()][0]
}

func (waiting *queue) pop() {
	class := waiting.nextClass()
	if class == celerylanding.PriorityBatch {
		waiting.passed = 0
	} else if len(waiting.classes[celerylanding.PriorityBatch]) > 0 {
		waiting.passed++
	}
	waiting.drop(class, 0)
}

func (waiting *queue) remove(ticket Ticket, class celerylanding.Priority) bool {
	for i, waiter := range waiting.classes[class] {
		if waiter.ticket == ticket {
			waiting.drop(class, i)
			return true
		}
	}
	return false
}

func (waiting *queue) drop(class celerylanding.Priority, at int) {
	waiting.count--
	waiting.bytes -= waiting.classes[class][at].request.Bytes
	waiting.classes[class] = append(waiting.classes[class][:at:at], waiting.classes[class][at+1:]...)
}
