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

// TestScrapeAndPush counts once and finds it in the scrape and in the push.
func TestScrapeAndPush(t *testing.T) {
	var pushes atomic.Int64
	collector := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/v1/metrics" {
			pushes.Add(1)
		}
	}))
	defer collector.Close()
	ctx := context.Background()
	metering, err := telemetry.New(ctx, telemetry.Options{Role: "entry", Name: "entry-1", OTLPEndpoint: collector.URL + "/v1/metrics"})
	if err != nil {
		t.Fatal(err)
	}
	counter, err := metering.Provider().Meter("test").Int64Counter("ambertiller.test")
	if err != nil {
		t.Fatal(err)
	}
	counter.Add(ctx, 3)
	scrape := httptest.NewRecorder()
	metering.Handler().ServeHTTP(scrape, httptest.NewRequestWithContext(ctx, http.MethodGet, "/metrics", nil))
	if !strings.Contains(scrape.Body.String(), "ambertiller_test_total") {
		t.Errorf("the scrape lacks the counter: %.500s", scrape.Body)
	}
	if err := metering.Shutdown(ctx); err != nil {
		t.Error(err)
	}
	if pushes.Load() == 0 {
		t.Error("nothing was pushed at the end")
	}
}
