package commands

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"celerylanding.example/celerylanding/node"
)

// operatorClient calls the operator API of a node.
type operatorClient struct {
	Operator string        `default:"127.0.0.1:7004" help:"Operator address of any node."`
	Timeout  time.Duration `default:"15s" help:"Timeout of a call."`
	TLS      tlsFiles      `embed:"" prefix:"tls-"`
}

func (client operatorClient) call(method, path string, body any) ([]byte, error) {
	var encoded bytes.Buffer
	if body != nil {
		if err := json.NewEncoder(&encoded).Encode(body); err != nil {
			return nil, err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), client.Timeout)
	defer cancel()
	scheme, transport, err := client.transport()
	if err != nil {
		return nil, withExitCode(ExitUsage, err)
	}
	request, err := http.NewRequestWithContext(ctx, method, scheme+"://"+client.Operator+path, &encoded)
	if err != nil {
		return nil, withExitCode(ExitUsage, err)
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return nil, withExitCode(ExitUnknown, fmt.Errorf("no answer from %s, so the outcome is unknown: %w; it is safe to repeat the command", client.Operator, err))
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, withExitCode(ExitUnknown, err)
	}
	return answer, nil
}

func (client operatorClient) transport() (string, http.RoundTripper, error) {
	if !client.TLS.isSet() {
		return "http", &http.Transport{DisableKeepAlives: true}, nil
	}
	source, err := newTLSSource(client.TLS)
	if err != nil {
		return "", nil, err
	}
	return "https", &http.Transport{DisableKeepAlives: true, TLSClientConfig: source.clientConfig()}, nil
}

type submitCommand struct {
	documentFiles
	operatorClient
}

// Run submits the configuration and prints the outcome; it is safe to submit the same files again after an unknown outcome.
func (command *submitCommand) Run(deps *deps) error {
	document, parsed, err := command.parse()
	if err != nil {
		return err
	}
	answer, err := command.call(http.MethodPost, "/operate/submit", document)
	if err != nil {
		return err
	}
	var reply node.SubmitReply
	if err := json.Unmarshal(answer, &reply); err != nil {
		return withExitCode(ExitUnknown, fmt.Errorf("can't decode the answer: %w", err))
	}
	switch reply.Outcome {
	case node.OutcomeAccepted, node.OutcomeAlreadyAccepted:
		_, err = fmt.Fprintf(deps.out, "revision %d %s, digest %s\n", reply.Number, reply.Outcome, reply.Digest)
		return err
	case node.OutcomeRefused:
		return withExitCode(ExitRefused, fmt.Errorf("revision %d with digest %s is refused: %s", parsed.Revision(), parsed.Digest(), reply.Detail))
	}
	return withExitCode(ExitUnknown, fmt.Errorf("the outcome is unknown; submit the same files again: %s", reply.Detail))
}

type showCommand struct {
	operatorClient
	JSON bool `help:"Print the answer as JSON."`
}

// Run prints the configuration in force and the state of nodes, targets and models.
func (command *showCommand) Run(deps *deps) error {
	answer, err := command.call(http.MethodGet, "/operate/show", nil)
	if err != nil {
		return err
	}
	if command.JSON {
		_, err = deps.out.Write(answer)
		return err
	}
	var reply node.ShowReply
	if err := json.Unmarshal(answer, &reply); err != nil {
		return withExitCode(ExitUnknown, fmt.Errorf("can't decode the answer: %w", err))
	}
	return printShow(deps.out, reply)
}
