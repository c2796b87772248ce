// Package gateway serves the HTTP API of queues. It appends submitted jobs and cancellations to the
// platform's store, and asks the owners of shards for the states of jobs. A gateway and an owner (see package
// owner) run in one process, which is called an entry. The peers of an entry are the other entries.
//
// # Responses
//
// A submission succeeds once the job is in the store. It is refused only if the job is certainly not in the
// store. If that is unknown, the response is 504 Gateway Timeout and the client submits the same job again;
// however often a job is appended, it is one job.
//
// # Usage
//
//	handler := gateway.New(gateway.Options{Store: store, Owner: owner, ...})
//	go handler.Run(ctx)
//	http.Serve(listener, handler)
package gateway

import (
	"context"
	"io"
	"log/slog"
	"math"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/metric"
	"google.golang.org/protobuf/proto"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/feature"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/owner"
	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/rpc"
	"ambertiller.example/ambertiller/wire"
)

const (
	// defaultTimeout is the timeout of a request that sets no deadline.
	defaultTimeout = 2500 * time.Millisecond
	// responseMargin is the part of a request's timeout that is reserved for sending the response.
	responseMargin = 150 * time.Millisecond
	// retryDelay is the delay that the Retry-After header of a failed request asks for. The store may be
	// available again by then, because its outages last seconds.
	retryDelay = time.Second
	// defaultMaxBodyBytes limits the body of a submission, unless the configuration allows a larger one.
	defaultMaxBodyBytes = 1 << 20
	// maxConfigurationAge is the age above which the configuration may not be the newest one any more: operators
	// expect a new version to be in force within this time.
	maxConfigurationAge = 3 * time.Second
	// jobIDDigits is the number of hexadecimal digits in a job's ID.
	jobIDDigits      = 16
	retryAfterHeader = "Retry-After"
)

// Options configures a Gateway.
type Options struct {
	Name   string
	Shards int
	Store  *platform.Store
	// Owner owns shards in this process.
	Owner      *owner.Owner
	MemberName string // member name of Owner
	Pool       *rpc.Pool
	Clock      clockwork.Clock
	Events     *event.Logger
	// Meters creates the metric instruments. Nil creates none.
	Meters metric.MeterProvider
	// Features are the optional features that are enabled.
	Features feature.Set
	// MaxRecordBytes is the maximum size of one record of the store, or 0 if there is no limit.
	MaxRecordBytes int
}

// Gateway is the http.Handler that serves the clients of queues.
type Gateway struct {
	options       Options
	configuration atomic.Pointer[platform.Configuration]
	confirmation  confirmation
	directory     *ownerDirectory
	backlogs      *backlogPoller
	shutdown      *shutdown
	breaker       circuitBreaker
	metrics       metrics
	admission     admission
	// forecaster forecasts when jobs end; nil if there are no forecasts.
	forecaster forecaster
}

// New returns a gateway that refuses all requests until Run has read a configuration.
func New(options Options) *Gateway {
	directory := newOwnerDirectory(options)
	gateway := &Gateway{
		options: options, directory: directory, backlogs: newBacklogPoller(options, directory),
		admission: newAdmission(options.Meters), shutdown: directory.shutdown,
	}
	gateway.metrics = newMetrics(options.Meters, gateway.configurationAge)
	if options.Features.Has(feature.Backlog) {
		gateway.forecaster = gateway.backlogs
	}
	return gateway
}

// IsReady reports whether the gateway has a configuration that is neither outdated nor overdue, and is not shutting down.
func (gateway *Gateway) IsReady() bool {
	return gateway.configuration.Load() != nil && !gateway.isConfigurationOutdated() && !gateway.confirmation.isOverdue() && !gateway.shutdown.hasBegun()
}

