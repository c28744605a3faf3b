package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	celerylanding "celerylanding.example/celerylanding"
)

// errorBody is the usual JSON form of an error, with the verdict added.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string               `json:"message"`
	Type    string               `json:"type"`
	Code    celerylanding.Reason `json:"code"`
	Verdict string               `json:"verdict"`
	Request string               `json:"request_id,omitempty"`
}

func newErrorBody(id string, err error) errorBody {
	kind := "server_error"
	if celerylanding.ReasonOf(err).Status() < http.StatusInternalServerError {
		kind = "invalid_request_error"
	}
	return errorBody{Error: errorDetail{
		Message: celerylanding.MessageOf(err),
		Type:    kind,
		Code:    celerylanding.ReasonOf(err),
		Verdict: celerylanding.VerdictOf(err).String(),
		Request: id,
	}}
}

// writeError tells the caller why its request was not answered.
func writeError(writer http.ResponseWriter, id string, err error) {
	reason := celerylanding.ReasonOf(err)
	header := writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderVerdict, celerylanding.VerdictOf(err).String())
	if wait := reason.RetryAfter(); wait > 0 {
		header.Set("Retry-After", strconv.Itoa(int(wait/time.Second)))
	}
	writer.WriteHeader(reason.Status())
	writeJSON(writer, newErrorBody(id, err))
}

// writeJSON writes to a caller, who may be gone; nothing can be done about that here.
func writeJSON(writer http.ResponseWriter, value any) {
	_ = json.NewEncoder(writer).Encode(value)
}
