package proxy

import (
	"net/url"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/access"
	"celerylanding.example/celerylanding/delivery"
	"celerylanding.example/celerylanding/dispatch"
	"celerylanding.example/celerylanding/preview"
	"celerylanding.example/celerylanding/routing"
	"celerylanding.example/celerylanding/throttle"
)

// explanation is the answer to one question, while it is being found.
type explanation struct {
	handler *Handler
	now     time.Time
	call    *call
	fresh   freshness
	table   *dispatch.Table
	answer  preview.Answer
}

// Explain returns where a request would go that arrives now, and why. It decides by the functions that serve requests, on copies of what they
// change, and sends nothing. An error names the field of the request that can't be read.
func (handler *Handler) Explain(now time.Time, request preview.Request) (preview.Answer, error) {
	location, err := url.ParseRequestURI(request.Path)
	if err != nil {
		return preview.Answer{}, celerylanding.NewFieldError("path", "%q must begin with a slash", request.Path)
	}
	fresh := handler.state.freshness()
	table := fresh.table
	explanation := &explanation{handler: handler, now: now, call: callOf(now, request), fresh: fresh, table: table}
	viewAge := handler.state.sinceContact(now)
	explanation.answer = preview.Answer{Node: handler.options.Node, Domain: handler.options.Domain, ViewAgeSeconds: viewAge.Seconds(),
		Routers: table.Routers(), IsDraining: handler.draining.Load()}
	if table.Routes() == nil {
		explanation.explainStart()
		return explanation.answer, nil
	}
	explanation.answer.Version = table.Routes().Version()
	route, refused := handler.findRoute(now, table, request.Host, location.EscapedPath())
	if refused != nil {
		explanation.refuse(refused)
		return explanation.answer, nil
	}
	explanation.call.route = route
	explanation.call.setKeyOf(table.Routes(), request.Workspace)
	explanation.call.setTerms(table.Routes())
	explanation.describe(request)
	explanation.decide()
	return explanation.answer, nil
}

// callOf returns the call that the request would be.
func callOf(now time.Time, request preview.Request) *call {
	call := &call{method: request.Method, requestURI: request.Path, host: request.Host, body: request.Body, isBodyRead: true, arrived: now, received: now,
		verdict: celerylanding.NotRun, delivery: delivery.New("")}
	call.metadata = celerylanding.CallMetadata{ID: request.ID, Model: request.Model, PromptTokens: request.PromptTokens,
		OutputTokens: request.OutputTokens, ExpectedOutput: request.ExpectedOutput, PromptParts: request.PromptParts, Resumes: request.Resumes,
		MaxWait: time.Duration(request.MaxWaitSeconds * float64(time.Second))}
	if request.Resumes != "" {
		// Any event shows that the stream has begun.
		call.metadata.ResumeAfter = request.Resumes
	}
	return call
}

// setKeyOf gives the call a key of the workspace with a name, or one that no workspace has if the workspace has none.
func (call *call) setKeyOf(routes *routing.Table, name celerylanding.WorkspaceID) {
	if name == "" {
		return
	}
	call.hasKey = true
	if workspace := routes.Workspace(name); workspace != nil && len(workspace.Keys) > 0 {
		call.key = workspace.Keys[0]
	}
}

// explainStart says what becomes of a request before the first configuration.
func (explanation *explanation) explainStart() {
	if explanation.now.Before(explanation.handler.routesWaitEnd(explanation.call)) {
		explanation.wait(preview.WaitForConfiguration)
		return
	}
	explanation.refuse(noConfiguration())
}

func (explanation *explanation) refuse(refused *refusal) {
	late := refused.withChance(1)
	shortest := retrySeconds(explanation.now, explanation.call, refused)
	explanation.answer.Outcome = preview.OutcomeRefused
	explanation.answer.Refusal = &preview.Refusal{Status: refused.status, Reason: refused.reason, Cause: refused.cause,
		RetryAfterSeconds: shortest, RetrySpreadSeconds: retrySeconds(explanation.now, explanation.call, late) - shortest}
}

func (explanation *explanation) wait(what preview.WaitFor) {
	explanation.answer.Outcome, explanation.answer.WaitsFor = preview.OutcomeWaits, what
}

// describe adds the route, the workspace and the targets to the answer.
func (explanation *explanation) describe(request preview.Request) {
	call, answer := explanation.call, &explanation.answer
	route := call.route
	answer.Route = &preview.Route{Name: route.Name, Host: route.Host, Prefix: route.Prefix, Kind: route.Kind.String(), IsPublic: route.Public,
		ObjectiveSeconds: route.LatencyObjective.Seconds(), TimeoutSeconds: call.deadline.Sub(call.arrived).Seconds()}
	for _, share := range route.Shares {
		answer.Route.Shares = append(answer.Route.Shares, preview.Share{Service: share.Service, Weight: share.Weight})
	}
	answer.Service = call.service
	if call.unit.Model != "" {
		answer.Unit, answer.IsUnknownModel = call.unit.String(), !explanation.table.Routes().HasModel(call.unit.Model)
		answer.Load = explanation.handler.waker.peek(explanation.now, call.service, call.unit, call.origin)
	}
	routes := explanation.table.Routes()
	if !routes.NeedsKeys() {
		return
	}
	workspace := routes.Workspace(request.Workspace)
	view := &preview.Workspace{Name: request.Workspace, IsKnown: workspace != nil, HasKeys: workspace != nil && len(workspace.Keys) > 0,
		MaxProofAgeSeconds: explanation.handler.options.KeyBounds.Revocation.Seconds()}
	view.Rank, view.Classes = routes.Rank(workspace, route)
	age, hasProof := explanation.fresh.proof.Age(explanation.now)
	view.HasProof, view.ProofAgeSeconds = hasProof, age.Seconds()
	answer.Workspace = view
}

