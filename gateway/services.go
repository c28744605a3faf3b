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
	maxKeyBytes = 256
	// maxRecordedBytes is the largest body that is recorded for an idempotency key; of a larger one only the status is kept.
	maxRecordedBytes = 256 << 10
	// claimSettleTimeout limits the retries to record the outcome of a call with an idempotency key.
	claimSettleTimeout = 30 * time.Second
	claimRetryInterval = 100 * time.Millisecond
)

// serviceResponse is the complete response of a plain service.
type serviceResponse struct {
	status int
	header http.Header
	body   []byte
}

// serveService handles a call to a plain service.
func (gateway *Gateway) serveService(writer http.ResponseWriter, request *http.Request) {
	service, unknown := gateway.findService(request)
	caller := gateway.identify(time.Now(), request)
	if err := gateway.admit(&caller, service != nil && service.IsPublic()); err != nil {
		gateway.refuse(writer, err)
		return
	}
	call, err := newCall(writer, request)
	if err != nil {
		writeError(writer, "", err)
		return
	}
	call.caller = caller
	if err = unknown; err == nil {
		err = call.readServiceCall(request, service)
	}
	var response serviceResponse
	if err == nil {
		response, err = gateway.runServiceCall(request, call, service)
	}
	if err != nil {
		gateway.recordEnd(call, err)
		writeError(writer, call.id, err)
		return
	}
	writeServiceResponse(writer, call, response)
	gateway.recordEnd(call, nil)
}

func (gateway *Gateway) findService(request *http.Request) (*config.Service, error) {
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
	return service, nil
}

func (call *call) readServiceCall(request *http.Request, service *config.Service) error {
	call.operation = request.Method + " " + request.URL.RequestURI()
	if err := call.setDeadline(request, service.Deadline()); err != nil {
		return err
	}
	if err := call.setPriority(request, celerylanding.PriorityNormal); err != nil {
		return err
	}
	call.limitPriority()
	return nil
}

// runServiceCall sends a call to its service. With an idempotency key, it claims the key first and records the response afterwards.
func (gateway *Gateway) runServiceCall(request *http.Request, call *call, service *config.Service) (serviceResponse, error) {
	key := request.Header.Get(HeaderIdempotencyKey)
	if key == "" {
		return gateway.sendServiceCall(request, call, service)
	}
	if len(key) > maxKeyBytes {
		return serviceResponse{}, badRequest("%s exceeds %d bytes", HeaderIdempotencyKey, maxKeyBytes)
	}
	if id := call.caller.id(); id != "" {
		// Workspaces that choose the same key by chance must not get each other's responses.
		key = string(id) + "/" + key
	}
	claim := celerylanding.Claim{Service: service.ID(), Key: key, Owner: gateway.deps.Node + "/" + call.id,
		Fingerprint: router.Fingerprint(call.operation, call.body)}
	ctx, cancel := context.WithDeadline(request.Context(), call.workDeadline())
	state, recorded, err := gateway.deps.Claims.Claim(ctx, claim)
	cancel()
	if err != nil {
		// The claim may have been committed in spite of the error; it must not block a retry with the same key.
		gateway.deps.Tasks.Go(func(ctx context.Context) { gateway.settleClaim(ctx, claim, serviceResponse{}, err) })
		return serviceResponse{}, err
	}
	if state != celerylanding.ClaimGranted {
		return replayResponse(state, recorded)
	}
	response, err := gateway.sendServiceCall(request, call, service)
	settled := make(chan struct{})
	gateway.deps.Tasks.Go(func(ctx context.Context) {
		defer close(settled)
		gateway.settleClaim(ctx, claim, response, err)
	})
	// Responds once the response is recorded, so that a retry with the same key finds it, or at the deadline.
	select {
	case <-settled:
	case <-time.After(time.Until(call.workDeadline())):
	}
	return response, err
}

