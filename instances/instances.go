// Package instances reads the platform's list of live and leaving instances.
//
// The list lags behind: it can still contain an instance that has ended, and it can
// lack one that is running. It has the addresses of instances and says which of them
// are leaving. It never proves that a task has stopped.
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

// Role says which of ambertiller's processes an instance runs.
type Role string

// The roles that this package knows.
const (
	Entry Role = "entry"
	Guard Role = "guard"
)

// State says whether an instance is live or leaving, according to the platform.
type State string

// The states of an instance.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Instance describes one instance on the platform's list.
type Instance struct {
	Name          string `json:"name"`
	Role          Role   `json:"role"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	State         State  `json:"state"`
}

// AllRoles selects the instances of every role.
const AllRoles Role = ""

// Lister returns the instances of one role, or of all roles.
type Lister interface {
	List(ctx context.Context, role Role) ([]Instance, error)
}

// Client reads the list over HTTP. It caches lists and uses conditional requests,
// because with hundreds of instances the list is far larger than all other control
// traffic of a node. It is safe for concurrent use.
type Client struct {
	baseURL    string
	httpClient *http.Client

	mu    sync.Mutex
	cache map[Role]cachedList
}

// cachedList is the last list that was read for a role, and its entity tag.
type cachedList struct {
	etag      string
	instances []Instance
}

// NewClient returns a Client for the platform at the base URL.
func NewClient(baseURL string, httpClient *http.Client) *Client {
	return &Client{baseURL: baseURL, httpClient: httpClient, cache: map[Role]cachedList{}}
}

var _ Lister = (*Client)(nil)

// List returns the platform's current list.
func (client *Client) List(ctx context.Context, role Role) ([]Instance, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, client.baseURL+"/instances?role="+url.QueryEscape(string(role)), nil)
	if err != nil {
		return nil, errors.Wrap(err, "read instance list")
	}
	cached := client.cached(role)
	if cached.etag != "" {
		request.Header.Set("If-None-Match", cached.etag)
	}
	response, err := client.httpClient.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "read instance list")
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusNotModified:
		return slices.Clone(cached.instances), nil
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

// cached returns the cached list of a role, the zero value if there is none.
func (client *Client) cached(role Role) cachedList {
	client.mu.Lock()
	defer client.mu.Unlock()
	return client.cache[role]
}

// setCached replaces the cached list of a role.
func (client *Client) setCached(role Role, list cachedList) {
	client.mu.Lock()
	defer client.mu.Unlock()
	client.cache[role] = list
}
