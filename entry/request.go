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
	// keptBodyBytes is the largest request body that is kept for a second try.
	keptBodyBytes = 64 << 10
	maxNameBytes  = 200
	longestHeader = 16 << 10
)

// call is one request on its way to a backend server.
type call struct {
	id         string
	key        string
	service    string
	settings   config.Service
	repeatable bool
	deadline   time.Time
	began      time.Time
	request    *http.Request
	target     string
	headers    []*wire.Header
	body       []byte
	rest       io.Reader // what follows body, nil when body is whole
	length     int64
}

// serveRequest answers one request of a service.
func (entry *Entry) serveRequest(writer http.ResponseWriter, request *http.Request, service, path string) {
	now := entry.now()
	made, sent := entry.readCall(writer, request, service, path, now)
	if sent == nil {
		// By the span and not the point: only the entry's clock knows the latter.
		ctx, cancel := context.WithTimeout(request.Context(), made.deadline.Sub(now))
		defer cancel()
		sent = entry.admitAndRun(ctx, writer, made)
	}
	if sent != nil {
		if made != nil {
			sent.RequestID = made.id
		}
		entry.gaveUp(request.Context(), made, sent)
		writeProblem(writer, sent)
	}
}

func (entry *Entry) admitAndRun(ctx context.Context, writer http.ResponseWriter, made *call) *api.Problem {
	if entry.inFlight.Add(1) > mostInFlight {
		entry.inFlight.Add(-1)
		return notRun("this entry carries as many requests as it may", retryLog)
	}
	defer entry.inFlight.Add(-1)
	if made.repeatable {
		return entry.runCall(ctx, writer, made, nil)
	}
	held, sent := entry.takeClaim(ctx, made)
	if sent != nil {
		return sent
	}
	return entry.runCall(ctx, writer, made, held)
}

// readCall checks the request and reads as much of its body as is kept.
func (entry *Entry) readCall(writer http.ResponseWriter, request *http.Request, service, path string, now time.Time) (*call, *api.Problem) {
	settings, sent := entry.serviceSettings(service)
	if sent != nil {
		return nil, sent
	}
	made := &call{service: service, settings: settings, request: request, began: now, target: "/" + path}
	if request.URL.RawQuery != "" {
		made.target += "?" + request.URL.RawQuery
	}
	if sent := made.readHeaders(now); sent != nil {
		return made, sent
	}
	return made, made.readBody(writer)
}

func (entry *Entry) serviceSettings(service string) (config.Service, *api.Problem) {
	settings := entry.shelf.Config()
	if settings == nil {
		return config.Service{}, notRun(errNoConfig.Error(), retryLog)
	}
	found, ok := settings.Service(service)
	if !ok {
		made := notFound("no service is named " + strconv.Quote(service) + "; see `ambertiller config show`")
		made.Outcome = api.OutcomeNotRun
		return config.Service{}, made
	}
	return found, nil
}

func (made *call) readHeaders(now time.Time) *api.Problem {
	header := made.request.Header
	made.id = header.Get(api.HeaderRequestID)
	made.key = header.Get(api.HeaderKey)
	if made.key == "" {
		made.key = made.id
	}
	if made.id == "" {
		made.id = uuid.NewString()
	}
	if len(made.id) > maxNameBytes || len(made.key) > maxNameBytes {
		return rejected(badRequest("a request ID or key has at most " + strconv.Itoa(maxNameBytes) + " bytes"))
	}
	timeout, err := timeoutOf(header.Get(api.HeaderTimeout), made.settings.Timeout())
	if err != nil {
		return rejected(badRequest(err.Error()))
	}
	made.deadline = now.Add(timeout)
	made.repeatable, err = repeatableOf(header.Get(api.HeaderRepeatable), made.request.Method, made.settings.Repeatable())
	if err != nil {
		return rejected(badRequest(err.Error()))
	}
	if !made.repeatable && made.key == "" {
		return rejected(badRequest("a request that must not be repeated needs an " + api.HeaderKey + " or " + api.HeaderRequestID + " header; or mark it with " + api.HeaderRepeatable + ": true"))
	}
	made.headers = passedHeaders(header)
	return nil
}

// rejected marks a problem of a request that was never sent anywhere.
func rejected(sent *api.Problem) *api.Problem {
	sent.Outcome = api.OutcomeNotRun
	return sent
}

func timeoutOf(given string, most time.Duration) (time.Duration, error) {
	if given == "" {
		return most, nil
	}
	timeout, err := time.ParseDuration(given)
	if err != nil || timeout <= 0 {
		return 0, errors.Errorf("%s must be a positive duration such as 250ms, not %q", api.HeaderTimeout, given)
	}
	return min(timeout, most), nil
}

func repeatableOf(given, method string, otherwise bool) (bool, error) {
	if given == "" {
		return otherwise || method == http.MethodGet || method == http.MethodHead, nil
	}
	repeatable, err := strconv.ParseBool(given)
	if err != nil {
		return false, errors.Errorf("%s must be true or false, not %q", api.HeaderRepeatable, given)
	}
	return repeatable, nil
}

// ownHeaders are for the entry alone.
var ownHeaders = map[string]bool{
	api.HeaderRequestID: true, api.HeaderTimeout: true, api.HeaderRepeatable: true,
}

func passedHeaders(header http.Header) []*wire.Header {
	passed := make([]*wire.Header, 0, len(header))
	for name, values := range header {
		if ownHeaders[name] || guard.HopHeader(name) {
			continue
		}
		for _, value := range values {
			passed = append(passed, &wire.Header{Name: name, Value: value})
		}
	}
	return passed
}

// readBody reads a small body whole. A larger one is streamed, and can then be
// sent only once.
func (made *call) readBody(writer http.ResponseWriter) *api.Problem {
	made.length = made.request.ContentLength
	if made.length > made.settings.MaxBodyBytes() {
		return tooLarge(made.settings)
	}
	if made.length == 0 {
		return nil
	}
	limited := http.MaxBytesReader(writer, made.request.Body, made.settings.MaxBodyBytes())
	var kept bytes.Buffer
	_, err := io.CopyN(&kept, limited, keptBodyBytes)
	made.body = kept.Bytes()
	switch {
	case errors.Is(err, io.EOF):
		made.length = int64(len(made.body))
		return nil
	case err != nil:
		return bodyProblem(err, made.settings)
	}
	made.rest = limited
	return nil
}

func tooLarge(settings config.Service) *api.Problem {
	return rejected(problem(http.StatusRequestEntityTooLarge, api.TypeTooLarge, "The body is too large",
		"this service takes "+strconv.FormatInt(settings.MaxBodyBytes(), 10)+" bytes"))
}

func bodyProblem(err error, settings config.Service) *api.Problem {
	var most *http.MaxBytesError
	if errors.As(err, &most) {
		return tooLarge(settings)
	}
	return rejected(badRequest("the body broke off: " + strings.TrimSpace(err.Error())))
}
