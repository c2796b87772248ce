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
	// answerWithin is how long a client is taken to wait that does not say.
	answerWithin = 2500 * time.Millisecond
	// answerMargin is left of a client's time for the answer's way back.
	answerMargin = 150 * time.Millisecond
	// comeBack tells a refused client when the store may answer again: its
	// outages last seconds.
	comeBack = time.Second
	// bodyMost bounds a job as it is handed in, unless the configuration allows
	// for more.
	bodyMost = 1 << 20
	// idDigits is the length of a job's ID, in hexadecimal digits.
	idDigits   = 16
	retryAfter = "Retry-After"
)

// Options sets up a Gateway.
type Options struct {
	Name   string
	Shards int
	Store  *platform.Store
	// Owner is this process's own owner of shards.
	Owner  *owner.Owner
	Self   string // its member name
	Pool   *rpc.Pool
	Clock  clockwork.Clock
	Events *event.Logger
	// Meters makes the instruments; nil for none.
	Meters metric.MeterProvider
}

// Gateway answers clients. It is an http.Handler.
type Gateway struct {
	options       Options
	configuration atomic.Pointer[platform.Configuration]
	directory     *directory
	stopping      atomic.Bool
	outage        outage
	meters        meters
}

// New returns a gateway that refuses clients until Run has read a configuration.
func New(options Options) *Gateway {
	return &Gateway{options: options, directory: newDirectory(options), meters: newMeters(options.Meters)}
}

// Ready reports whether the gateway takes clients.
func (gateway *Gateway) Ready() bool {
	return gateway.configuration.Load() != nil && !gateway.stopping.Load()
}

// Leave has the platform send clients elsewhere. Requests that come all the same
// are answered.
func (gateway *Gateway) Leave() { gateway.stopping.Store(true) }

// ServeHTTP implements http.Handler.
func (gateway *Gateway) ServeHTTP(answer http.ResponseWriter, request *http.Request) {
	configuration := gateway.configuration.Load()
	if configuration == nil {
		gateway.refuse(answer, "", "no configuration has been read yet")
		return
	}
	queue, found := configuration.Match(request.Host, request.URL.Path)
	if !found {
		answer.WriteHeader(http.StatusNotFound)
		return
	}
	id := queue.TrimPrefix(request.URL.Path)
	ctx, cancel := context.WithTimeout(request.Context(), platform.ClientTimeout(request, answerWithin)-answerMargin)
	defer cancel()
	request = request.WithContext(ctx)
	switch {
	case request.Method == http.MethodGet && id == "":
		gateway.answerPending(answer, request, queue)
	case !isID(id):
		answer.WriteHeader(http.StatusNotFound)
	case request.Method == http.MethodPost:
		gateway.submit(answer, request, configuration, queue, id)
	case request.Method == http.MethodGet:
		gateway.answerState(answer, request, id)
	case request.Method == http.MethodDelete:
		gateway.cancel(answer, request, id)
	default:
		answer.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func isID(text string) bool {
	if len(text) != idDigits {
		return false
	}
	_, err := strconv.ParseUint(text, 16, 64)
	return err == nil
}

func (gateway *Gateway) submit(answer http.ResponseWriter, request *http.Request, configuration *platform.Configuration, queue *platform.Queue, id string) {
	now := gateway.options.Clock.Now()
	body, err := io.ReadAll(http.MaxBytesReader(answer, request.Body, max(configuration.MaxBodyBytes(), bodyMost)))
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
		gateway.refuse(answer, id, err.Error())
		return
	}
	outcome := gateway.append(request.Context(), id, job.SubmissionKey(id), value)
	gateway.answerAppend(answer, request, outcome, id, event.JobAccepted, configuration.Version(), now)
}

func (gateway *Gateway) cancel(answer http.ResponseWriter, request *http.Request, id string) {
	now := gateway.options.Clock.Now()
	value, err := proto.Marshal(&job.Cancellation{Id: id, AtMs: now.UnixMilli()})
	if err != nil {
		gateway.refuse(answer, id, err.Error())
		return
	}
	outcome := gateway.append(request.Context(), id, job.CancellationKey(id), value)
	gateway.answerAppend(answer, request, outcome, id, event.JobCancelAccepted, 0, now)
}

func (gateway *Gateway) answerAppend(answer http.ResponseWriter, request *http.Request, outcome outcome, id string, accepted event.Code, version int64, began time.Time) {
	took := gateway.options.Clock.Now().Sub(began)
	gateway.meters.answered(request.Context(), request.Method, outcome.kind.String(), took)
	switch outcome.kind {
	case appended:
		gateway.options.Events.Log(request.Context(), accepted, slog.String("job", id), slog.Duration("took", took),
			slog.String("by", outcome.by), slog.Int64("configuration", version))
		answer.WriteHeader(http.StatusOK)
	case refused:
		gateway.refuse(answer, id, outcome.reason)
	default:
		gateway.options.Events.Log(request.Context(), event.JobUnsettled, slog.String("job", id), slog.Duration("took", took), slog.String("reason", outcome.reason))
		sayWhen(answer, http.StatusGatewayTimeout)
	}
}

// sayWhen answers with a status and when to come back.
func sayWhen(answer http.ResponseWriter, status int) {
	answer.Header().Set(retryAfter, strconv.Itoa(int(comeBack.Seconds())))
	answer.WriteHeader(status)
}

// refuse answers that nothing was done, and when to come back.
func (gateway *Gateway) refuse(answer http.ResponseWriter, id, reason string) {
	gateway.options.Events.Log(context.Background(), event.JobRefused, slog.String("job", id), slog.String("reason", reason), slog.Duration("retry_after", comeBack))
	sayWhen(answer, http.StatusServiceUnavailable)
}

func (gateway *Gateway) answerState(answer http.ResponseWriter, request *http.Request, id string) {
	began := gateway.options.Clock.Now()
	reply, err := gateway.directory.jobState(request.Context(), id)
	gateway.meters.answered(request.Context(), request.Method, stateOutcome(reply, err), gateway.options.Clock.Since(began))
	gateway.options.Events.Log(request.Context(), event.JobAsked, slog.String("job", id), slog.String("state", reply.GetState().String()),
		slog.Bool("known", reply.GetKnown()), slog.Any("error", err))
	switch {
	case err != nil:
		sayWhen(answer, http.StatusServiceUnavailable)
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

func (gateway *Gateway) answerPending(answer http.ResponseWriter, request *http.Request, queue *platform.Queue) {
	count, err := gateway.directory.pending(request.Context(), queue.Name())
	if err != nil {
		sayWhen(answer, http.StatusServiceUnavailable)
		return
	}
	platform.WritePending(answer, count)
}
