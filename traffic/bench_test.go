package traffic_test

import (
	"context"
	"testing"

	sdkmetric "go.opentelemetry.io/otel/sdk/metric"

	"ambertiller.example/ambertiller/traffic"
	"ambertiller.example/ambertiller/wire"
)

// BenchmarkAddAgentMessage counts a message with a status change and two runs. An agent sends
// up to 160 such messages per second. At 3.6 us each, counting them takes 0.06% of a core.
func BenchmarkAddAgentMessage(b *testing.B) {
	counter := traffic.New(sdkmetric.NewMeterProvider(sdkmetric.WithReader(sdkmetric.NewManualReader())))
	message := &wire.AgentMessage{
		UptimeNanos: 1 << 40, Handled: 1000, Change: &wire.StatusChange{FreeMilliCpu: 5000, FreeMemoryMb: 50_000, Tolerance: []int32{1, 2, 3}, ToleranceMilliCpu: []int64{100, 200, 300}},
		Runs: []*wire.RunStatus{{Task: "0123456789abcdef.0.0.0", Attempt: 1}, {Task: "0123456789abcdef.0.0.1", Attempt: 1}},
	}
	for b.Loop() {
		counter.AddAgentMessage(context.Background(), message, true)
	}
}
