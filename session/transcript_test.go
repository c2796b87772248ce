package session_test

import (
	"fmt"
	"regexp"
	"strings"
	"sync"

	"ambertiller.example/ambertiller/event"
)

// transcript records requests, responses and log lines. Its text has a numbered placeholder for each UUID, in
// the order of first appearance, so that it is the same in every run.
type transcript struct {
	mu           sync.Mutex
	lines        []string
	placeholders map[string]string
}

var uuidPattern = regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`)

func (t *transcript) add(source, text string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lines = append(t.lines, fmt.Sprintf("%-9s | %s", source, text))
}

func (t *transcript) addHeading(title string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lines = append(t.lines, "", "# "+title)
}

func (t *transcript) text() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	joined := strings.TrimSpace(strings.Join(t.lines, "\n")) + "\n"
	return uuidPattern.ReplaceAllStringFunc(joined, func(id string) string {
		if _, known := t.placeholders[id]; !known {
			t.placeholders[id] = fmt.Sprintf("<id-%d>", len(t.placeholders)+1)
		}
		return t.placeholders[id]
	})
}

// lineWriter adds log lines to a transcript.
type lineWriter struct {
	transcript *transcript
	name       string
}

// Write implements io.Writer.
func (w *lineWriter) Write(line []byte) (int, error) {
	// Failed reads of the log are omitted: their number during an outage depends on the speed of the machine.
	if strings.Contains(string(line), fmt.Sprintf("event=%d ", event.ReadFailed)) {
		return len(line), nil
	}
	w.transcript.add(w.name, "logs "+strings.TrimSpace(string(line)))
	return len(line), nil
}
