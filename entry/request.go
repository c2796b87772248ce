package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"ambertiller.example/ambertiller/api"
	"ambertiller.example/ambertiller/config"
	"ambertiller.example/ambertiller/guard"
	"ambertiller.example/ambertiller/wire"
)

const (
	// maxBufferedBodyBytes is the largest request body that is buffered, so that the
	// request can be retried.
	maxBufferedBodyBytes = 64 << 10
	maxNameBytes         = 200
	maxHeaderBytes       = 16 << 10
)

// serviceCall is one request that is routed to a backend server.
type serviceCall struct {
	requestID      string
	idempotencyKey string
	service        string
	settings       config.Service
	repeatable     bool
	deadline       time.Time
	startedAt      time.Time
	request        *http.Request
	target         string
	headers        []*wire.Header
	body           []byte
	bodyRest       io.Reader // the unread rest of the body, nil if body is complete
	contentLength  int64
}

// serveRequest routes one request of a service and writes the response or a problem.
func (entry *Entry) serveRequest(writer http.ResponseWriter, request *http.Request, service, path string) {
	now := entry.now()
	call, problem := entry.newServiceCall(writer, request, service, path, now)
	if problem == nil {
		// context.WithDeadline can't be used: the deadline is a time of the entry's
		// clock, and contexts use the system clock.
		ctx, cancel := context.WithTimeout(request.Context(), call.deadline.Sub(now))
		defer cancel()
		problem = entry.admitAndRun(ctx, writer, call)
	}
	if problem != nil {
		if call != nil {
			problem.RequestID = call.requestID
		}
		entry.recordProblem(request.Context(), call, problem)
		writeProblem(writer, problem)
	}
}

// admitAndRun rejects the request if maxInFlight requests are in flight. It claims
// the key of a request that must not be repeated before running it.
func (entry *Entry) admitAndRun(ctx context.Context, writer http.ResponseWriter, call *serviceCall) *api.Problem {
	if entry.inFlight.Add(1) > maxInFlight {
		entry.inFlight.Add(-1)
		return notRunProblem("this entry carries as many requests as it may", defaultRetryAfter)
	}
	defer entry.inFlight.Add(-1)
	if call.repeatable {
		return entry.runCall(ctx, writer, call, nil)
	}
	heldClaim, problem := entry.acquireClaim(ctx, call)
	if problem != nil {
		return problem
	}
	return entry.runCall(ctx, writer, call, heldClaim)
}

// newServiceCall validates the request and buffers the beginning of its body. If the
// service is unknown, it returns no call.
func (entry *Entry) newServiceCall(writer http.ResponseWriter, request *http.Request, service, path string, now time.Time) (*serviceCall, *api.Problem) {
	settings, problem := entry.serviceSettings(service)
	if problem != nil {
		return nil, problem
	}
	call := &serviceCall{service: service, settings: settings, request: request, startedAt: now, target: "/" + path}
	if request.URL.RawQuery != "" {
		call.target += "?" + request.URL.RawQuery
	}
	if problem := call.parseHeaders(now); problem != nil {
		return call, problem
	}
	return call, call.bufferBody(writer)
}

// serviceSettings returns the configuration of the service.
func (entry *Entry) serviceSettings(service string) (config.Service, *api.Problem) {
	settings := entry.documents.Config()
	if settings == nil {
		return config.Service{}, notRunProblem(errNoConfig.Error(), defaultRetryAfter)
	}
	serviceSettings, ok := settings.Service(service)
	if !ok {
		problem := notFoundProblem("no service is named " + strconv.Quote(service) + "; see `ambertiller config show`")
		problem.Outcome = api.OutcomeNotRun
		return config.Service{}, problem
	}
	return serviceSettings, nil
}