// ServeHTTP implements http.Handler.
func (gateway *Gateway) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	configuration := gateway.configuration.Load()
	if configuration == nil {
		gateway.respondRefused(writer, "", "no configuration has been read yet")
		return
	}
	queue, found := configuration.Match(request.Host, request.URL.Path)
	if !found {
		gateway.respondQueueUnknown(writer, request, configuration)
		return
	}
	id := queue.TrimPrefix(request.URL.Path)
	if gateway.isConfigurationOutdated() {
		gateway.respondRefused(writer, id, event.ReasonConfigurationOutdated)
		return
	}
	ctx, cancel := context.WithTimeout(request.Context(), platform.ClientTimeout(request, defaultTimeout)-responseMargin)
	defer cancel()
	defer context.AfterFunc(gateway.shutdown.requests, cancel)()
	request = request.WithContext(ctx)
	switch {
	case request.Method == http.MethodGet && id == "":
		gateway.respondPending(writer, request, queue)
	case !isJobID(id):
		writer.WriteHeader(http.StatusNotFound)
	case request.Method == http.MethodPost:
		gateway.submitJob(writer, request, configuration, queue, id)
	case request.Method == http.MethodGet:
		gateway.respondState(writer, request, id)
	case request.Method == http.MethodDelete:
		gateway.cancelJob(writer, request, configuration, id)
	default:
		writer.WriteHeader(http.StatusMethodNotAllowed)
	}
}

// respondQueueUnknown responds to a request for a queue that the configuration doesn't have: with 404 Not Found, or
// with 503 Service Unavailable if the configuration may be outdated, because the queue may have been added since.
func (gateway *Gateway) respondQueueUnknown(writer http.ResponseWriter, request *http.Request, configuration *platform.Configuration) {
	age := gateway.configurationAge()
	if age > maxConfigurationAge {
		gateway.respondRefused(writer, "", event.ReasonConfigurationOutdated)
		return
	}
	gateway.options.Events.Log(request.Context(), event.QueueUnknown, slog.String("host", request.Host), slog.String("path", request.URL.Path),
		slog.Int64("configuration", configuration.Version()), slog.Duration("configuration_age", age))
	writer.WriteHeader(http.StatusNotFound)
}

// configurationAge returns the time since the configuration in force was confirmed as the newest one.
func (gateway *Gateway) configurationAge() time.Duration {
	return gateway.confirmation.age(gateway.options.Clock.Now())
}

// isConfigurationOutdated reports whether a configuration that the gateway has not read yet must be in force.
func (gateway *Gateway) isConfigurationOutdated() bool {
	return gateway.confirmation.isOutdated(gateway.options.Clock.Now())
}

func isJobID(text string) bool {
	if len(text) != jobIDDigits {
		return false
	}
	_, err := strconv.ParseUint(text, 16, 64)
	return err == nil
}

