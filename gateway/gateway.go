// Package gateway answers the clients of queues: it takes jobs and cancellations
// into the platform's store and asks the owners of shards for states.
//
// # Answers
//
// A job is answered with success once it is in the store. It is refused as not
// taken only when the store has proved that it is not there; when the store did
// not say, the answer is that of a timeout, and the client hands the same job in
// again, which is one job however often it is appended.
//
// # Usage
//
//	front := gateway.New(gateway.Options{Store: store, Owner: scheduling, ...})
//	go front.Run(ctx)
//	http.Serve(listener, front)
package gateway

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"go.opentelemetry.io/otel/metric"
	"google.golang.org/protobuf/proto"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/owner"
	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/rpc"
	"ambertiller.example/ambertiller/wire"
)

const (
	// defaultTimeout is how long a client is taken to wait that does not say.
	defaultTimeout = 2500 * time.Millisecond
	// responseMargin is left of a client's time for the answer's way back.
	responseMargin = 150 * time.Millisecond
	// retryDelay tells a refused client when the store may answer again: its
	// outages last seconds.
	retryDelay = time.Second
	// defaultMaxBodyBytes bounds a job as it is handed in, unless the configuration allows
	// for more.
	defaultMaxBodyBytes = 1 << 20
	// jobIDDigits is the length of a job's ID, in hexadecimal digits.
	jobIDDigits      = 16
	retryAfterHeader = "Retry-After"
)

// Options sets up a Gateway.
type Options struct {
	Name   string
	Shards int
	Store  *platform.Store
	// Owner is this process's own owner of shards.
	Owner      *owner.Owner
	MemberName string // its member name
	Pool       *rpc.Pool
	Clock      clockwork.Clock
	Events     *event.Logger
	// Meters makes the instruments; nil for none.
	Meters metric.MeterProvider
}

// Gateway answers clients. It is an http.Handler.
type Gateway struct {
	options       Options
	configuration atomic.Pointer[platform.Configuration]
	directory     *ownerDirectory
	shuttingDown  atomic.Bool
	breaker       circuitBreaker
	metrics       metrics
}

// New returns a gateway that refuses clients until Run has read a configuration.
func New(options Options) *Gateway {
	return &Gateway{options: options, directory: newOwnerDirectory(options), metrics: newMetrics(options.Meters)}
}

// IsReady reports whether the gateway takes clients.
func (gateway *Gateway) IsReady() bool {
	return gateway.configuration.Load() != nil && !gateway.shuttingDown.Load()
}

// BeginShutdown has the platform send clients elsewhere. Requests that come all the same
// are answered.
func (gateway *Gateway) BeginShutdown() { gateway.shuttingDown.Store(true) }

