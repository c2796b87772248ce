package report

import (
	"encoding/json"
	"time"

	"ambertiller.example/ambertiller/event"
)

// line is a line of a process's log, with the attributes that the report uses. Its durations are nanoseconds
// in the logs.
type line struct {
	At    time.Time  `json:"time"`
	Name  string     `json:"name"`
	Event event.Code `json:"event"`

	Job            string        `json:"job"`
	Queue          string        `json:"queue"`
	State          string        `json:"state"`
	Took           time.Duration `json:"took"`
	Age            time.Duration `json:"age"`
	TargetDuration time.Duration `json:"allowed"`
	CoreMs         int64         `json:"core_ms"`
	Task           string        `json:"task"`
	Attempt        int32         `json:"attempt"`
	Worker         string        `json:"worker"`
	StartedMs      int64         `json:"born"`
	MilliCPU       int64         `json:"milli_cpu"`
	IsFill         bool          `json:"fills"`
	Image          string        `json:"image"`
	TargetMs       int64         `json:"target_ms"`
	EstimateMs     int64         `json:"estimate_ms"`
	Waited         time.Duration `json:"waited"`
	Obstacle       string        `json:"obstacle"`
	StoreTime      time.Duration `json:"recorded"`
	EndReason      string        `json:"how"`
	Percent        int32         `json:"percent"`
	FillImages     string        `json:"beside"`
	Count          int           `json:"count"`
	Kind           string        `json:"kind"`
	SameDomain     bool          `json:"near"`
	Messages       int64         `json:"messages"`
	Bytes          int64         `json:"bytes"`
	Reason         string        `json:"reason"`
	Outcome        string        `json:"outcome"`
	Offer          int64         `json:"offer"`
	Useful         time.Duration `json:"useful"`
	Admitted       bool          `json:"admitted"`
	// RetryAfter is a duration in event 801, and a text in other events.
	RetryAfter json.RawMessage `json:"retry_after"`
}
