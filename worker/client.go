package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/pkg/errors"
)

const maxResponseBytes = 16 << 20

// Client implements Worker over HTTP.
type Client struct {
	baseURL    string
	httpClient *http.Client
}

// NewClient returns a Client for the worker at the base URL.
func NewClient(baseURL string, httpClient *http.Client) *Client {
	return &Client{baseURL: baseURL, httpClient: httpClient}
}

var _ Worker = (*Client)(nil)

// Capacity returns the worker's resources.
func (client *Client) Capacity(ctx context.Context) (Capacity, error) {
	var capacity Capacity
	err := client.getJSON(ctx, "/capacity", &capacity)
	return capacity, err
}

// Usage returns the worker's last measurement of its usage.
func (client *Client) Usage(ctx context.Context) (Usage, error) {
	var usage Usage
	err := client.getJSON(ctx, "/usage", &usage)
	return usage, err
}

// Tasks returns every attempt that runs, or has ended and is not forgotten.
func (client *Client) Tasks(ctx context.Context) (Listing, error) {
	var listing Listing
	err := client.getJSON(ctx, "/tasks", &listing)
	return listing, err
}

// Start starts an attempt.
func (client *Client) Start(ctx context.Context, start StartRequest) error {
	return client.sendJSON(ctx, http.MethodPut, "/tasks/"+url.PathEscape(start.Task), start)
}

// attemptBody is the request body of calls on one attempt.
type attemptBody struct {
	Attempt uint64  `json:"attempt"`
	Share   float64 `json:"share,omitempty"`
}

// Stop begins to checkpoint and stop an attempt. It does not wait for the end.
func (client *Client) Stop(ctx context.Context, task string, attempt uint64) error {
	return client.sendJSON(ctx, http.MethodPost, "/tasks/"+url.PathEscape(task)+"/stop", attemptBody{Attempt: attempt})
}

// Throttle limits an attempt to a share of its processors, from 0 to 1.
func (client *Client) Throttle(ctx context.Context, task string, attempt uint64, share float64) error {
	return client.sendJSON(ctx, http.MethodPost, "/tasks/"+url.PathEscape(task)+"/throttle", attemptBody{Attempt: attempt, Share: share})
}

// Renew extends leases.
func (client *Client) Renew(ctx context.Context, renewals []Renewal) error {
	return client.sendJSON(ctx, http.MethodPost, "/leases", renewals)
}

// Forget makes the worker drop an attempt that has ended.
func (client *Client) Forget(ctx context.Context, task string, attempt uint64) error {
	return client.sendJSON(ctx, http.MethodDelete, "/tasks/"+url.PathEscape(task), attemptBody{Attempt: attempt})
}

// Follow streams the outputs of a watch after a sequence number.
func (client *Client) Follow(ctx context.Context, task string, after uint64) (io.ReadCloser, error) {
	path := client.baseURL + "/tasks/" + url.PathEscape(task) + "/stream?after=" + strconv.FormatUint(after, 10)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "follow task")
	}
	response, err := client.httpClient.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "follow task")
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, errors.Errorf("follow task: the worker answered %s", response.Status)
	}
	return response.Body, nil
}

// getJSON decodes the answer to a GET request.
func (client *Client) getJSON(ctx context.Context, path string, target any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, client.baseURL+path, nil)
	if err != nil {
		return errors.Wrap(err, "ask worker")
	}
	response, err := client.httpClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "ask worker")
	}
	defer drainAndClose(response)
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("ask worker %s: it answered %s", path, response.Status)
	}
	return errors.Wrap(json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(target), "ask worker "+path)
}

// sendJSON sends a request with a JSON body and converts the status of the answer to
// an error.
func (client *Client) sendJSON(ctx context.Context, method, path string, body any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	request, err := http.NewRequestWithContext(ctx, method, client.baseURL+path, bytes.NewReader(encoded))
	if err != nil {
		return errors.Wrap(err, "tell worker")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.httpClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "tell worker")
	}
	defer drainAndClose(response)
	switch response.StatusCode {
	case http.StatusOK, http.StatusCreated, http.StatusAccepted, http.StatusNoContent:
		return nil
	case http.StatusConflict:
		return ErrStale
	case http.StatusUnprocessableEntity, http.StatusInsufficientStorage, http.StatusBadRequest:
		message, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
		return &RejectedError{message: string(bytes.TrimSpace(message))}
	}
	return errors.Errorf("tell worker %s: it answered %s", path, response.Status)
}

const maxErrorBytes = 1 << 10

// drainAndClose reads the rest of the body, so that the connection can be reused, and
// closes it.
func drainAndClose(response *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxResponseBytes))
	_ = response.Body.Close()
}
