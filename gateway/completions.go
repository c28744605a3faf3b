package gateway

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/router"
	"celerylanding.example/celerylanding/target"
)

// maxPrefixBytes is the length of the prompt prefix that prefix-affinity routing uses.
const maxPrefixBytes = 512

// completionRequest holds the fields of an OpenAI request that routing needs.
type completionRequest struct {
	Model    string          `json:"model"`
	Stream   bool            `json:"stream"`
	Prompt   json.RawMessage `json:"prompt"`
	Messages json.RawMessage `json:"messages"`
}

// modelList is the body of the response to GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

func (gateway *Gateway) listModels(writer http.ResponseWriter, request *http.Request) {
	caller := gateway.identify(time.Now(), request)
	if err := gateway.admit(&caller, false); err != nil {
		writeError(writer, "", err)
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	if config := gateway.deps.Dispatcher.View().Config; config != nil {
		for _, name := range config.ModelNames() {
			list.Data = append(list.Data, modelItem{ID: name, Object: "model"})
		}
	}
	writer.Header().Set("Content-Type", "application/json")
	writeJSON(writer, list)
}

// serveCompletion handles a completion or chat completion request.
func (gateway *Gateway) serveCompletion(writer http.ResponseWriter, request *http.Request) {
	caller := gateway.identify(time.Now(), request)
	if config := gateway.deps.Dispatcher.View().Config; config != nil && !config.HasPublicModels() {
		// Callers without a key can't make a node buffer bodies.
		if err := gateway.admit(&caller, false); err != nil {
			gateway.refuse(writer, err)
			return
		}
	}
	call, err := newCall(writer, request)
	if err != nil {
		writeError(writer, "", err)
		return
	}
	call.caller = caller
	completion, err := gateway.readCompletion(request, call)
	if err == nil {
		err = gateway.callWithRetries(request, call, gateway.completionPlan(writer, request, call, completion))
	}
	gateway.recordEnd(call, err)
	if err != nil && !call.responseStarted {
		writeError(writer, call.id, err)
	}
}

// readCompletion validates a model request, sets the fields of the call, and rewrites the model in its body.
func (gateway *Gateway) readCompletion(request *http.Request, call *call) (completionRequest, error) {
	var completion completionRequest
	if err := json.Unmarshal(call.body, &completion); err != nil {
		return completion, badRequest("body is not a JSON object of the expected form: %v", err)
	}
	config := gateway.deps.Dispatcher.View().Config
	if config == nil {
		return completion, celerylanding.NewCallError(celerylanding.NotRun, celerylanding.ReasonNoTarget,
			"no configuration is in force yet")
	}
	model, ok := config.Resolve(completion.Model)
	if !ok {
		return completion, celerylanding.NewCallError(celerylanding.NotRun, celerylanding.ReasonUnknownModel,
			"model %q is not stated", completion.Model)
	}
	if !call.caller.isAdmitted {
		if err := gateway.admit(&call.caller, model.IsPublic()); err != nil {
			return completion, err
		}
	}
	call.model = model.ID()
	call.operation = request.URL.Path + " " + string(model.ID())
	if err := call.setDeadline(request, model.Deadline()); err != nil {
		return completion, err
	}
	if err := call.setPriority(request, model.Priority()); err != nil {
		return completion, err
	}
	call.limitPriority()
	body, err := rewriteModel(call.body, model.ID())
	call.body = body
	return completion, err
}

// rewriteModel replaces the caller's name of the model in the body by the ID of the loadable unit that it resolves to.
func rewriteModel(body []byte, model celerylanding.ModelID) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, badRequest("%v", err)
	}
	name, err := json.Marshal(model)
	if err != nil {
		return nil, badRequest("%v", err)
	}
	fields["model"] = name
	return json.Marshal(fields)
}

func (completion completionRequest) prefix() uint64 {
	prompt := completion.Messages
	if len(prompt) == 0 {
		prompt = completion.Prompt
	}
	if len(prompt) == 0 {
		return 0
	}
	return router.Fingerprint(completion.Model, prompt[:min(len(prompt), maxPrefixBytes)])
}

