// Package instances reads the platform's list of live and leaving instances.
//
// The list lags: an instance can be gone before the list says so, and the list
// can call an instance gone that is not. It tells where instances are and who
// is leaving; it never proves that a task has stopped.
//
// # Usage
//
//	client := instances.NewClient("http://127.0.0.1:7000", &http.Client{})
//	list, err := client.List(ctx)
package instances

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

const maxListBytes = 4 << 20

// Role is what an instance runs.
type Role string

// The roles.
const (
	Entry Role = "entry"
	Guard Role = "guard"
)

// State is what the platform says of an instance.
type State string

// The states.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Instance is one line of the list.
type Instance struct {
	Name          string `json:"name"`
	Role          Role   `json:"role"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	State         State  `json:"state"`
}

// Lister returns the list.
type Lister interface {
	List(ctx context.Context) ([]Instance, error)
}

// Client reads the list over HTTP.
type Client struct {
	base       string
	httpClient *http.Client
}

// NewClient returns a Client for the platform at the base URL.
func NewClient(base string, httpClient *http.Client) *Client {
	return &Client{base: base, httpClient: httpClient}
}

var _ Lister = (*Client)(nil)

// List returns the list as the platform has it now.
func (client *Client) List(ctx context.Context) ([]Instance, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, client.base+"/instances", nil)
	if err != nil {
		return nil, errors.Wrap(err, "read instance list")
	}
	response, err := client.httpClient.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "read instance list")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("read instance list: the platform answered %s", response.Status)
	}
	var list []Instance
	if err := json.NewDecoder(io.LimitReader(response.Body, maxListBytes)).Decode(&list); err != nil {
		return nil, errors.Wrap(err, "read instance list")
	}
	return list, nil
}