// parseHeaders sets the request ID, the idempotency key, the deadline, and whether
// the request may be repeated. The request ID is the key of a request that has no
// other one.
func (call *serviceCall) parseHeaders(now time.Time) *api.Problem {
	header := call.request.Header
	call.requestID = header.Get(api.HeaderRequestID)
	call.idempotencyKey = header.Get(api.HeaderIdempotencyKey)
	if call.idempotencyKey == "" {
		call.idempotencyKey = call.requestID
	}
	if call.requestID == "" {
		call.requestID = uuid.NewString()
	}
	if len(call.requestID) > maxNameBytes || len(call.idempotencyKey) > maxNameBytes {
		return markNotRun(badRequestProblem("a request ID or key has at most " + strconv.Itoa(maxNameBytes) + " bytes"))
	}
	timeout, err := parseTimeout(header.Get(api.HeaderTimeout), call.settings.Timeout())
	if err != nil {
		return markNotRun(badRequestProblem(err.Error()))
	}
	call.deadline = now.Add(timeout)
	call.repeatable, err = parseRepeatable(header.Get(api.HeaderRepeatable), call.request.Method, call.settings.Repeatable())
	if err != nil {
		return markNotRun(badRequestProblem(err.Error()))
	}
	if !call.repeatable && call.idempotencyKey == "" {
		return markNotRun(badRequestProblem("a request that must not be repeated needs an " + api.HeaderIdempotencyKey + " or " + api.HeaderRequestID + " header; or mark it with " + api.HeaderRepeatable + ": true"))
	}
	call.headers = forwardedHeaders(header)
	return nil
}

// markNotRun sets the outcome of a request that was not sent to any backend server.
func markNotRun(problem *api.Problem) *api.Problem {
	problem.Outcome = api.OutcomeNotRun
	return problem
}

// parseTimeout parses the timeout header. It defaults to limit, the service's
// timeout, and is bounded by it.
func parseTimeout(value string, limit time.Duration) (time.Duration, error) {
	if value == "" {
		return limit, nil
	}
	timeout, err := time.ParseDuration(value)
	if err != nil || timeout <= 0 {
		return 0, errors.Errorf("%s must be a positive duration such as 250ms, not %q", api.HeaderTimeout, value)
	}
	return min(timeout, limit), nil
}

// parseRepeatable parses the header that allows or forbids repeating the request.
// Without it, GET and HEAD requests may be repeated, and others if the configuration
// of the service allows it.
func parseRepeatable(value, method string, defaultValue bool) (bool, error) {
	if value == "" {
		return defaultValue || method == http.MethodGet || method == http.MethodHead, nil
	}
	repeatable, err := strconv.ParseBool(value)
	if err != nil {
		return false, errors.Errorf("%s must be true or false, not %q", api.HeaderRepeatable, value)
	}
	return repeatable, nil
}

// entryHeaders are the request headers that the entry evaluates and does not forward.
var entryHeaders = map[string]bool{
	api.HeaderRequestID: true, api.HeaderTimeout: true, api.HeaderRepeatable: true,
}

// forwardedHeaders returns the headers for the backend server: those of the request
// without the entry's own and the hop-by-hop headers.
func forwardedHeaders(header http.Header) []*wire.Header {
	forwarded := make([]*wire.Header, 0, len(header))
	for name, values := range header {
		if entryHeaders[name] || guard.IsHopByHopHeader(name) {
			continue
		}
		for _, value := range values {
			forwarded = append(forwarded, &wire.Header{Name: name, Value: value})
		}
	}
	return forwarded
}

// bufferBody buffers the body up to maxBufferedBodyBytes. A larger body is streamed
// after that, and its request can't be retried.
func (call *serviceCall) bufferBody(writer http.ResponseWriter) *api.Problem {
	call.contentLength = call.request.ContentLength
	if call.contentLength > call.settings.MaxBodyBytes() {
		return bodyTooLargeProblem(call.settings)
	}
	if call.contentLength == 0 {
		return nil
	}
	limitedBody := http.MaxBytesReader(writer, call.request.Body, call.settings.MaxBodyBytes())
	var buffered bytes.Buffer
	_, err := io.CopyN(&buffered, limitedBody, maxBufferedBodyBytes)
	call.body = buffered.Bytes()
	switch {
	case errors.Is(err, io.EOF):
		call.contentLength = int64(len(call.body))
		return nil
	case err != nil:
		return bodyProblem(err, call.settings)
	}
	call.bodyRest = limitedBody
	return nil
}

func bodyTooLargeProblem(settings config.Service) *api.Problem {
	return markNotRun(newProblem(http.StatusRequestEntityTooLarge, api.TypeTooLarge, "The body is too large",
		"this service takes "+strconv.FormatInt(settings.MaxBodyBytes(), 10)+" bytes"))
}

func bodyProblem(err error, settings config.Service) *api.Problem {
	var sizeErr *http.MaxBytesError
	if errors.As(err, &sizeErr) {
		return bodyTooLargeProblem(settings)
	}
	return markNotRun(badRequestProblem("the body broke off: " + strings.TrimSpace(err.Error())))
}
