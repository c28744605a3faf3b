package gateway

import (
	"context"
	"net/http"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/config"
	"celerylanding.example/celerylanding/router"
	"celerylanding.example/celerylanding/target"
)

const (
	maxKey = 256
	// maxRecorded bounds a recorded answer in bytes.
	maxRecorded = 256 << 10
	// claimWait bounds the tries to record the outcome of a keyed call.
	claimWait  = 30 * time.Second
	claimPause = 100 * time.Millisecond
)

// serviceAnswer is a service's whole answer.
type serviceAnswer struct {
	status int
	header http.Header
	body   []byte
}

// callService serves a call to a plain service.
func (gateway *Gateway) callService(writer http.ResponseWriter, request *http.Request) {
	call, err := newCall(writer, request)
	if err != nil {
		writeError(writer, "", err)
		return
	}
	service, err := gateway.readService(request, call)
	var answer serviceAnswer
	if err == nil {
		answer, err = gateway.runService(request, call, service)
	}
	if err != nil {
		gateway.end(call, err)
		writeError(writer, call.id, err)
		return
	}
	writeServiceAnswer(writer, call, answer)
	gateway.end(call, nil)
}

func (gateway *Gateway) readService(request *http.Request, call *call) (*config.Service, error) {
	configuration := gateway.deps.Dispatcher.View().Config
	if configuration == nil {
		return nil, celerylanding.NewCallError(celerylanding.NotRun, celerylanding.ReasonNoTarget,
			"no configuration is in force yet")
	}
	service, ok := configuration.Service(celerylanding.ServiceID(request.PathValue("service")))
	if !ok {
		return nil, celerylanding.NewCallError(celerylanding.NotRun, celerylanding.ReasonUnknownService,
			"service %q is not stated", request.PathValue("service"))
	}
	call.subject = request.Method + " " + request.URL.RequestURI()
	if err := call.setDeadline(request, service.Deadline()); err != nil {
		return nil, err
	}
	return service, call.setPriority(request, celerylanding.PriorityNormal)
}

// runService runs a call; one with an idempotency key is claimed first and its answer recorded.
func (gateway *Gateway) runService(request *http.Request, call *call, service *config.Service) (serviceAnswer, error) {
	key := request.Header.Get(HeaderIdempotencyKey)
	if key == "" {
		return gateway.dispatchService(request, call, service)
	}
	if len(key) > maxKey {
		return serviceAnswer{}, badRequest("%s exceeds %d bytes", HeaderIdempotencyKey, maxKey)
	}
	claim := celerylanding.Claim{Service: service.ID(), Key: key, Owner: gateway.deps.Node + "/" + call.id,
		Fingerprint: router.Fingerprint(call.subject, call.body)}
	ctx, cancel := context.WithDeadline(request.Context(), call.lastMoment())
	state, recorded, err := gateway.deps.Claims.Claim(ctx, claim)
	cancel()
	if err != nil {
		// The claim may have been committed all the same; it must not block a resend.
		gateway.deps.Tasks.Go(func(ctx context.Context) { gateway.closeClaim(ctx, claim, serviceAnswer{}, err) })
		return serviceAnswer{}, err
	}
	if state != celerylanding.ClaimGranted {
		return recordedAnswer(state, recorded)
	}
	answer, err := gateway.dispatchService(request, call, service)
	closed := make(chan struct{})
	gateway.deps.Tasks.Go(func(ctx context.Context) {
		defer close(closed)
		gateway.closeClaim(ctx, claim, answer, err)
	})
	// The answer leaves when it is recorded, so that a resend finds it, or when it is due.
	select {
	case <-closed:
	case <-time.After(time.Until(call.lastMoment())):
	}
	return answer, err
}

// recordedAnswer gives a resend what is known of the first request.
func recordedAnswer(state celerylanding.ClaimState, recorded celerylanding.RecordedAnswer) (serviceAnswer, error) {
	switch {
	case state == celerylanding.ClaimMismatch:
		return serviceAnswer{}, celerylanding.NewCallError(celerylanding.NotRun, celerylanding.ReasonKeyReused,
			"the idempotency key was used with another request")
	case state == celerylanding.ClaimInProgress:
		return serviceAnswer{}, celerylanding.NewCallError(celerylanding.MayHaveRun, celerylanding.ReasonKeyInProgress,
			"the first request with this key is in progress or may have run; it is not run again")
	case recorded.Truncated:
		return serviceAnswer{}, celerylanding.NewCallError(celerylanding.Ran, celerylanding.ReasonKeyReused,
			"the first request with this key ran with status %d; its answer was too large to keep", recorded.Status)
	}
	return serviceAnswer{status: recorded.Status, header: http.Header{"Content-Type": {recorded.ContentType}},
		body: recorded.Body}, nil
}

// closeClaim records the answer, or gives the key up if nothing has run. It goes on without the caller.
func (gateway *Gateway) closeClaim(ctx context.Context, claim celerylanding.Claim, answer serviceAnswer, err error) {
	ctx, cancel := context.WithTimeout(ctx, claimWait)
	defer cancel()
	for ctx.Err() == nil {
		if gateway.closeClaimOnce(ctx, claim, answer, err) == nil {
			return
		}
		pause(ctx, claimPause)
	}
	gateway.deps.Metrics.Counter("claims_unsettled").Inc(1)
}

func (gateway *Gateway) closeClaimOnce(ctx context.Context, claim celerylanding.Claim, answer serviceAnswer, err error) error {
	switch {
	case err == nil:
		record := celerylanding.RecordedAnswer{Status: answer.status, ContentType: answer.header.Get("Content-Type"), Body: answer.body}
		if len(record.Body) > maxRecorded {
			record.Body, record.Truncated = nil, true
		}
		return gateway.deps.Claims.Settle(ctx, claim, record)
	case celerylanding.VerdictOf(err) == celerylanding.NotRun:
		return gateway.deps.Claims.Release(ctx, claim)
	}
	return nil
}

// dispatchService sends a call to a target of the service and reads its whole answer.
func (gateway *Gateway) dispatchService(request *http.Request, call *call, service *config.Service) (serviceAnswer, error) {
	path := "/" + request.PathValue("path")
	if request.URL.RawQuery != "" {
		path += "?" + request.URL.RawQuery
	}
	send := target.Call{Method: request.Method, Path: path, RequestID: call.id, Body: call.body, Header: make(http.Header)}
	copyHeader(send.Header, request.Header)
	var whole serviceAnswer
	err := gateway.try(request, call, plan{
		group:      service.Group(),
		idempotent: service.IsIdempotent(request.Method),
		run: func(ctx context.Context, grant router.Grant) error {
			send.FirstByte = call.remaining()
			if service.IsIdempotent(request.Method) {
				send.FirstByte /= firstByteShare
			}
			answer, err := gateway.deps.Client.Do(ctx, grant.Endpoint, send)
			if err != nil {
				return err
			}
			defer func() { _ = answer.Body.Close() }()
			if err := gateway.refusalOf(grant, answer, false); err != nil {
				return err
			}
			body, err := readWhole(answer)
			whole = serviceAnswer{answer.Status, answer.Header, body}
			return err
		},
	})
	return whole, err
}

func writeServiceAnswer(writer http.ResponseWriter, call *call, answer serviceAnswer) {
	header := writer.Header()
	copyHeader(header, answer.header)
	header.Set(HeaderVerdict, verdictOfStatus(answer.status).String())
	header.Set(target.HeaderRequestID, call.id)
	writer.WriteHeader(answer.status)
	// The caller may be gone; nothing can be done about that here.
	_, _ = writer.Write(answer.body)
}
