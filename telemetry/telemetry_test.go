package telemetry_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"ambertiller.example/ambertiller/telemetry"
)

// TestScrapeAndPush checks that a counter is in the response to a scrape, and that Shutdown pushes metrics to
// the OTLP endpoint.
func TestScrapeAndPush(t *testing.T) {
	var pushes atomic.Int64
	collector := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/v1/metrics" {
			pushes.Add(1)
		}
	}))
	defer collector.Close()
	ctx := context.Background()
	metrics, err := telemetry.New(ctx, telemetry.Options{Role: "entry", Name: "entry-1", OTLPEndpoint: collector.URL + "/v1/metrics"})
	if err != nil {
		t.Fatal(err)
	}
	counter, err := metrics.Provider().Meter("test").Int64Counter("ambertiller.test")
	if err != nil {
		t.Fatal(err)
	}
	counter.Add(ctx, 3)
	scrape := httptest.NewRecorder()
	metrics.Handler().ServeHTTP(scrape, httptest.NewRequestWithContext(ctx, http.MethodGet, "/metrics", nil))
	if !strings.Contains(scrape.Body.String(), "ambertiller_test_total") {
		t.Errorf("the scrape response lacks the counter: %.500s", scrape.Body)
	}
	if err := metrics.Shutdown(ctx); err != nil {
		t.Error(err)
	}
	if pushes.Load() == 0 {
		t.Error("Shutdown pushed nothing")
	}
}
