// Package trace puts the lines that several processes logged about one job or
// request in order, so that an on-call engineer sees its life on one page.
//
// # Usage
//
//	life, err := trace.Read("0123456789abcdef", files...)
//	for _, line := range life.Lines() { fmt.Println(line) }
//
// A line belongs to a job when it names the job or one of its tasks. Text before
// the JSON object on a line is passed over, and so are lines that hold none.
package trace

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"ambertiller.example/ambertiller/logline"
)

// minGap is from which time on a silence is named.
const minGap = time.Second

// event is one line of a log.
type event struct {
	at         time.Time
	process    string
	message    string
	attributes []string
}

// Timeline is what happened to one job, in order.
type Timeline struct {
	id     string
	events []event
}

// Read finds the lines about an ID in logs.
func Read(id string, logs ...io.Reader) (Timeline, error) {
	life := Timeline{id: id}
	for _, log := range logs {
		if err := life.readLog(log); err != nil {
			return Timeline{}, err
		}
	}
	slices.SortStableFunc(life.events, func(a, b event) int { return a.at.Compare(b.at) })
	return life, nil
}

func (life *Timeline) readLog(log io.Reader) error {
	return logline.Each(log, func(object []byte) {
		if !bytes.Contains(object, []byte(life.id)) {
			return
		}
		var fields map[string]any
		if err := json.Unmarshal(object, &fields); err != nil {
			// A line that was cut off, or is not a log's.
			return
		}
		if life.matches(fields) {
			life.events = append(life.events, decodeEvent(fields))
		}
	})
}

func (life *Timeline) matches(fields map[string]any) bool {
	for _, key := range []string{"job", "request", "request_id"} {
		if fields[key] == life.id {
			return true
		}
	}
	task, isText := fields["task"].(string)
	return isText && (task == life.id || strings.HasPrefix(task, life.id+"."))
}

func decodeEvent(fields map[string]any) event {
	found := event{message: fmt.Sprint(fields["msg"]), process: fmt.Sprint(fields["name"])}
	if text, isText := fields["time"].(string); isText {
		// A time that can't be read sorts first, where it is seen.
		found.at, _ = time.Parse(time.RFC3339Nano, text)
	}
	for key, value := range fields {
		if slices.Contains([]string{"time", "level", "msg", "role", "name", "event", "job"}, key) {
			continue
		}
		found.attributes = append(found.attributes, key+"="+formatValue(key, value))
	}
	slices.Sort(found.attributes)
	return found
}

// durationKeys names the attributes that hold nanoseconds.
var durationKeys = []string{"took", "age", "after", "ran", "retry_after", "since", "past_objective", "held", "valid", "waited", "recorded", "allowed", "left", "remaining"}

func formatValue(key string, value any) string {
	number, isNumber := value.(float64)
	if isNumber && slices.Contains(durationKeys, key) {
		return time.Duration(number).Round(time.Millisecond).String()
	}
	return fmt.Sprint(value)
}

// IsEmpty reports whether no line was found.
func (life *Timeline) IsEmpty() bool { return len(life.events) == 0 }

// Lines returns a line for each event, with the time since the first one, and one
// for each silence of a second or more.
func (life *Timeline) Lines() []string {
	var lines []string
	for index, one := range life.events {
		if index > 0 {
			if gap := one.at.Sub(life.events[index-1].at); gap >= minGap {
				lines = append(lines, fmt.Sprintf("%10s  nothing was logged for %s", "", gap.Round(time.Millisecond)))
			}
		}
		since := one.at.Sub(life.events[0].at).Round(time.Millisecond)
		lines = append(lines, strings.TrimRight(fmt.Sprintf("%10s  %-18s %-22s %s", since, one.process, one.message, strings.Join(one.attributes, " ")), " "))
	}
	return lines
}