// replayResponse returns the response to a repeated request: the recorded one, or an error that depends on the state of the claim if there
// is none to replay.
func replayResponse(state celerylanding.ClaimState, recorded celerylanding.RecordedResponse) (serviceResponse, error) {
	switch {
	case state == celerylanding.ClaimMismatch:
		return serviceResponse{}, celerylanding.NewCallError(celerylanding.NotRun, celerylanding.ReasonKeyReused,
			"the idempotency key was used with another request")
	case state == celerylanding.ClaimInProgress:
		return serviceResponse{}, celerylanding.NewCallError(celerylanding.MayHaveRun, celerylanding.ReasonKeyInProgress,
			"the first request with this key is in progress or may have run; it is not run again")
	case recorded.Truncated:
		return serviceResponse{}, celerylanding.NewCallError(celerylanding.Ran, celerylanding.ReasonKeyReused,
			"the first request with this key ran with status %d; its answer was too large to keep", recorded.Status)
	}
	return serviceResponse{status: recorded.Status, header: http.Header{"Content-Type": {recorded.ContentType}},
		body: recorded.Body}, nil
}

// settleClaim records the response, or releases the key if nothing has run; a call that may have run keeps its claim. It retries until
// claimSettleTimeout, also after the caller has disconnected.
func (gateway *Gateway) settleClaim(ctx context.Context, claim celerylanding.Claim, response serviceResponse, err error) {
	ctx, cancel := context.WithTimeout(ctx, claimSettleTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if gateway.settleClaimOnce(ctx, claim, response, err) == nil {
			return
		}
		sleep(ctx, claimRetryInterval)
	}
	gateway.deps.Metrics.Counter("claims_unsettled").Inc(1)
}

func (gateway *Gateway) settleClaimOnce(ctx context.Context, claim celerylanding.Claim, response serviceResponse, err error) error {
	switch {
	case err == nil:
		record := celerylanding.RecordedResponse{Status: response.status, ContentType: response.header.Get("Content-Type"), Body: response.body}
		if len(record.Body) > maxRecordedBytes {
			record.Body, record.Truncated = nil, true
		}
		return gateway.deps.Claims.Settle(ctx, claim, record)
	case celerylanding.VerdictOf(err) == celerylanding.NotRun:
		return gateway.deps.Claims.Release(ctx, claim)
	}
	return nil
}

// sendServiceCall sends a call to a target of the service, with retries, and reads the complete response.
func (gateway *Gateway) sendServiceCall(request *http.Request, call *call, service *config.Service) (serviceResponse, error) {
	path := "/" + request.PathValue("path")
	if request.URL.RawQuery != "" {
		path += "?" + request.URL.RawQuery
	}
	outgoing := target.Call{Method: request.Method, Path: path, RequestID: call.id, Body: call.body, Header: make(http.Header)}
	copyEndToEndHeaders(outgoing.Header, request.Header)
	call.caller.setHeader(outgoing.Header)
	var full serviceResponse
	err := gateway.callWithRetries(request, call, attemptPlan{
		group:      service.Group(),
		idempotent: service.IsIdempotent(request.Method),
		send: func(ctx context.Context, grant router.Grant) error {
			outgoing.FirstByte = call.remaining()
			if service.IsIdempotent(request.Method) {
				outgoing.FirstByte /= firstByteDivisor
			}
			response, err := gateway.deps.Client.Do(ctx, grant.Endpoint, outgoing)
			if err != nil {
				return err
			}
			defer func() { _ = response.Body.Close() }()
			if err := gateway.checkRefusal(grant, response, false); err != nil {
				return err
			}
			body, err := readFullBody(response)
			full = serviceResponse{response.Status, response.Header, body}
			return err
		},
	})
	return full, err
}

func writeServiceResponse(writer http.ResponseWriter, call *call, response serviceResponse) {
	header := writer.Header()
	copyEndToEndHeaders(header, response.header)
	header.Set(HeaderVerdict, verdictOfStatus(response.status).String())
	header.Set(target.HeaderRequestID, call.id)
	writer.WriteHeader(response.status)
	// A write error means that the caller has disconnected, so no error response can reach it either.
	_, _ = writer.Write(response.body)
}
