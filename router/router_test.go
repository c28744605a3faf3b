package router_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/config"
	"celerylanding.example/celerylanding/router"
)

// TestMain fixes the seed so that every run generates the same histories; flags on the command line take precedence.
func TestMain(main *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "500", "rapid.steps": "80"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(main.Run())
}

var start = time.Unix(1_000_000, 0)

func parseConfig(t assert.TestingT, queue int) *config.Config {
	parsed, err := config.Parse(config.Document{BaseName: "b", Base: fmt.Sprintf(`revision: 1
site: s
groups: {g: {target_memory: 80GiB}}
models:
  m: {group: g, versions: {v: {memory: 1GiB}}}
  n: {group: g, versions: {v: {memory: 1GiB}}}
queue: {requests: %d, bytes: 1MiB}
`, queue)})
	assert.NilError(t, err)
	return parsed
}

func route(number, slots int) router.Route {
	return router.Route{Domain: celerylanding.FailureDomain(fmt.Sprintf("d%d", number%2)), Slots: slots,
		Endpoint: celerylanding.Endpoint{Target: celerylanding.TargetID(fmt.Sprintf("t%d", number)), Incarnation: 1}}
}

func view(parsed *config.Config, routes ...router.Route) *router.View {
	return &router.View{Config: parsed, ColdStart: time.Second,
		Groups: map[string][]router.Route{"g": routes},
		Models: map[celerylanding.ModelID]router.ModelView{"m@v": {Routes: routes}, "n@v": {Routes: routes}}}
}

// admittedRequest is a request that the scheduler has admitted and that has not ended.
type admittedRequest struct {
	request router.Request
	waiting bool
}

// TestSchedulerAccountsForEveryRequest guards against requests that are lost, granted twice or granted after their deadline while requests
// arrive, finish and are canceled, and targets come and go. After every step the scheduler's counts must match the admitted requests.
func TestSchedulerAccountsForEveryRequest(t *testing.T) {
	parsed := parseConfig(t, 8)
	rapid.Check(t, func(t *rapid.T) {
		scheduler := router.NewScheduler("d0", rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)))
		now := start
		slots := 3
		routes := []router.Route{route(0, slots), route(1, slots)}
		scheduler.Update(now, view(parsed, routes...))
		requests := make(map[router.Ticket]*admittedRequest)
		running := make(map[celerylanding.TargetID]int)
		grantedTarget := make(map[router.Ticket]celerylanding.TargetID)
		accept := func(grants []router.Grant) {
			for _, grant := range grants {
				request, ok := requests[grant.Ticket]
				if !ok || !request.waiting {
					t.Fatalf("ticket %d was granted but was not waiting", grant.Ticket)
				}
				if !now.Before(request.request.Deadline) {
					t.Fatalf("a request was granted after its deadline")
				}
				request.waiting = false
				running[grant.Endpoint.Target]++
				grantedTarget[grant.Ticket] = grant.Endpoint.Target
			}
		}
		pick := func(t *rapid.T, waiting bool) (router.Ticket, *admittedRequest) {
			for ticket := router.Ticket(1); ticket < 4000; ticket++ {
				if request, ok := requests[ticket]; ok && request.waiting == waiting && rapid.Bool().Draw(t, "this one") {
					return ticket, request
				}
			}
			return 0, nil
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				waiting := 0
				for _, request := range requests {
					if request.waiting {
						waiting++
					}
				}
				if scheduler.Waiting() > waiting || scheduler.InFlight() != len(requests)-waiting {
					t.Fatalf("%d requests wait and %d run, but the scheduler counts %d and %d", waiting, len(requests)-waiting,
						scheduler.Waiting(), scheduler.InFlight())
				}
			},
			"arrive": func(t *rapid.T) {
				request := router.Request{
					Model:    celerylanding.ModelID(rapid.SampledFrom([]string{"m@v", "n@v"}).Draw(t, "model")),
					Priority: celerylanding.Priority(rapid.IntRange(0, 2).Draw(t, "priority")),
					Deadline: now.Add(time.Duration(rapid.IntRange(-1, 20).Draw(t, "seconds")) * time.Second),
					Bytes:    rapid.IntRange(0, 1<<19).Draw(t, "bytes"),
				}
				ticket, grant, err := scheduler.Admit(now, request)
				if err != nil {
					assert.Equal(t, celerylanding.VerdictOf(err), celerylanding.NotRun)
					return
				}
				requests[ticket] = &admittedRequest{request: request, waiting: true}
				if grant != nil {
					accept([]router.Grant{*grant})
				}
			},
			"finish": func(t *rapid.T) {
				ticket, request := pick(t, false)
				if request == nil {
					return
				}
				delete(requests, ticket)
				running[grantedTarget[ticket]]--
				accept(scheduler.Finish(now, ticket, router.Outcome(rapid.IntRange(0, 4).Draw(t, "outcome"))))
				assert.Equal(t, len(scheduler.Finish(now, ticket, router.OutcomeAnswered)), 0, "finishing a ticket twice has no effect")
			},
			"give up": func(t *rapid.T) {
				ticket, request := pick(t, true)
				if request == nil {
					return
				}
				delete(requests, ticket)
				if !scheduler.Cancel(ticket, request.request) && now.Before(request.request.Deadline) {
					t.Fatalf("a waiting request was not in its queue")
				}
			},
			"time passes": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"targets change": func(t *rapid.T) {
				count := rapid.IntRange(0, 2).Draw(t, "count")
				accept(scheduler.Update(now, view(parsed, routes[:count]...)))
			},
		})
	})
}

