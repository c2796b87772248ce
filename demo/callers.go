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

// callers stands for clerks and operators behind the platform's balancer,
// which asks each entry whether it is ready and sends to the next one that is.
type callers struct {
	bases []string
	ready [entries]atomic.Bool
	next  atomic.Uint64
	http  *http.Client
}

func newCallers(layout standin.Layout) *callers {
	made := &callers{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
	for index := 1; index <= entries; index++ {
		made.bases = append(made.bases, "http://"+layout.Entry(index, standin.EntryHTTPPort))
		made.ready[index-1].Store(true)
	}
	return made
}

// balance asks the entries for their readiness until ctx ends.
func (calling *callers) balance(ctx context.Context) {
	ticker := time.NewTicker(balancerInterval)
	defer ticker.Stop()
	for {
		for index, base := range calling.bases {
			calling.ready[index].Store(calling.isReady(ctx, base))
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (calling *callers) isReady(ctx context.Context, base string) bool {
	ctx, cancel := context.WithTimeout(ctx, balancerTimeout)
	defer cancel()
	status, _, _, err := calling.send(ctx, http.MethodGet, base+"/readyz", nil, nil)
	return err == nil && status == http.StatusOK
}

// base returns the next entry that is ready.
func (calling *callers) base() string {
	for range calling.bases {
		index := int(calling.next.Add(1)) % len(calling.bases)
		if calling.ready[index].Load() {
			return calling.bases[index]
		}
	}
	return calling.bases[0]
}

// send sends one request and reads its whole answer.
func (calling *callers) send(ctx context.Context, method, url string, header http.Header, body []byte) (int, http.Header, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, errors.Wrap(err, "make request")
	}
	if header != nil {
		request.Header = header
	}
	response, err := calling.http.Do(request)
	if err != nil {
		return 0, nil, nil, errors.Wrap(err, "send request")
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, answer, errors.Wrap(err, "read answer")
}

// call calls an operator's interface and decodes the answer.
func (calling *callers) call(ctx context.Context, method, path string, body, into any) error {
	var encoded []byte
	if body != nil {
		var err error
		if encoded, err = json.Marshal(body); err != nil {
			return errors.Wrap(err, "encode")
		}
	}
	status, header, answer, err := calling.send(ctx, method, calling.base()+path, nil, encoded)
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

// until repeats a step until it succeeds or patience ends.
func until(ctx context.Context, step func() error) error {
	ctx, cancel := context.WithTimeout(ctx, patience)
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
