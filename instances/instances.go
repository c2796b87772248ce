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

// AllRoles asks for the instances of every role.
const AllRoles Role = ""

// Lister returns the list, of one role or of all.
type Lister interface {
	List(ctx context.Context, role Role) ([]Instance, error)
}

// Client reads the list over HTTP. It asks for a list only if it has changed:
// at hundreds of instances the list is far larger than all else that a node
// says and hears for control.
type Client struct {
	baseURL    string
	httpClient *http.Client

	mu    sync.Mutex
	cache map[Role]cachedList
}

// cachedList is a list as it was read last, and its tag.
type cachedList struct {
	etag      string
	instances []Instance
}

// NewClient returns a Client for the platform at the base URL.
func NewClient(base string, httpClient *http.Client) *Client {
	return &Client{baseURL: base, httpClient: httpClient, cache: map[Role]cachedList{}}
}

var _ Lister = (*Client)(nil)

// List returns the list as the platform has it now.
func (client *Client) List(ctx context.Context, role Role) ([]Instance, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, client.baseURL+"/instances?role="+url.QueryEscape(string(role)), nil)
	if err != nil {
		return nil, errors.Wrap(err, "read instance list")
	}
	kept := client.cached(role)
	if kept.etag != "" {
		request.Header.Set("If-None-Match", kept.etag)
	}
	response, err := client.httpClient.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "read instance list")
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusNotModified:
		return slices.Clone(kept.instances), nil
	case http.StatusOK:
	default:
		return nil, errors.Errorf("read instance list: the platform answered %s", response.Status)
	}
	var list []Instance
	if err := json.NewDecoder(io.LimitReader(response.Body, maxListBytes)).Decode(&list); err != nil {
		return nil, errors.Wrap(err, "read instance list")
	}
	client.setCached(role, cachedList{etag: response.Header.Get("ETag"), instances: list})
	return slices.Clone(list), nil
}

func (client *Client) cached(role Role) cachedList {
	client.mu.Lock()
	defer client.mu.Unlock()
	return client.cache[role]
}

func (client *Client) setCached(role Role, read cachedList) {
	client.mu.Lock()
	defer client.mu.Unlock()
	client.cache[role] = read
}