// completionPlan treats inference as idempotent: a second run costs time but has no side effects.
func (gateway *Gateway) completionPlan(writer http.ResponseWriter, request *http.Request, call *call,
	completion completionRequest) attemptPlan {
	outgoing := target.Call{Method: http.MethodPost, Path: request.URL.Path, RequestID: call.id, Body: call.body,
		Header: http.Header{"Content-Type": {"application/json"}}}
	call.caller.setHeader(outgoing.Header)
	return attemptPlan{idempotent: true, prefix: completion.prefix(), send: func(ctx context.Context, grant router.Grant) error {
		outgoing.FirstByte = gateway.firstByteTimeout(call, completion.Stream)
		response, err := gateway.deps.Client.Do(ctx, grant.Endpoint, outgoing)
		if err != nil {
			return err
		}
		defer func() { _ = response.Body.Close() }()
		if err := gateway.checkRefusal(grant, response, true); err != nil {
			return err
		}
		if completion.Stream && response.Status == http.StatusOK {
			return gateway.forwardStream(ctx, writer, call, response)
		}
		return gateway.forwardResponse(writer, call, response)
	}}
}

// forwardResponse sends a response to the caller once its whole body has been read.
func (gateway *Gateway) forwardResponse(writer http.ResponseWriter, call *call, response target.Response) error {
	body, err := readFullBody(response)
	if err != nil {
		return err
	}
	call.responseStarted = true
	header := writer.Header()
	copyEndToEndHeaders(header, response.Header)
	header.Set(HeaderVerdict, verdictOfStatus(response.Status).String())
	header.Set(target.HeaderRequestID, call.id)
	writer.WriteHeader(response.Status)
	if _, err := writer.Write(body); err != nil {
		return celerylanding.NewCallError(celerylanding.Ran, celerylanding.ReasonCallerGone, "%v", err)
	}
	return nil
}

// readFullBody reads the body of a response. It fails if the body is truncated or its framing doesn't show where it ends.
func readFullBody(response target.Response) ([]byte, error) {
	if !response.Framed {
		return nil, celerylanding.NewCallError(celerylanding.MayHaveRun, celerylanding.ReasonAnswerIncomplete,
			"the answer states neither its length nor its end")
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return nil, celerylanding.NewCallError(celerylanding.MayHaveRun, celerylanding.ReasonAnswerIncomplete,
			"the answer broke off after %d bytes: %v", len(body), err)
	}
	if len(body) > maxResponseBytes {
		return nil, celerylanding.NewCallError(celerylanding.MayHaveRun, celerylanding.ReasonAnswerIncomplete,
			"the answer exceeds %d bytes", maxResponseBytes)
	}
	return body, nil
}

// copyEndToEndHeaders copies all headers but the hop-by-hop ones and Content-Length.
func copyEndToEndHeaders(to, from http.Header) {
	dropped := map[string]bool{"Connection": true, "Keep-Alive": true, "Transfer-Encoding": true, "Te": true,
		"Trailer": true, "Upgrade": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
		"Proxy-Connection": true, "Content-Length": true}
	for _, name := range from.Values("Connection") {
		for _, token := range strings.Split(name, ",") {
			dropped[http.CanonicalHeaderKey(strings.TrimSpace(token))] = true
		}
	}
	for name, values := range from {
		if !dropped[name] {
			to[name] = append([]string(nil), values...)
		}
	}
}

// verdictOfStatus returns the verdict of a complete response; after a server error the request may have run in part.
func verdictOfStatus(status int) celerylanding.Verdict {
	if status >= http.StatusInternalServerError {
		return celerylanding.MayHaveRun
	}
	return celerylanding.Ran
}

// remaining returns the time until the work deadline.
func (call *call) remaining() time.Duration { return time.Until(call.workDeadline()) }
