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

// maxResponseBytes is the number of bytes of a response that are read at most.
const maxResponseBytes = 64 << 20

// client sends an operator's requests to an entry and prints the responses.
type client struct {
	baseURL    string
	httpClient *http.Client
	printer    *printer
}

// newClient returns a client that is configured by the global flags.
func newClient(cmd *cli.Command) (*client, error) {
	flags := &settings{command: cmd}
	baseURL := flags.requiredURL("entry")
	timeout := cmd.Duration("timeout")
	if timeout <= 0 {
		flags.addFault("timeout", "must be positive")
	}
	printer := newPrinter(cmd, flags)
	if err := flags.err(); err != nil {
		return nil, err
	}
	return &client{baseURL: baseURL, httpClient: &http.Client{Timeout: timeout}, printer: printer}, nil
}

// call sends one request and decodes the response into result. header and requestBody may be nil.
func (c *client) call(ctx context.Context, method, path string, header http.Header, requestBody, result any) error {
	var bodyReader io.Reader
	if requestBody != nil {
		encoded, err := json.Marshal(requestBody)
		if err != nil {
			return errors.Wrap(err, "encode the request")
		}
		bodyReader = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bodyReader)
	if err != nil {
		return errors.Wrap(err, "create the request")
	}
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.httpClient.Do(request)
	if err != nil {
		return &exitError{code: ExitUnreachable, cause: errors.Wrap(err, "no response from the entry; check --entry and try again")}
	}
	defer func() { _ = response.Body.Close() }()
	return decodeResponse(response, result)
}

// decodeResponse decodes a response into result. It returns an error if the response has a problem
// or an error status.
func decodeResponse(response *http.Response, result any) error {
	reader := io.LimitReader(response.Body, maxResponseBytes)
	if strings.HasPrefix(response.Header.Get("Content-Type"), api.ProblemType) {
		problem := &api.Problem{}
		if err := json.NewDecoder(reader).Decode(problem); err != nil {
			return errors.Wrap(err, "decode the problem in the entry's response")
		}
		return problemError(problem)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return errors.Errorf("the entry responded with status %s", response.Status)
	}
	return errors.Wrap(json.NewDecoder(reader).Decode(result), "decode the entry's response")
}

// problemError returns a problem as an error whose message contains the problem's faults.
func problemError(problem *api.Problem) error {
	if len(problem.Faults) == 0 {
		return problem
	}
	return errors.WithMessage(problem, formatFaults(problem.Faults))
}
