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

// queue holds the waiting requests of one model or group, first in, first out within each priority class.
type queue struct {
	classes [celerylanding.PriorityCount][]waiter
	count   int
	bytes   int
	// grantsSinceBatch counts the grants to other classes while a batch request waited.
	grantsSinceBatch int
}

// addDemand adds the queued requests to the demand report of their model; requests to groups are not reported.
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
			report.MaxWait = max(report.MaxWait, waiter.request.Deadline.Sub(now))
			reports[model] = report
		}
	}
}

func (waiting *queue) push(added waiter) {
	class := added.request.Priority
	waiting.classes[class] = append(waiting.classes[class], added)
	waiting.count++
	waiting.bytes += added.request.Bytes
}

// nextClass returns the class to serve next: the highest one with waiting requests, but batch after grantsPerBatch other grants.
func (waiting *queue) nextClass() celerylanding.Priority {
	if waiting.grantsSinceBatch >= grantsPerBatch && len(waiting.classes[celerylanding.PriorityBatch]) > 0 {
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
		waiting.grantsSinceBatch = 0
	} else if len(waiting.classes[celerylanding.PriorityBatch]) > 0 {
		waiting.grantsSinceBatch++
	}
	waiting.removeAt(class, 0)
}

func (waiting *queue) remove(ticket Ticket, class celerylanding.Priority) bool {
	for i, waiter := range waiting.classes[class] {
		if waiter.ticket == ticket {
			waiting.removeAt(class, i)
			return true
		}
	}
	return false
}

func (waiting *queue) removeAt(class celerylanding.Priority, at int) {
	waiting.count--
	waiting.bytes -= waiting.classes[class][at].request.Bytes
	waiting.classes[class] = append(waiting.classes[class][:at:at], waiting.classes[class][at+1:]...)
}
