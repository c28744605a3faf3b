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

// prefixLength is the number of bytes of a prompt that decide its affinity.
const prefixLength = 512

// completionHead is the part of an OpenAI request that routing needs.
type completionHead struct {
	Model    string          `json:"model"`
	Stream   bool            `json:"stream"`
	Prompt   json.RawMessage `json:"prompt"`
	Messages json.RawMessage `json:"messages"`
}

// modelList is the answer to a list of models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

func (gateway *Gateway) listModels(writer http.ResponseWriter, _ *http.Request) {
	list := modelList{Object: "list", Data: []modelItem{}}
	if config := gateway.deps.Dispatcher.View().Config; config != nil {
		for _, name := range config.Names() {
			list.Data = append(list.Data, modelItem{ID: name, Object: "model"})
		}
	}
	writer.Header().Set("Content-Type", "application/json")
	writeJSON(writer, list)
}

// complete serves a model request.
func (gateway *Gateway) complete(writer http.ResponseWriter, request *http.Request) {
	call, err := newCall(writer, request)
	if err != nil {
		writeError(writer, "", err)
		return
	}
	head, err := gateway.readCompletion(request, call)
	if err == nil {
		err = gateway.try(request, call, gateway.completionPlan(writer, request, call, head))
	}
	gateway.end(call, err)
	if err != nil && !call.begun {
		writeError(writer, call.id, err)
	}
}

// readCompletion checks a model request and fills the call.
func (gateway *Gateway) readCompletion(request *http.Request, call *call) (completionHead, error) {
	var head completionHead
	if err := json.Unmarshal(call.body, &head); err != nil {
		return head, badRequest("body is not a JSON object of the expected form: %v", err)
	}
	config := gateway.deps.Dispatcher.View().Config
	if config == nil {
		return head, celerylanding.NewCallError(celerylanding.NotRun, celerylanding.ReasonNoTarget,
			"no configuration is in force yet")
	}
	model, ok := config.Resolve(head.Model)
	if !ok {
		return head, celerylanding.NewCallError(celerylanding.NotRun, celerylanding.ReasonUnknownModel,
			"model %q is not stated", head.Model)
	}
	call.model = model.ID()
	call.subject = request.URL.Path + " " + string(model.ID())
	if err := call.setDeadline(request, model.Deadline()); err != nil {
		return head, err
	}
	if err := call.setPriority(request, model.Priority()); err != nil {
		return head, err
	}
	body, err := withModel(call.body, model.ID())
	call.body = body
	return head, err
}

// withModel names the loadable unit in the request, in place of the name that the caller used.
func withModel(body []byte, model celerylanding.ModelID) ([]byte, error) {
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

func (head completionHead) prefix() uint64 {
	prompt := head.Messages
	if len(prompt) == 0 {
		prompt = head.Prompt
	}
	if len(prompt) == 0 {
		return 0
	}
	return router.Fingerprint(head.Model, prompt[:min(len(prompt), prefixLength)])
}

// completionPlan treats inference as idempotent: a second run costs time and changes nothing.
func (gateway *Gateway) completionPlan(writer http.ResponseWriter, request *http.Request, call *call,
	head completionHead) plan {
	send := target.Call{Method: http.MethodPost, Path: request.URL.Path, RequestID: call.id, Body: call.body,
		Header: http.Header{"Content-Type": {"application/json"}}}
	return plan{idempotent: true, prefix: head.prefix(), run: func(ctx context.Context, grant router.Grant) error {
		send.FirstByte = gateway.firstByte(call, head.Stream)
		answer, err := gateway.deps.Client.Do(ctx, grant.Endpoint, send)
		if err != nil {
			return err
		}
		defer func() { _ = answer.Body.Close() }()
		if err := gateway.refusalOf(grant, answer, true); err != nil {
			return err
		}
		if head.Stream && answer.Status == http.StatusOK {
			return gateway.passStream(ctx, writer, call, answer)
		}
		return gateway.passWhole(writer, call, answer)
	}}
}

// passWhole sends an answer on once it is complete.
func (gateway *Gateway) passWhole(writer http.ResponseWriter, call *call, answer target.Response) error {
	body, err := readWhole(answer)
	if err != nil {
		return err
	}
	call.begun = true
	header := writer.Header()
	copyHeader(header, answer.Header)
	header.Set(HeaderVerdict, verdictOfStatus(answer.Status).String())
	header.Set(target.HeaderRequestID, call.id)
	writer.WriteHeader(answer.Status)
	if _, err := writer.Write(body); err != nil {
		return celerylanding.NewCallError(celerylanding.Ran, celerylanding.ReasonCallerGone, "%v", err)
	}
	return nil
}

// readWhole returns the body only if its end is certain.
func readWhole(answer target.Response) ([]byte, error) {
	if !answer.Framed {
		return nil, celerylanding.NewCallError(celerylanding.MayHaveRun, celerylanding.ReasonAnswerIncomplete,
			"the answer states neither its length nor its end")
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer+1))
	if err != nil {
		return nil, celerylanding.NewCallError(celerylanding.MayHaveRun, celerylanding.ReasonAnswerIncomplete,
			"the answer broke off after %d bytes: %v", len(body), err)
	}
	if len(body) > maxAnswer {
		return nil, celerylanding.NewCallError(celerylanding.MayHaveRun, celerylanding.ReasonAnswerIncomplete,
			"the answer exceeds %d bytes", maxAnswer)
	}
	return body, nil
}

// copyHeader copies all but the headers that belong to one connection.
func copyHeader(to, from http.Header) {
	dropped := map[string]bool{"Connection": true, "Keep-Alive": true, "Transfer-Encoding": true, "Te": true,
		"Trailer": true, "Upgrade": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
		"Proxy-Connection": true, "Content-Length": true}
	for _, name := range from.Values("Connection") {
		for _, listed := range strings.Split(name, ",") {
			dropped[http.CanonicalHeaderKey(strings.TrimSpace(listed))] = true
		}
	}
	for name, values := range from {
		if !dropped[name] {
			to[name] = append([]string(nil), values...)
		}
	}
}

// verdictOfStatus returns what a target's own answer says of the request; after a server error it may have run in part.
func verdictOfStatus(status int) celerylanding.Verdict {
	if status >= http.StatusInternalServerError {
		return celerylanding.MayHaveRun
	}
	return celerylanding.Ran
}

// remaining returns the time until a refusal would have to leave.
func (call *call) remaining() time.Duration { return time.Until(call.lastMoment()) }