// decide finds out what would become of the request, in the order in which ServeHTTP decides.
func (explanation *explanation) decide() {
	handler, call, now := explanation.handler, explanation.call, explanation.now
	isDecided := false
	for _, decides := range []func() bool{
		func() bool { return explanation.decideAccess(isKeyAwaited, access.Cause.IsKeyUnknown) },
		// Only the limit on bodies is checked, since the body is here already.
		func() bool {
			return explanation.refuseIf(call.readBody(nil, nil, explanation.table.Routes().Limits().BodyBytes))
		},
		func() bool {
			return explanation.decideAccess(isProofAwaited, func(cause access.Cause) bool { return cause != access.CauseNone })
		},
		func() bool { return explanation.refuseIf(handler.refuseQuarantined(call)) },
		explanation.decideQuota,
		explanation.decideOrigin,
		func() bool { return explanation.refuseIf(call.checkTime(now)) },
		func() bool { return explanation.refuseIf(handler.refuseStranded(now, call)) },
	} {
		isDecided = isDecided || decides()
	}
	needs := call.requirementsAt(now)
	explanation.answer.Targets = handler.picker.Explain(now, explanation.table, needs)
	if !isDecided {
		explanation.decideTarget(needs)
	}
}

// decideAccess reports whether the key decides what becomes of the request, for the causes that refuse it now.
func (explanation *explanation) decideAccess(isAwaited, refuses func(access.Cause) bool) bool {
	decision, wait := explanation.handler.decideAccess(explanation.now, &explanation.fresh, explanation.call, isAwaited)
	explanation.call.workspace = decision.Workspace
	switch {
	case wait > 0:
		explanation.wait(preview.WaitForProof)
	case refuses(decision.Cause):
		explanation.refuse(refuseAccess(explanation.call, decision.Cause))
	default:
		return false
	}
	return true
}

// decideOrigin reports whether the leader must be asked which software began the stream.
func (explanation *explanation) decideOrigin() bool {
	if !explanation.handler.lacksOrigin(explanation.call) {
		return false
	}
	explanation.wait(preview.WaitForOrigin)
	return true
}

func (explanation *explanation) refuseIf(refused *refusal) bool {
	if refused == nil {
		return false
	}
	explanation.refuse(refused)
	return true
}

// decideQuota reports whether the quota of the workspace decides what becomes of the request.
func (explanation *explanation) decideQuota() bool {
	call, now := explanation.call, explanation.now
	if call.workspace == nil || !call.workspace.Quota.IsLimited() {
		return false
	}
	quota := call.workspace.Quota
	cost := quota.Cost(call.metadata)
	explanation.handler.quotas.mutex.Lock()
	held := explanation.handler.quotas.reserve.Preview(now, call.workspace, call.route.Priority, cost, call.quotaPatience(now))
	explanation.handler.quotas.mutex.Unlock()
	unit := "requests"
	if quota.Unit == routing.QuotaTokens {
		unit = "tokens"
	}
	explanation.answer.Workspace.Quota = &preview.Quota{Unit: unit, Rate: quota.Rate, Burst: quota.Burst, Cost: cost, Held: held.Held,
		Queued: held.Queued, GrantedRate: held.Rate, ReadySeconds: held.Ready.Seconds(), FailedCalls: held.Failures}
	switch {
	case cost <= 0 || held.Charge.State() == throttle.ChargeAdmitted:
		return false
	case held.Charge.State() == throttle.ChargeRefused:
		explanation.refuse(refuseCharge(&held.Charge))
	default:
		explanation.wait(preview.WaitForQuota)
	}
	return true
}

// decideTarget plays the choice on a snapshot, and what follows if there is no target.
func (explanation *explanation) decideTarget(needs dispatch.Requirements) {
	handler, call, now := explanation.handler, explanation.call, explanation.now
	snapshot := handler.picker.Snapshot(explanation.table, call.service)
	// Chance decides between targets that are about as good; whether there is one does not depend on it.
	if choice, _ := snapshot.Choose(now, explanation.table, needs); choice.Target != nil {
		if handler.trials.isListed(call.fingerprints()[0]) {
			explanation.wait(preview.WaitForTrial)
			return
		}
		explanation.answer.Outcome, explanation.answer.Target = preview.OutcomeSent, explanation.answer.Targets[0].ID
		return
	}
	throttled := snapshot.Throttled(now, explanation.table, needs)
	if len(throttled.Targets) > 0 {
		call.holdBack(now)
	}
	switch step, refused := handler.stepWithoutTarget(now, snapshot, explanation.table, call, throttled); step {
	case stepRefuse:
		explanation.refuse(refused)
	case stepAwaitLimit:
		explanation.wait(preview.WaitForLimit)
	default:
		explanation.wait(preview.WaitForLoad)
	}
}
