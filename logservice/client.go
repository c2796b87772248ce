package logservice

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"ambertiller.example/ambertiller/progress"
)

const (
	contentTypeBytes  = "application/octet-stream"
	defaultRetryAfter = 100 * time.Millisecond
	maxResponseBytes  = 64 << 20
	// readSilence bounds how long the response to a read may make no progress.
	readSilence = 5 * time.Second
)

// Client implements Service over HTTP.
type Client struct {
	baseURL    string
	httpClient *http.Client
}

// NewClient returns a Client for the log service at the base URL.
func NewClient(baseURL string, httpClient *http.Client) *Client {
	return &Client{baseURL: baseURL, httpClient: httpClient}
}

var _ Service = (*Client)(nil)

// AppendResponse is the response body of a successful append.
type AppendResponse struct {
	Offset int64 `json:"offset"`
}

// Append adds one entry and returns its offset.
func (client *Client) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, client.recordsURL(stream), bytes.NewReader(data))
	if err != nil {
		return 0, errors.Wrap(ErrRefused, err.Error())
	}
	request.Header.Set("Content-Type", contentTypeBytes)
	// Prevent net/http from silently retrying the append on a new connection, which
	// could append the entry twice. It retries only if it can rewind the body.
	request.GetBody = nil
	response, err := client.httpClient.Do(request)
	if err != nil {
		return 0, errors.Wrap(err, "append")
	}
	defer func() {
		drain(response.Body)
		_ = response.Body.Close()
	}()
	if response.StatusCode != http.StatusCreated {
		return 0, appendError(response)
	}
	var answer AppendResponse
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&answer); err != nil {
		return 0, errors.Wrap(err, "append: the answer is cut")
	}
	return answer.Offset, nil
}

// Read returns the entries from an offset on.
func (client *Client) Read(ctx context.Context, stream string, options ReadOptions) (Page, error) {
	watch, ctx := progress.NewWatch(ctx, options.Wait+readSilence, readSilence)
	defer watch.Stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, client.recordsURL(stream)+readQuery(options), nil)
	if err != nil {
		return Page{}, errors.Wrap(err, "read")
	}
	response, err := client.httpClient.Do(request)
	if err != nil {
		return Page{}, errors.Wrap(watch.Error(err), "read")
	}
	body := watch.Reader(response.Body)
	defer func() {
		drain(body)
		_ = response.Body.Close()
	}()
	var page Page
	switch response.StatusCode {
	case http.StatusOK, http.StatusGone:
		if err := json.NewDecoder(io.LimitReader(body, maxResponseBytes)).Decode(&page); err != nil {
			return Page{}, errors.Wrap(watch.Error(err), "read: the answer is cut")
		}
	case http.StatusTooManyRequests:
		return Page{}, &ThrottledError{RetryAfter: retryAfter(response)}
	default:
		return Page{}, errors.Errorf("read: the log service answered %s", response.Status)
	}
	if response.StatusCode == http.StatusGone {
		return Page{}, &TrimmedError{Earliest: page.Earliest}
	}
	return page, nil
}

func (client *Client) recordsURL(stream string) string {
	return client.baseURL + "/streams/" + url.PathEscape(stream) + "/records"
}

func readQuery(options ReadOptions) string {
	query := url.Values{}
	query.Set("from", strconv.FormatInt(options.From, 10))
	query.Set("max", strconv.Itoa(options.Max))
	query.Set("wait", options.Wait.String())
	return "?" + query.Encode()
}

// appendError distinguishes failures that prove that nothing was appended from those
// that leave it open.
func appendError(response *http.Response) error {
	switch response.StatusCode {
	case http.StatusTooManyRequests:
		return &ThrottledError{RetryAfter: retryAfter(response)}
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusNotFound:
		return errors.Wrapf(ErrRefused, "append: %s", response.Status)
	}
	return errors.Errorf("append: the log service answered %s", response.Status)
}

// retryAfter returns the duration in the Retry-After header, or the default if the
// header is missing or invalid.
func retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil || seconds <= 0 {
		return defaultRetryAfter
	}
	return time.Duration(seconds * float64(time.Second))
}

// drain reads the rest of the body, so that the connection can be reused.
func drain(body io.Reader) {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxResponseBytes))
}
