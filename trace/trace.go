// Package trace merges the log lines that several processes wrote about one job or request into one timeline,
// which shows an on-call engineer what happened to it.
//
// # Usage
//
//	timeline, err := trace.Read("0123456789abcdef", files...)
//	for _, line := range timeline.Lines() { fmt.Println(line) }
//
// A line belongs to a job if it names the job or one of its tasks. Text before the JSON object on a line is
// skipped, and so are lines without an object.
package trace

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"ambertiller.example/ambertiller/logline"
)

// minGap is the shortest time between two events for which Lines adds a line about the gap.
const minGap = time.Second

// event is one log line about the job or request.
type event struct {
	at         time.Time
	process    string
	message    string
	attributes []string
}

// Timeline holds the events of one job or request, ordered by time.
type Timeline struct {
	id     string
	events []event
}

// Read returns the timeline of the job or request with an ID, from the given logs.
func Read(id string, logs ...io.Reader) (Timeline, error) {
	timeline := Timeline{id: id}
	for _, log := range logs {
		if err := timeline.readLog(log); err != nil {
			return Timeline{}, err
		}
	}
	slices.SortStableFunc(timeline.events, func(a, b event) int { return a.at.Compare(b.at) })
	return timeline, nil
}

func (timeline *Timeline) readLog(log io.Reader) error {
	return logline.Each(log, func(object []byte) {
		if !bytes.Contains(object, []byte(timeline.id)) {
			return
		}
		var fields map[string]any
		if err := json.Unmarshal(object, &fields); err != nil {
			// The object is truncated, or the line isn't from one of this project's processes.
			return
		}
		if timeline.matches(fields) {
			timeline.events = append(timeline.events, decodeEvent(fields))
		}
	})
}

func (timeline *Timeline) matches(fields map[string]any) bool {
	for _, key := range []string{"job", "request", "request_id"} {
		if fields[key] == timeline.id {
			return true
		}
	}
	task, isString := fields["task"].(string)
	return isString && (task == timeline.id || strings.HasPrefix(task, timeline.id+"."))
}

func decodeEvent(fields map[string]any) event {
	decoded := event{message: fmt.Sprint(fields["msg"]), process: fmt.Sprint(fields["name"])}
	if text, isString := fields["time"].(string); isString {
		// An event with an invalid time gets the zero time and sorts first, where it is noticed.
		decoded.at, _ = time.Parse(time.RFC3339Nano, text)
	}
	for key, value := range fields {
		if slices.Contains([]string{"time", "level", "msg", "role", "name", "event", "job"}, key) {
			continue
		}
		decoded.attributes = append(decoded.attributes, key+"="+formatValue(key, value))
	}
	slices.Sort(decoded.attributes)
	return decoded
}

// durationKeys are the keys of the attributes that hold durations in nanoseconds.
var durationKeys = []string{"took", "age", "after", "ran", "retry_after", "since", "past_objective", "held", "valid", "waited", "recorded", "allowed", "left", "remaining",
	"forecast", "forecast_start", "forecast_end", "deviation", "expected", "useful", "told", "late", "saves", "least"}

func formatValue(key string, value any) string {
	number, isNumber := value.(float64)
	switch {
	case !isNumber:
		return fmt.Sprint(value)
	case slices.Contains(durationKeys, key):
		return time.Duration(number).Round(time.Millisecond).String()
	}
	return strconv.FormatFloat(number, 'f', -1, 64)
}

// IsEmpty reports whether no matching line was found.
func (timeline *Timeline) IsEmpty() bool { return len(timeline.events) == 0 }

// Lines returns a line of text for each event, with the time since the first event, and one for each gap of a
// second or more between events.
func (timeline *Timeline) Lines() []string {
	var lines []string
	for index, event := range timeline.events {
		if index > 0 {
			if gap := event.at.Sub(timeline.events[index-1].at); gap >= minGap {
				lines = append(lines, fmt.Sprintf("%10s  nothing was logged for %s", "", gap.Round(time.Millisecond)))
			}
		}
		since := event.at.Sub(timeline.events[0].at).Round(time.Millisecond)
		lines = append(lines, strings.TrimRight(fmt.Sprintf("%10s  %-18s %-22s %s", since, event.process, event.message, strings.Join(event.attributes, " ")), " "))
	}
	return lines
}
