package preview

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/joomcode/errorx"
)

// Path is the path of the question at a router's address for operators.
const Path = "/route"

// maxAnswerBytes bounds the answer, which lists each target of a service.
const maxAnswerBytes = 16 << 20

var errorSpace = errorx.NewNamespace("preview")

var (
	// ErrUnreachable means that no answer of the router has arrived.
	ErrUnreachable = errorSpace.NewType("unreachable")
	// ErrBadRequest means that the router can't read the request.
	ErrBadRequest = errorSpace.NewType("bad_request")
	// ErrNoRouter means that the process at the address does not answer the question.
	ErrNoRouter = errorSpace.NewType("no_router")
)

// Ask asks the router with the operators' address, and returns the answer with its JSON form.
func Ask(ctx context.Context, client *http.Client, address string, question Request) (answer Answer, text []byte, err error) {
	body, err := json.Marshal(question)
	if err != nil {
		return Answer{}, nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+Path, bytes.NewReader(body))
	if err != nil {
		return Answer{}, nil, ErrBadRequest.Wrap(err, "bad address")
	}
	response, err := client.Do(request)
	if err != nil {
		return Answer{}, nil, ErrUnreachable.New("no answer from %s: %v", address, err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err = io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	switch {
	case err != nil:
		return Answer{}, nil, ErrUnreachable.New("the answer of %s broke off: %v", address, err)
	case response.StatusCode == http.StatusBadRequest:
		return Answer{}, nil, ErrBadRequest.New("%s", bytes.TrimSpace(text))
	case response.StatusCode != http.StatusOK:
		return Answer{}, nil, ErrNoRouter.New("%s answers %d: it is no router's address for operators, or one of an older version", address, response.StatusCode)
	}
	if err := json.Unmarshal(text, &answer); err != nil {
		return Answer{}, nil, ErrNoRouter.New("the answer of %s can't be read: %v", address, err)
	}
	return answer, text, nil
}
