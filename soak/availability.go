package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"celerylanding.example/celerylanding/platform/fake"
)

const (
	// drainTime is the time after an answer that says that its target leaves in which callers' requests may still reach it from the same router.
	drainTime = 2 * time.Second
	// pauseTolerance is the time after an answer that asks for a pause in which requests of the same router may still arrive, and maxPaused the
	// number of those that may arrive later in the pause.
	pauseTolerance = 500 * time.Millisecond
	maxPaused      = 2
	// maxTargetPause is the longest pause that a target asks for.
	maxTargetPause = 1500 * time.Millisecond
)

// target runs the incarnations of one fake server at one address.
type target struct {
	options fake.Options
	address string
	mutex   sync.Mutex
	says    fake.Availability
	// incarnation counts the starts, and end ends the current one.
	incarnation int
	end         context.CancelFunc
	// server is the current incarnation; nil while the next one starts.
	server *fake.Server
}

// run runs one incarnation after the other until the context ends.
func (target *target) run(ctx context.Context) error {
	for {
		server := fake.New(target.options, target.options.Models)
		incarnationCtx, end := context.WithCancel(ctx)
		target.mutex.Lock()
		target.end, target.server = end, server
		target.mutex.Unlock()
		err := server.Run(incarnationCtx)
		end()
		if err != nil || ctx.Err() != nil {
			return err
		}
		pause(ctx, restartDelay)
		if target.options.Listener, err = net.Listen("tcp", target.address); err != nil {
			return err
		}
	}
}

// availability returns what the target's answers say.
func (target *target) availability() fake.Availability {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	return target.says
}

func (target *target) say(says fake.Availability) {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	target.says = says
}

// leave makes the target say that it leaves, for a time in which it still serves, and then start again as another incarnation.
func (target *target) leave(length time.Duration) {
	target.say(fake.Availability{IsLeaving: true})
	time.Sleep(length)
	target.say(fake.Availability{})
	target.restart()
}

// restart ends the current incarnation; another one starts.
func (target *target) restart() {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	target.incarnation++
	target.server = nil
	target.end()
}

// current returns the name of the current incarnation and when it has started, as its heartbeats state it; false while there is none.
func (target *target) current() (name string, born int64, isRunning bool) {
	name = target.name()
	target.mutex.Lock()
	defer target.mutex.Unlock()
	if target.server == nil {
		return name, 0, false
	}
	return name, target.server.Incarnation(), true
}

// name returns the name of the current incarnation.
func (target *target) name() string {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	return fmt.Sprintf("%s-%d", target.options.ID, target.incarnation)
}

// link is a router and an incarnation of a target.
type link struct{ router, target string }

// targetPause is the pause that a target has asked a router for.
type targetPause struct {
	from, until time.Time
	arrivals    int
}

// availabilityChecker detects requests that targets have said not to want. It is safe for concurrent use.
type availabilityChecker struct {
	mutex sync.Mutex
	// routers and sentAt hold the router and the time of each request, and targets the last target that got it.
	routers     map[string]string
	sentAt      map[string]time.Time
	targets     map[string]string
	toldLeaving map[link]time.Time
	pauses      map[link]*targetPause
}

func newAvailabilityChecker() *availabilityChecker {
	return &availabilityChecker{routers: make(map[string]string), sentAt: make(map[string]time.Time), targets: make(map[string]string),
		toldLeaving: make(map[link]time.Time), pauses: make(map[link]*targetPause)}
}

func (check *availabilityChecker) recordSent(id, router string) {
	check.mutex.Lock()
	defer check.mutex.Unlock()
	check.routers[id], check.sentAt[id] = router, time.Now()
}

// origin returns the router and the time of a request.
func (check *availabilityChecker) origin(id string) (router string, sent time.Time) {
	check.mutex.Lock()
	defer check.mutex.Unlock()
	return check.routers[id], check.sentAt[id]
}

// recordArrival records that a request has reached a target, and returns the violation that this is, or "".
func (check *availabilityChecker) recordArrival(target *target, request *http.Request) string {
	id, name, says, now := fake.AttemptID(request), target.name(), target.availability(), time.Now()
	check.mutex.Lock()
	defer check.mutex.Unlock()
	at := link{check.routers[id], name}
	check.targets[id] = name
	if told, isTold := check.toldLeaving[at]; isTold && check.sentAt[id].Sub(told) > drainTime {
		return fmt.Sprintf("%s reached %s from %s %v after an answer that it leaves", id, name, at.router, now.Sub(told))
	}
	asked := check.pauses[at]
	if asked != nil && now.After(asked.from.Add(pauseTolerance)) && now.Before(asked.until) {
		if asked.arrivals++; asked.arrivals > maxPaused {
			return fmt.Sprintf("%s reached %s from %s in its pause, %v after its begin", id, name, at.router, now.Sub(asked.from))
		}
	}
	if says.Pause > 0 && (asked == nil || now.After(asked.until)) {
		check.pauses[at] = &targetPause{from: now, until: now.Add(says.Pause)}
	}
	return ""
}

// recordAnswer records that a caller has received an answer that says that its target leaves.
func (check *availabilityChecker) recordAnswer(id string) {
	check.mutex.Lock()
	defer check.mutex.Unlock()
	at := link{check.routers[id], check.targets[id]}
	if _, isTold := check.toldLeaving[at]; !isTold {
		check.toldLeaving[at] = time.Now()
	}
}

// excuse forgets what a router with a fault was told, or, with router "", what all routers were told on connections with a fault.
func (check *availabilityChecker) excuse(router string) {
	check.mutex.Lock()
	defer check.mutex.Unlock()
	for at := range check.toldLeaving {
		if at.router == router {
			delete(check.toldLeaving, at)
		}
	}
	for at := range check.pauses {
		if at.router == router || router == "" {
			delete(check.pauses, at)
		}
	}
}
