package backlog

import "time"

// Forecast is when a job is expected to start and to end if it is accepted now.
type Forecast struct {
	start, end, deviation, age time.Duration
}

// NewForecast returns a forecast. The times are counted from now; see the methods.
func NewForecast(start, end, deviation, age time.Duration) Forecast {
	return Forecast{start: start, end: end, deviation: deviation, age: age}
}

// Start returns the time until the first task of the job starts.
func (forecast Forecast) Start() time.Duration { return forecast.start }

// End returns the time until the job ends.
func (forecast Forecast) End() time.Duration { return forecast.end }

// Deviation returns how far the end is expected to be off, by the forecasts made before.
func (forecast Forecast) Deviation() time.Duration { return forecast.deviation }

// Age returns the age of the oldest report that the forecast is based on.
func (forecast Forecast) Age() time.Duration { return forecast.age }
