package command

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"ambertiller.example/ambertiller/api"
)

const maxResponseBytes = 64 << 20

// client calls an entry for an operator.
type client struct {
	baseURL    string
	httpClient *http.Client
	printer    *printer
}

func newClient(from *cli.Command) (*client, error) {
	given := &settings{command: from}
	base := given.requiredURL("entry")
	timeout := from.Duration("timeout")
	if timeout <= 0 {
		given.addFault("timeout", "must be positive")
	}
	out := newPrinter(from, given)
	if err := given.err(); err != nil {
		return nil, err
	}
	return &client{baseURL: base, httpClient: &http.Client{Timeout: timeout}, printer: out}, nil
}

// call sends one request and decodes its answer. header may be nil.
func (calling *client) call(ctx context.Context, method, path string, header http.Header, body, into any) error {
	var content io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return errors.Wrap(err, "encode the request")
		}
		content = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, calling.baseURL+path, content)
	if err != nil {
		return errors.Wrap(err, "make the request")
	}
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := calling.httpClient.Do(request)
	if err != nil {
		return &exitError{code: ExitUnreachable, cause: errors.Wrap(err, "no answer from the entry; check --entry and try again")}
	}
	defer func() { _ = response.Body.Close() }()
	return decodeResponse(response, into)
}

func decodeResponse(response *http.Response, into any) error {
	reader := io.LimitReader(response.Body, maxResponseBytes)
	if strings.HasPrefix(response.Header.Get("Content-Type"), api.ProblemType) {
		problem := &api.Problem{}
		if err := json.NewDecoder(reader).Decode(problem); err != nil {
			return errors.Wrap(err, "the entry's answer can't be read")
		}
		return problemError(problem)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return errors.Errorf("the entry answered %s", response.Status)
	}
	return errors.Wrap(json.NewDecoder(reader).Decode(into), "the entry's answer can't be read")
}

// problemError puts the faults of a problem into its text.
func problemError(problem *api.Problem) error {
	if len(problem.Faults) == 0 {
		return problem
	}
	return errors.WithMessage(problem, formatFaults(problem.Faults))
}
