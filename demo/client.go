package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"ambertiller.example/ambertiller/api"
	"ambertiller.example/ambertiller/standin"
)

const (
	balancerInterval = 50 * time.Millisecond
	balancerTimeout  = 250 * time.Millisecond
)

// balancedClient sends the requests of clerks and operators. Like the platform's load balancer, it polls the
// readiness of the entries and distributes requests round-robin over those that are ready.
type balancedClient struct {
	baseURLs   []string
	ready      [entryCount]atomic.Bool
	next       atomic.Uint64
	httpClient *http.Client
}

func newBalancedClient(layout standin.Layout) *balancedClient {
	client := &balancedClient{httpClient: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
	for index := 1; index <= entryCount; index++ {
		client.baseURLs = append(client.baseURLs, "http://"+layout.Entry(index, standin.EntryHTTPPort))
		client.ready[index-1].Store(true)
	}
	return client
}

// pollReadiness polls the readiness of the entries until ctx ends.
func (client *balancedClient) pollReadiness(ctx context.Context) {
	ticker := time.NewTicker(balancerInterval)
	defer ticker.Stop()
	for {
		for index, baseURL := range client.baseURLs {
			client.ready[index].Store(client.isReady(ctx, baseURL))
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (client *balancedClient) isReady(ctx context.Context, baseURL string) bool {
	ctx, cancel := context.WithTimeout(ctx, balancerTimeout)
	defer cancel()
	status, _, _, err := client.send(ctx, http.MethodGet, baseURL+"/readyz", nil, nil)
	return err == nil && status == http.StatusOK
}

// nextBaseURL returns the base URL of the next entry that is ready, or of the first entry if none is.
func (client *balancedClient) nextBaseURL() string {
	for range client.baseURLs {
		index := int(client.next.Add(1)) % len(client.baseURLs)
		if client.ready[index].Load() {
			return client.baseURLs[index]
		}
	}
	return client.baseURLs[0]
}

// send sends a request and reads the whole response.
func (client *balancedClient) send(ctx context.Context, method, url string, header http.Header, body []byte) (int, http.Header, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, errors.Wrap(err, "create request")
	}
	if header != nil {
		request.Header = header
	}
	response, err := client.httpClient.Do(request)
	if err != nil {
		return 0, nil, nil, errors.Wrap(err, "send request")
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, content, errors.Wrap(err, "read response")
}

// callJSON sends body as JSON and decodes the response into result. A problem is returned as the error.
func (client *balancedClient) callJSON(ctx context.Context, method, path string, body, result any) error {
	var encoded []byte
	if body != nil {
		var err error
		if encoded, err = json.Marshal(body); err != nil {
			return errors.Wrap(err, "encode request")
		}
	}
	status, header, content, err := client.send(ctx, method, client.nextBaseURL()+path, nil, encoded)
	if err != nil {
		return err
	}
	if strings.HasPrefix(header.Get("Content-Type"), api.ProblemType) {
		problem := &api.Problem{}
		if err := json.Unmarshal(content, problem); err != nil {
			return errors.Wrap(err, "decode problem")
		}
		return problem
	}
	if status >= http.StatusBadRequest {
		return errors.Errorf("status %d: %s", status, content)
	}
	return errors.Wrap(json.Unmarshal(content, result), "decode response")
}

// retry calls a function until it succeeds. When ctx ends, or after stepTimeout, it returns the last error.
func retry(ctx context.Context, try func() error) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	for {
		err := try()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(balancerInterval):
		}
	}
}
