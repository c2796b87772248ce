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

// balancedClient stands for clerks and operators behind the platform's balancer,
// which asks each entry whether it is ready and sends to the next one that is.
type balancedClient struct {
	baseURLs   []string
	ready      [entryCount]atomic.Bool
	next       atomic.Uint64
	httpClient *http.Client
}

func newBalancedClient(layout standin.Layout) *balancedClient {
	made := &balancedClient{httpClient: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
	for index := 1; index <= entryCount; index++ {
		made.baseURLs = append(made.baseURLs, "http://"+layout.Entry(index, standin.EntryHTTPPort))
		made.ready[index-1].Store(true)
	}
	return made
}

// pollReadiness asks the entries for their readiness until ctx ends.
func (calling *balancedClient) pollReadiness(ctx context.Context) {
	ticker := time.NewTicker(balancerInterval)
	defer ticker.Stop()
	for {
		for index, base := range calling.baseURLs {
			calling.ready[index].Store(calling.isReady(ctx, base))
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (calling *balancedClient) isReady(ctx context.Context, base string) bool {
	ctx, cancel := context.WithTimeout(ctx, balancerTimeout)
	defer cancel()
	status, _, _, err := calling.send(ctx, http.MethodGet, base+"/readyz", nil, nil)
	return err == nil && status == http.StatusOK
}

// nextBaseURL returns the next entry that is ready.
func (calling *balancedClient) nextBaseURL() string {
	for range calling.baseURLs {
		index := int(calling.next.Add(1)) % len(calling.baseURLs)
		if calling.ready[index].Load() {
			return calling.baseURLs[index]
		}
	}
	return calling.baseURLs[0]
}

// send sends one request and reads its whole answer.
func (calling *balancedClient) send(ctx context.Context, method, url string, header http.Header, body []byte) (int, http.Header, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, errors.Wrap(err, "make request")
	}
	if header != nil {
		request.Header = header
	}
	response, err := calling.httpClient.Do(request)
	if err != nil {
		return 0, nil, nil, errors.Wrap(err, "send request")
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, answer, errors.Wrap(err, "read answer")
}

// callJSON calls an operator's interface and decodes the answer.
func (calling *balancedClient) callJSON(ctx context.Context, method, path string, body, into any) error {
	var encoded []byte
	if body != nil {
		var err error
		if encoded, err = json.Marshal(body); err != nil {
			return errors.Wrap(err, "encode")
		}
	}
	status, header, answer, err := calling.send(ctx, method, calling.nextBaseURL()+path, nil, encoded)
	if err != nil {
		return err
	}
	if strings.HasPrefix(header.Get("Content-Type"), api.ProblemType) {
		problem := &api.Problem{}
		if err := json.Unmarshal(answer, problem); err != nil {
			return errors.Wrap(err, "decode problem")
		}
		return problem
	}
	if status >= http.StatusBadRequest {
		return errors.Errorf("status %d: %s", status, answer)
	}
	return errors.Wrap(json.Unmarshal(answer, into), "decode answer")
}

// retry repeats a step until it succeeds or patience ends.
func retry(ctx context.Context, step func() error) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	for {
		err := step()
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