func (gateway *Gateway) submitJob(writer http.ResponseWriter, request *http.Request, configuration *platform.Configuration, queue *platform.Queue, id string) {
	if gateway.confirmation.isOverdue() {
		gateway.respondRefused(writer, id, event.ReasonConfigurationOutdated)
		return
	}
	receivedAt := gateway.options.Clock.Now()
	body, err := readBody(writer, request, max(configuration.MaxBodyBytes(), defaultMaxBodyBytes))
	if request.Context().Err() != nil {
		gateway.respondRefused(writer, id, event.ReasonDeadlinePassed)
		return
	}
	if err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	submission, err := gateway.parseSubmission(id, queue, body, receivedAt)
	if err != nil {
		gateway.options.Events.Log(request.Context(), event.JobRefused, slog.String("job", id), slog.Any("reason", err))
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	value, err := proto.Marshal(submission)
	if err != nil {
		gateway.respondRefused(writer, id, err.Error())
		return
	}
	gateway.backlogs.recordSubmission(receivedAt)
	if refused := gateway.checkAdmission(request.Context(), configuration, submission, receivedAt); refused != nil {
		gateway.respondOverloaded(writer, request, refused, receivedAt)
		return
	}
	result := gateway.appendSubmission(request.Context(), submission, value)
	gateway.respondAppend(writer, request, result, id, event.JobAccepted, configuration.Version(), receivedAt)
}

// parseSubmission decodes a job. It returns an error if the job is invalid, or if it can never end since the store can't
// hold the progress of its tasks.
func (gateway *Gateway) parseSubmission(id string, queue *platform.Queue, body []byte, receivedAt time.Time) (*job.Submission, error) {
	submission, err := platform.ParseSubmission(id, queue, body, receivedAt)
	if err != nil {
		return nil, err
	}
	limit := gateway.options.MaxRecordBytes
	if limit == 0 || gateway.options.Features.Has(feature.DividedProgress) || job.MayFitRecord(submission, limit) {
		return submission, nil
	}
	return nil, errors.Errorf("the job has too many tasks: their progress exceeds a record of %d bytes, and %s is not enabled", limit, feature.DividedProgress)
}

// readBody reads the body of a request, and stops when the request's context ends.
func readBody(writer http.ResponseWriter, request *http.Request, maxBytes int64) ([]byte, error) {
	controller := http.NewResponseController(writer)
	defer context.AfterFunc(request.Context(), func() {
		// Without support for deadlines the read goes on until the server's own timeout.
		_ = controller.SetReadDeadline(time.Unix(0, 1))
	})()
	return io.ReadAll(http.MaxBytesReader(writer, request.Body, maxBytes))
}

func (gateway *Gateway) cancelJob(writer http.ResponseWriter, request *http.Request, configuration *platform.Configuration, id string) {
	receivedAt := gateway.options.Clock.Now()
	value, err := proto.Marshal(&job.Cancellation{Id: id, AtMs: receivedAt.UnixMilli()})
	if err != nil {
		gateway.respondRefused(writer, id, err.Error())
		return
	}
	result := gateway.appendRecord(request.Context(), id, job.CancellationKey(id), value)
	gateway.respondAppend(writer, request, result, id, event.JobCancelAccepted, configuration.Version(), receivedAt)
}

func (gateway *Gateway) respondAppend(writer http.ResponseWriter, request *http.Request, result appendResult, id string, acceptedEvent event.Code, version int64, receivedAt time.Time) {
	took := gateway.options.Clock.Now().Sub(receivedAt)
	gateway.metrics.recordAnswer(request.Context(), request.Method, result.status.String(), took)
	switch result.status {
	case appendSucceeded:
		gateway.options.Events.Log(request.Context(), acceptedEvent, slog.String("job", id), slog.Duration("took", took),
			slog.String("by", result.appendedBy), slog.Int64("configuration", version), slog.Duration("configuration_age", gateway.configurationAge()))
		writer.WriteHeader(http.StatusOK)
	case appendRefused:
		gateway.respondRefused(writer, id, result.reason)
	default:
		gateway.options.Events.Log(request.Context(), event.JobUnsettled, slog.String("job", id), slog.Duration("took", took), slog.String("reason", result.reason))
		respondRetryLater(writer, http.StatusGatewayTimeout, gateway.storeRetryAfter(id))
	}
}

// respondRetryLater responds with a status and a Retry-After header, whose unit is whole seconds.
func respondRetryLater(writer http.ResponseWriter, status int, retryAfter time.Duration) {
	writer.Header().Set(retryAfterHeader, strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	writer.WriteHeader(status)
}

// respondRefused responds with 503 Service Unavailable and a Retry-After header, and logs the refusal. It is
// only called when the request had no effect.
func (gateway *Gateway) respondRefused(writer http.ResponseWriter, id, reason string) {
	retryAfter := gateway.storeRetryAfter(id)
	gateway.options.Events.Log(context.Background(), event.JobRefused, slog.String("job", id), slog.String("reason", reason), slog.Duration("retry_after", retryAfter),
		slog.Int64("configuration", gateway.version()), slog.Duration("configuration_age", gateway.configurationAge()))
	respondRetryLater(writer, http.StatusServiceUnavailable, retryAfter)
}

func (gateway *Gateway) respondState(writer http.ResponseWriter, request *http.Request, id string) {
	receivedAt := gateway.options.Clock.Now()
	reply, err := gateway.directory.jobState(request.Context(), id)
	gateway.metrics.recordAnswer(request.Context(), request.Method, stateOutcome(reply, err), gateway.options.Clock.Since(receivedAt))
	gateway.options.Events.Log(request.Context(), event.JobAsked, slog.String("job", id), slog.String("state", reply.GetState().String()),
		slog.Bool("known", reply.GetKnown()), slog.Any("error", err))
	switch {
	case err != nil:
		gateway.respondNoOwner(writer)
	case !reply.GetKnown():
		writer.WriteHeader(http.StatusGone)
	default:
		platform.WriteState(writer, reply.GetState())
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

func (gateway *Gateway) respondPending(writer http.ResponseWriter, request *http.Request, queue *platform.Queue) {
	count, err := gateway.directory.pendingJobs(request.Context(), queue.Name())
	if err != nil {
		gateway.respondNoOwner(writer)
		return
	}
	platform.WritePending(writer, count)
}
