package backlog

import "time"

// Forecast is when a job is expected to start and to end if it is accepted now.
type Forecast struct {
	start, end, deviation, age time.Duration
}

// NewForecast returns a forecast. Its start and end are counted from now.
func NewForecast(start, end, deviation, age time.Duration) Forecast {
	return Forecast{start: start, end: end, deviation: deviation, age: age}
}

// Start returns the time until the first task of the job starts.
func (forecast Forecast) Start() time.Duration { return forecast.start }

// End returns the time until the job ends.
func (forecast Forecast) End() time.Duration { return forecast.end }

// Deviation returns the expected error of the end, by the errors of earlier forecasts.
func (forecast Forecast) Deviation() time.Duration { return forecast.deviation }

// Age returns the age of the oldest backlog that the forecast is based on.
func (forecast Forecast) Age() time.Duration { return forecast.age }
