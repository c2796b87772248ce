package gateway

import (
	"time"

	"ambertiller.example/ambertiller/backlog"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/wire"
)

// FakeForecaster returns the same forecast for all jobs.
type FakeForecaster struct {
	End     time.Duration
	Unknown bool
	Drained int64
}

func (fake FakeForecaster) forecast(*job.Submission, time.Time) (backlog.Forecast, bool) {
	return backlog.NewForecast(0, fake.End, 0, 0), !fake.Unknown
}

func (fake FakeForecaster) drainedCoreMsPerS(string, wire.TaskNeed, time.Time) int64 {
	return fake.Drained
}

// SetForecaster makes the gateway use a fake forecaster.
func (gateway *Gateway) SetForecaster(fake FakeForecaster) { gateway.forecaster = fake }
