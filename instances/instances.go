// Package instances reads the platform's list of live and leaving instances.
//
// The list lags: an instance can be gone before the list says so, and the list
// can call an instance gone that is not. It tells where instances are and who
// is leaving; it never proves that a task has stopped.
//
// # Usage
//
//	client := instances.NewClient("http://127.0.0.1:7000", &http.Client{})
//	list, err := client.List(ctx, instances.Entry)
package instances

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"sync"

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

// All asks for the instances of every role.
const All Role = ""

// Lister returns the list, of one role or of all.
type Lister interface {
	List(ctx context.Context, role Role) ([]Instance, error)
}

// Client reads the list over HTTP. It asks for a list only if it has changed:
// at hundreds of instances the list is far larger than all else that a node
// says and hears for control.
type Client struct {
	base       string
	httpClient *http.Client

	mu   sync.Mutex
	kept map[Role]tagged
}

// tagged is a list as it was read last, and its tag.
type tagged struct {
	tag  string
	list []Instance
}

// NewClient returns a Client for the platform at the base URL.
func NewClient(base string, httpClient *http.Client) *Client {
	return &Client{base: base, httpClient: httpClient, kept: map[Role]tagged{}}
}

var _ Lister = (*Client)(nil)

// List returns the list as the platform has it now.
func (client *Client) List(ctx context.Context, role Role) ([]Instance, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, client.base+"/instances?role="+url.QueryEscape(string(role)), nil)
	if err != nil {
		return nil, errors.Wrap(err, "read instance list")
	}
	kept := client.last(role)
	if kept.tag != "" {
		request.Header.Set("If-None-Match", kept.tag)
	}
	response, err := client.httpClient.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "read instance list")
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusNotModified:
		return slices.Clone(kept.list), nil
	case http.StatusOK:
	default:
		return nil, errors.Errorf("read instance list: the platform answered %s", response.Status)
	}
	var list []Instance
	if err := json.NewDecoder(io.LimitReader(response.Body, maxListBytes)).Decode(&list); err != nil {
		return nil, errors.Wrap(err, "read instance list")
	}
	client.keep(role, tagged{tag: response.Header.Get("ETag"), list: list})
	return slices.Clone(list), nil
}

func (client *Client) last(role Role) tagged {
	client.mu.Lock()
	defer client.mu.Unlock()
	return client.kept[role]
}

func (client *Client) keep(role Role, read tagged) {
	client.mu.Lock()
	defer client.mu.Unlock()
	client.kept[role] = read
}
