package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	celerylanding "celerylanding.example/celerylanding"
)

// errorBody is the JSON body of an error response: the OpenAI error object with the verdict added.
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
	errorType := "server_error"
	if celerylanding.ReasonOf(err).Status() < http.StatusInternalServerError {
		errorType = "invalid_request_error"
	}
	return errorBody{Error: errorDetail{
		Message: celerylanding.MessageOf(err),
		Type:    errorType,
		Code:    celerylanding.ReasonOf(err),
		Verdict: celerylanding.VerdictOf(err).String(),
		Request: id,
	}}
}

// writeError sends an error response with the status, verdict and retry delay that belong to the error's reason.
func writeError(writer http.ResponseWriter, id string, err error) {
	reason := celerylanding.ReasonOf(err)
	header := writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderVerdict, celerylanding.VerdictOf(err).String())
	if reason == celerylanding.ReasonUnknownKey {
		header.Set("WWW-Authenticate", "Bearer")
	}
	if delay := reason.RetryAfter(); delay > 0 {
		header.Set("Retry-After", strconv.Itoa(int(delay/time.Second)))
	}
	writer.WriteHeader(reason.Status())
	writeJSON(writer, newErrorBody(id, err))
}

// writeJSON ignores write errors: they mean that the caller has disconnected, so no error response can reach it either.
func writeJSON(writer http.ResponseWriter, value any) {
	_ = json.NewEncoder(writer).Encode(value)
}
