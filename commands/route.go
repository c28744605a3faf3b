package commands

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/preview"
)

// routeCommand asks a running router where a request would go.
type routeCommand struct {
	Host string `arg:"" help:"Host of the request."`
	Path string `arg:"" help:"Path of the request, with its query."`

	Router       string        `default:"127.0.0.1:9464" help:"Address of the router for operators."`
	Timeout      time.Duration `default:"5s" help:"Timeout of the question."`
	JSON         bool          `help:"Print the answer as JSON."`
	Method       string        `default:"POST" help:"Method of the request."`
	Workspace    string        `help:"Name of the caller's workspace, never a key. Without it, the caller has no key."`
	Model        string        `help:"Model, or MODEL/ADAPTER."`
	PromptTokens int           `help:"Tokens of the prompt."`
	OutputTokens int           `help:"Most tokens of the answer."`
	Expected     int           `name:"expected-output" help:"Tokens that the caller expects in the answer."`
	Part         []string      `help:"Part of the prompt as ID:TOKENS, in order; repeat the flag for each."`
	Deadline     time.Duration `help:"Time for which the caller waits."`
	ID           string        `name:"id" help:"ID of the request, which decides between the services of a route with several shares."`
	Resumes      string        `help:"ID of the call whose stream the request takes up."`
	BodyFile     string        `help:"File with the body, by which a quarantined request is recognised."`
}

// Run asks the router and prints its answer. An unknown route is an error; a refusal of another kind is an answer.
func (command *routeCommand) Run(deps *deps) error {
	request, err := command.request()
	if err != nil {
		return withExitCode(ExitUsage, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), command.Timeout)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	answer, text, err := preview.Ask(ctx, client, command.Router, request)
	switch {
	case errorx.IsOfType(err, preview.ErrUnreachable):
		return withExitCode(ExitUnknown, err)
	case errorx.IsOfType(err, preview.ErrBadRequest):
		return withExitCode(ExitUsage, err)
	case err != nil:
		return withExitCode(ExitFailed, err)
	case command.JSON:
		_, err = deps.out.Write(text)
	default:
		err = printRoute(deps.out, &answer)
	}
	if err != nil {
		return err
	}
	if answer.Refusal != nil && answer.Refusal.Reason == celerylanding.ReasonUnknownService {
		return withExitCode(ExitRefused, fmt.Errorf("no route matches %s%s in version %d", command.Host, command.Path, answer.Version))
	}
	return nil
}

// request returns the question; an error names the flag.
func (command *routeCommand) request() (preview.Request, error) {
	request := preview.Request{ID: command.ID, Method: command.Method, Host: command.Host, Path: command.Path,
		Workspace: celerylanding.WorkspaceID(command.Workspace), Model: celerylanding.ModelID(command.Model), PromptTokens: command.PromptTokens,
		OutputTokens: command.OutputTokens, ExpectedOutput: command.Expected, MaxWaitSeconds: command.Deadline.Seconds(), Resumes: command.Resumes}
	if _, _, err := net.SplitHostPort(command.Router); err != nil {
		return request, celerylanding.NewFieldError("--router", "%q must be ADDRESS:PORT", command.Router)
	}
	if !strings.HasPrefix(command.Path, "/") {
		return request, celerylanding.NewFieldError("path", "%q must begin with a slash", command.Path)
	}
	if command.Deadline < 0 {
		return request, celerylanding.NewFieldError("--deadline", "%v must not be negative", command.Deadline)
	}
	if command.PromptTokens < 0 || command.OutputTokens < 0 || command.Expected < 0 {
		return request, celerylanding.NewFieldError("--prompt-tokens, --output-tokens, --expected-output", "must not be negative")
	}
	for _, part := range command.Part {
		at := strings.LastIndexByte(part, ':')
		tokens, err := strconv.Atoi(part[at+1:])
		if at <= 0 || err != nil || tokens < 0 {
			return request, celerylanding.NewFieldError("--part", "%q must be ID:TOKENS", part)
		}
		request.PromptParts = append(request.PromptParts, celerylanding.PromptPart{ID: part[:at], Tokens: tokens})
	}
	if command.BodyFile != "" {
		body, err := os.ReadFile(command.BodyFile)
		if err != nil {
			return request, err
		}
		request.Body = body
	}
	return request, nil
}
