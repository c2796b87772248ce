package entry

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/kataras/iris/v12"
	"github.com/pkg/errors"

	"ambertiller.example/ambertiller/api"
)

// maxControlBodyBytes is the maximum body size of API requests that are not routed
// to a service.
const maxControlBodyBytes = 1 << 20

// Handler returns the HTTP handler for callers, operators and the health checks of
// the load balancer.
func (entry *Entry) Handler() (http.Handler, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Any("/v1/services/{service:string}/{path:path}", func(ctx iris.Context) {
		entry.serveRequest(ctx.ResponseWriter(), ctx.Request(), ctx.Params().Get("service"), ctx.Params().Get("path"))
	})
	app.Any("/v1/services/{service:string}", func(ctx iris.Context) {
		entry.serveRequest(ctx.ResponseWriter(), ctx.Request(), ctx.Params().Get("service"), "")
	})
	entry.addTaskRoutes(app)
	entry.addOperatorRoutes(app)
	app.Get("/healthz", func(ctx iris.Context) { writeJSON(ctx.ResponseWriter(), http.StatusOK, healthStatus{Status: "alive"}) })
	app.Get("/readyz", func(ctx iris.Context) { entry.serveReady(ctx.ResponseWriter()) })
	app.OnErrorCode(iris.StatusNotFound, func(ctx iris.Context) {
		writeProblem(ctx.ResponseWriter(), notFoundProblem("no such path: "+ctx.Path()))
	})
	app.OnErrorCode(iris.StatusMethodNotAllowed, func(ctx iris.Context) {
		writeProblem(ctx.ResponseWriter(), newProblem(http.StatusMethodNotAllowed, api.TypeMethodNotAllowed, "The method is not allowed here", ctx.Method()+" "+ctx.Path()))
	})
	app.Configure(iris.WithFireMethodNotAllowed, iris.WithoutServerError(iris.ErrServerClosed))
	if err := app.Build(); err != nil {
		return nil, errors.Wrap(err, "build routes")
	}
	return app, nil
}

// healthStatus is the response body of the health and readiness checks.
type healthStatus struct {
	Status string `json:"status"`
	Reason string `json:"reason,omitempty"`
	Log    string `json:"log,omitempty"`
}

func (entry *Entry) serveReady(writer http.ResponseWriter) {
	status := healthStatus{Status: "ready", Log: "up"}
	if !entry.isLogFresh(entry.now()) {
		// An entry stays ready without the log: it can still serve requests that
		// may be repeated.
		status.Log = "down"
	}
	if err := entry.Ready(); err != nil {
		status.Status, status.Reason = "not ready", err.Error()
		writeJSON(writer, http.StatusServiceUnavailable, status)
		return
	}
	writeJSON(writer, http.StatusOK, status)
}

func (entry *Entry) addTaskRoutes(app *iris.Application) {
	app.Post("/v1/tasks", func(ctx iris.Context) { entry.serveSubmit(ctx.ResponseWriter(), ctx.Request()) })
	app.Get("/v1/tasks", func(ctx iris.Context) { entry.serveTasks(ctx.ResponseWriter(), ctx.Request()) })
	app.Get("/v1/tasks/{task:string}", func(ctx iris.Context) { entry.serveTask(ctx.ResponseWriter(), ctx.Params().Get("task")) })
	app.Delete("/v1/tasks/{task:string}", func(ctx iris.Context) {
		entry.serveCancel(ctx.ResponseWriter(), ctx.Request(), ctx.Params().Get("task"))
	})
	app.Put("/v1/tasks/{task:string}/throttle", func(ctx iris.Context) {
		entry.serveThrottle(ctx.ResponseWriter(), ctx.Request(), ctx.Params().Get("task"))
	})
	app.Get("/v1/tasks/{task:string}/result", func(ctx iris.Context) { entry.serveResult(ctx.ResponseWriter(), ctx.Params().Get("task")) })
	app.Get("/v1/tasks/{task:string}/explain", func(ctx iris.Context) { entry.serveExplain(ctx.ResponseWriter(), ctx.Params().Get("task")) })
	app.Get("/v1/tasks/{task:string}/stream", func(ctx iris.Context) {
		entry.serveStream(ctx.ResponseWriter(), ctx.Request(), ctx.Params().Get("task"))
	})
}

func (entry *Entry) addOperatorRoutes(app *iris.Application) {
	app.Get("/v1/workers", func(ctx iris.Context) { entry.serveWorkers(ctx.ResponseWriter()) })
	app.Put("/v1/workers/{worker:string}/drain", func(ctx iris.Context) {
		entry.serveDrain(ctx.ResponseWriter(), ctx.Request(), ctx.Params().Get("worker"))
	})
	app.Get("/v1/documents", func(ctx iris.Context) { entry.serveDocuments(ctx.ResponseWriter()) })
	app.Get("/v1/documents/{document:string}", func(ctx iris.Context) {
		entry.serveDocument(ctx.ResponseWriter(), ctx.Request(), ctx.Params().Get("document"))
	})
	app.Get("/v1/documents/{document:string}/history", func(ctx iris.Context) {
		entry.serveHistory(ctx.ResponseWriter(), ctx.Params().Get("document"))
	})
	app.Put("/v1/documents/{document:string}", func(ctx iris.Context) {
		entry.servePublish(ctx.ResponseWriter(), ctx.Request(), ctx.Params().Get("document"))
	})
	app.Post("/v1/documents/{document:string}/check", func(ctx iris.Context) {
		entry.serveCheck(ctx.ResponseWriter(), ctx.Request(), ctx.Params().Get("document"))
	})
	app.Get("/v1/in-force", func(ctx iris.Context) { entry.serveInForce(ctx.ResponseWriter()) })
}

// decodeBody decodes a JSON body. It rejects unknown fields and data after the
// JSON value.
func decodeBody(writer http.ResponseWriter, request *http.Request, target any) *api.Problem {
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxControlBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return decodeProblem(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return badRequestProblem("the body goes on after its JSON value")
	}
	return nil
}

func decodeProblem(err error) *api.Problem {
	var sizeErr *http.MaxBytesError
	if errors.As(err, &sizeErr) {
		return newProblem(http.StatusRequestEntityTooLarge, api.TypeTooLarge, "The body is too large", "give at most 1 MiB")
	}
	return badRequestProblem("the body is not the JSON expected here: " + strings.TrimPrefix(err.Error(), "json: "))
}