// TestBatchRequestsAreNotStarved guards against a batch request that waits forever behind a queue of interactive ones.
func TestBatchRequestsAreNotStarved(t *testing.T) {
	scheduler := router.NewScheduler("d0", rand.New(rand.NewPCG(1, 1)))
	scheduler.Update(start, view(parseConfig(t, 200), route(0, 1)))
	running, grant, err := scheduler.Admit(start, router.Request{Model: "m@v", Deadline: start.Add(time.Hour)})
	assert.NilError(t, err)
	assert.Assert(t, grant != nil)
	batch, _, err := scheduler.Admit(start, router.Request{Model: "m@v", Priority: celerylanding.PriorityBatch, Deadline: start.Add(time.Hour)})
	assert.NilError(t, err)
	for range 30 {
		_, _, err := scheduler.Admit(start, router.Request{Model: "m@v", Priority: celerylanding.PriorityInteractive, Deadline: start.Add(time.Hour)})
		assert.NilError(t, err)
	}
	for turn := 1; turn <= 10; turn++ {
		grants := scheduler.Finish(start, running, router.OutcomeOverloaded)
		assert.Equal(t, len(grants), 1)
		running = grants[0].Ticket
		if running == batch {
			assert.Assert(t, turn > 1, "interactive requests go first")
			return
		}
	}
	t.Fatal("the batch request was starved")
}

// TestPrefersOwnDomainAndUsesEjectedTargetsLast guards against requests that leave the failure domain while it has capacity, and against
// an ejection that leaves a model without targets when its only target fails.
func TestPrefersOwnDomainAndUsesEjectedTargetsLast(t *testing.T) {
	scheduler := router.NewScheduler("d0", rand.New(rand.NewPCG(1, 1)))
	scheduler.Update(start, view(parseConfig(t, 8), route(0, 2), route(1, 2)))
	for i := range 4 {
		_, grant, err := scheduler.Admit(start, router.Request{Model: "m@v", Deadline: start.Add(time.Hour)})
		assert.NilError(t, err)
		assert.Equal(t, grant.Domain, celerylanding.FailureDomain(fmt.Sprintf("d%d", i/2)))
		defer scheduler.Finish(start, grant.Ticket, router.OutcomeNeutral)
	}
	failing := router.NewScheduler("d0", rand.New(rand.NewPCG(1, 1)))
	failing.Update(start, view(parseConfig(t, 8), route(0, 2)))
	for range 20 {
		ticket, grant, err := failing.Admit(start, router.Request{Model: "m@v", Deadline: start.Add(time.Hour)})
		assert.NilError(t, err)
		assert.Assert(t, grant != nil, "ejection must not leave a model without targets")
		failing.Finish(start, ticket, router.OutcomeFailed)
	}
}

// TestQuarantine guards against repeated reports of one crash that quarantine a request, and against a quarantine that never expires.
func TestQuarantine(t *testing.T) {
	quarantine := router.NewQuarantine()
	first := router.Crash{Fingerprint: 1, Target: "a", Incarnation: 1}
	assert.Assert(t, quarantine.Add(start, first))
	assert.Assert(t, !quarantine.Add(start, first), "the same crash counts once, however many nodes report it")
	assert.Assert(t, !quarantine.IsQuarantined(start, 1))
	quarantine.Add(start, router.Crash{Fingerprint: 1, Target: "b", Incarnation: 1})
	assert.Assert(t, quarantine.IsQuarantined(start, 1))
	assert.Assert(t, !quarantine.IsQuarantined(start, 2))
	later := start.Add(time.Hour)
	assert.Assert(t, !quarantine.IsQuarantined(later, 1), "a quarantine expires")
	quarantine.Expire(later)
	assert.Assert(t, !quarantine.IsQuarantined(start, 1))
}

// TestRetryRule guards against retries of requests that may run twice or whose response has started, and against retries beyond the budget.
func TestRetryRule(t *testing.T) {
	for _, row := range []struct {
		verdict                     celerylanding.Verdict
		idempotent, responseStarted bool
		want                        bool
	}{
		{celerylanding.NotRun, false, false, true},
		{celerylanding.NotRun, true, true, false},
		{celerylanding.MayHaveRun, false, false, false},
		{celerylanding.MayHaveRun, true, false, true},
		{celerylanding.MayHaveRun, true, true, false},
		{celerylanding.Ran, true, false, false},
	} {
		assert.Equal(t, router.MayRetry(row.verdict, row.idempotent, row.responseStarted), row.want, "%+v", row)
	}
	budget := router.NewRetryBudget()
	retries := 0
	for budget.Take() {
		retries++
	}
	for range 100 {
		budget.Add()
	}
	for budget.Take() {
		retries++
	}
	assert.Assert(t, retries >= 29 && retries <= 30, "retries are limited to the initial tokens and a tenth of the traffic: %d", retries)
}