// ServeHTTP implements http.Handler.
func (gateway *Gateway) ServeHTTP(answer http.ResponseWriter, request *http.Request) {
	configuration := gateway.configuration.Load()
	if configuration == nil {
		gateway.respondRefused(answer, "", "no configuration has been read yet")
		return
	}
	queue, found := configuration.Match(request.Host, request.URL.Path)
	if !found {
		answer.WriteHeader(http.StatusNotFound)
		return
	}
	id := queue.TrimPrefix(request.URL.Path)
	ctx, cancel := context.WithTimeout(request.Context(), platform.ClientTimeout(request, defaultTimeout)-responseMargin)
	defer cancel()
	request = request.WithContext(ctx)
	switch {
	case request.Method == http.MethodGet && id == "":
		gateway.respondPending(answer, request, queue)
	case !isJobID(id):
		answer.WriteHeader(http.StatusNotFound)
	case request.Method == http.MethodPost:
		gateway.submitJob(answer, request, configuration, queue, id)
	case request.Method == http.MethodGet:
		gateway.respondState(answer, request, id)
	case request.Method == http.MethodDelete:
		gateway.cancelJob(answer, request, id)
	default:
		answer.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func isJobID(text string) bool {
	if len(text) != jobIDDigits {
		return false
	}
	_, err := strconv.ParseUint(text, 16, 64)
	return err == nil
}

func (gateway *Gateway) submitJob(answer http.ResponseWriter, request *http.Request, configuration *platform.Configuration, queue *platform.Queue, id string) {
	now := gateway.options.Clock.Now()
	body, err := io.ReadAll(http.MaxBytesReader(answer, request.Body, max(configuration.MaxBodyBytes(), defaultMaxBodyBytes)))
	if err != nil {
		answer.WriteHeader(http.StatusBadRequest)
		return
	}
	submission, err := platform.ParseSubmission(id, queue, body, now)
	if err != nil {
		gateway.options.Events.Log(request.Context(), event.JobRefused, slog.String("job", id), slog.Any("reason", err))
		answer.WriteHeader(http.StatusBadRequest)
		return
	}
	value, err := proto.Marshal(submission)
	if err != nil {
		gateway.respondRefused(answer, id, err.Error())
		return
	}
	outcome := gateway.appendRecord(request.Context(), id, job.SubmissionKey(id), value)
	gateway.respondAppend(answer, request, outcome, id, event.JobAccepted, configuration.Version(), now)
}

func (gateway *Gateway) cancelJob(answer http.ResponseWriter, request *http.Request, id string) {
	now := gateway.options.Clock.Now()
	value, err := proto.Marshal(&job.Cancellation{Id: id, AtMs: now.UnixMilli()})
	if err != nil {
		gateway.respondRefused(answer, id, err.Error())
		return
	}
	outcome := gateway.appendRecord(request.Context(), id, job.CancellationKey(id), value)
	gateway.respondAppend(answer, request, outcome, id, event.JobCancelAccepted, 0, now)
}

func (gateway *Gateway) respondAppend(answer http.ResponseWriter, request *http.Request, outcome appendResult, id string, accepted event.Code, version int64, began time.Time) {
	took := gateway.options.Clock.Now().Sub(began)
	gateway.metrics.recordAnswer(request.Context(), request.Method, outcome.status.String(), took)
	switch outcome.status {
	case appendSucceeded:
		gateway.options.Events.Log(request.Context(), accepted, slog.String("job", id), slog.Duration("took", took),
			slog.String("by", outcome.appendedBy), slog.Int64("configuration", version))
		answer.WriteHeader(http.StatusOK)
	case appendRefused:
		gateway.respondRefused(answer, id, outcome.reason)
	default:
		gateway.options.Events.Log(request.Context(), event.JobUnsettled, slog.String("job", id), slog.Duration("took", took), slog.String("reason", outcome.reason))
		respondRetryLater(answer, http.StatusGatewayTimeout)
	}
}

// respondRetryLater answers with a status and when to come back.
func respondRetryLater(answer http.ResponseWriter, status int) {
	answer.Header().Set(retryAfterHeader, strconv.Itoa(int(retryDelay.Seconds())))
	answer.WriteHeader(status)
}

// respondRefused answers that nothing was done, and when to come back.
func (gateway *Gateway) respondRefused(answer http.ResponseWriter, id, reason string) {
	gateway.options.Events.Log(context.Background(), event.JobRefused, slog.String("job", id), slog.String("reason", reason), slog.Duration("retry_after", retryDelay))
	respondRetryLater(answer, http.StatusServiceUnavailable)
}

func (gateway *Gateway) respondState(answer http.ResponseWriter, request *http.Request, id string) {
	began := gateway.options.Clock.Now()
	reply, err := gateway.directory.jobState(request.Context(), id)
	gateway.metrics.recordAnswer(request.Context(), request.Method, stateOutcome(reply, err), gateway.options.Clock.Since(began))
	gateway.options.Events.Log(request.Context(), event.JobAsked, slog.String("job", id), slog.String("state", reply.GetState().String()),
		slog.Bool("known", reply.GetKnown()), slog.Any("error", err))
	switch {
	case err != nil:
		respondRetryLater(answer, http.StatusServiceUnavailable)
	case !reply.GetKnown():
		answer.WriteHeader(http.StatusGone)
	default:
		platform.WriteState(answer, reply.GetState())
	}
}

func stateOutcome(reply *wire.JobStateReply, err error) string {
	switch {
	case err != nil:
		return "failed"
	case !reply.GetKnown():
		return "unknown"
	}
	return "told"
}

func (gateway *Gateway) respondPending(answer http.ResponseWriter, request *http.Request, queue *platform.Queue) {
	count, err := gateway.directory.pendingJobs(request.Context(), queue.Name())
	if err != nil {
		respondRetryLater(answer, http.StatusServiceUnavailable)
		return
	}
	platform.WritePending(answer, count)
}
