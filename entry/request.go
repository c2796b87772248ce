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
	// maxBufferedBodyBytes is the largest request body that is kept for a second try.
	maxBufferedBodyBytes = 64 << 10
	maxNameBytes         = 200
	maxHeaderBytes       = 16 << 10
)

// serviceCall is one request on its way to a backend server.
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
	bodyRest       io.Reader // what follows body, nil when body is whole
	contentLength  int64
}

// serveRequest answers one request of a service.
func (entry *Entry) serveRequest(writer http.ResponseWriter, request *http.Request, service, path string) {
	now := entry.now()
	made, sent := entry.newServiceCall(writer, request, service, path, now)
	if sent == nil {
		// By the span and not the point: only the entry's clock knows the latter.
		ctx, cancel := context.WithTimeout(request.Context(), made.deadline.Sub(now))
		defer cancel()
		sent = entry.admitAndRun(ctx, writer, made)
	}
	if sent != nil {
		if made != nil {
			sent.RequestID = made.requestID
		}
		entry.recordProblem(request.Context(), made, sent)
		writeProblem(writer, sent)
	}
}

func (entry *Entry) admitAndRun(ctx context.Context, writer http.ResponseWriter, made *serviceCall) *api.Problem {
	if entry.inFlight.Add(1) > maxInFlight {
		entry.inFlight.Add(-1)
		return notRunProblem("this entry carries as many requests as it may", defaultRetryAfter)
	}
	defer entry.inFlight.Add(-1)
	if made.repeatable {
		return entry.runCall(ctx, writer, made, nil)
	}
	held, sent := entry.acquireClaim(ctx, made)
	if sent != nil {
		return sent
	}
	return entry.runCall(ctx, writer, made, held)
}

// newServiceCall checks the request and reads as much of its body as is kept.
func (entry *Entry) newServiceCall(writer http.ResponseWriter, request *http.Request, service, path string, now time.Time) (*serviceCall, *api.Problem) {
	settings, sent := entry.serviceSettings(service)
	if sent != nil {
		return nil, sent
	}
	made := &serviceCall{service: service, settings: settings, request: request, startedAt: now, target: "/" + path}
	if request.URL.RawQuery != "" {
		made.target += "?" + request.URL.RawQuery
	}
	if sent := made.parseHeaders(now); sent != nil {
		return made, sent
	}
	return made, made.bufferBody(writer)
}

func (entry *Entry) serviceSettings(service string) (config.Service, *api.Problem) {
	settings := entry.documents.Config()
	if settings == nil {
		return config.Service{}, notRunProblem(errNoConfig.Error(), defaultRetryAfter)
	}
	found, ok := settings.Service(service)
	if !ok {
		made := notFoundProblem("no service is named " + strconv.Quote(service) + "; see `ambertiller config show`")
		made.Outcome = api.OutcomeNotRun
		return config.Service{}, made
	}
	return found, nil
}

func (made *serviceCall) parseHeaders(now time.Time) *api.Problem {
	header := made.request.Header
	made.requestID = header.Get(api.HeaderRequestID)
	made.idempotencyKey = header.Get(api.HeaderIdempotencyKey)
	if made.idempotencyKey == "" {
		made.idempotencyKey = made.requestID
	}
	if made.requestID == "" {
		made.requestID = uuid.NewString()
	}
	if len(made.requestID) > maxNameBytes || len(made.idempotencyKey) > maxNameBytes {
		return markNotRun(badRequestProblem("a request ID or key has at most " + strconv.Itoa(maxNameBytes) + " bytes"))
	}
	timeout, err := parseTimeout(header.Get(api.HeaderTimeout), made.settings.Timeout())
	if err != nil {
		return markNotRun(badRequestProblem(err.Error()))
	}
	made.deadline = now.Add(timeout)
	made.repeatable, err = parseRepeatable(header.Get(api.HeaderRepeatable), made.request.Method, made.settings.Repeatable())
	if err != nil {
		return markNotRun(badRequestProblem(err.Error()))
	}
	if !made.repeatable && made.idempotencyKey == "" {
		return markNotRun(badRequestProblem("a request that must not be repeated needs an " + api.HeaderIdempotencyKey + " or " + api.HeaderRequestID + " header; or mark it with " + api.HeaderRepeatable + ": true"))
	}
	made.headers = forwardedHeaders(header)
	return nil
}

// markNotRun marks a problem of a request that was never sent anywhere.
func markNotRun(sent *api.Problem) *api.Problem {
	sent.Outcome = api.OutcomeNotRun
	return sent
}

func parseTimeout(given string, most time.Duration) (time.Duration, error) {
	if given == "" {
		return most, nil
	}
	timeout, err := time.ParseDuration(given)
	if err != nil || timeout <= 0 {
		return 0, errors.Errorf("%s must be a positive duration such as 250ms, not %q", api.HeaderTimeout, given)
	}
	return min(timeout, most), nil
}

func parseRepeatable(given, method string, otherwise bool) (bool, error) {
	if given == "" {
		return otherwise || method == http.MethodGet || method == http.MethodHead, nil
	}
	repeatable, err := strconv.ParseBool(given)
	if err != nil {
		return false, errors.Errorf("%s must be true or false, not %q", api.HeaderRepeatable, given)
	}
	return repeatable, nil
}

// entryHeaders are for the entry alone.
var entryHeaders = map[string]bool{
	api.HeaderRequestID: true, api.HeaderTimeout: true, api.HeaderRepeatable: true,
}

func forwardedHeaders(header http.Header) []*wire.Header {
	passed := make([]*wire.Header, 0, len(header))
	for name, values := range header {
		if entryHeaders[name] || guard.IsHopByHopHeader(name) {
			continue
		}
		for _, value := range values {
			passed = append(passed, &wire.Header{Name: name, Value: value})
		}
	}
	return passed
}

// decodeBody reads a small body whole. A larger one is streamed, and can then be
// sent only once.
func (made *serviceCall) bufferBody(writer http.ResponseWriter) *api.Problem {
	made.contentLength = made.request.ContentLength
	if made.contentLength > made.settings.MaxBodyBytes() {
		return bodyTooLargeProblem(made.settings)
	}
	if made.contentLength == 0 {
		return nil
	}
	limited := http.MaxBytesReader(writer, made.request.Body, made.settings.MaxBodyBytes())
	var kept bytes.Buffer
	_, err := io.CopyN(&kept, limited, maxBufferedBodyBytes)
	made.body = kept.Bytes()
	switch {
	case errors.Is(err, io.EOF):
		made.contentLength = int64(len(made.body))
		return nil
	case err != nil:
		return bodyProblem(err, made.settings)
	}
	made.bodyRest = limited
	return nil
}

func bodyTooLargeProblem(settings config.Service) *api.Problem {
	return markNotRun(newProblem(http.StatusRequestEntityTooLarge, api.TypeTooLarge, "The body is too large",
		"this service takes "+strconv.FormatInt(settings.MaxBodyBytes(), 10)+" bytes"))
}

func bodyProblem(err error, settings config.Service) *api.Problem {
	var most *http.MaxBytesError
	if errors.As(err, &most) {
		return bodyTooLargeProblem(settings)
	}
	return markNotRun(badRequestProblem("the body broke off: " + strings.TrimSpace(err.Error())))
}
