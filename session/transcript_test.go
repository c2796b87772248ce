package session_test

import (
	"fmt"
	"regexp"
	"strings"
	"sync"

	"ambertiller.example/ambertiller/event"
)

// transcript collects what was said and logged. IDs are replaced by numbers in
// the order of their first appearance.
type transcript struct {
	mu           sync.Mutex
	lines        []string
	placeholders map[string]string
}

var uuidPattern = regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`)

func (said *transcript) add(who, text string) {
	said.mu.Lock()
	defer said.mu.Unlock()
	said.lines = append(said.lines, fmt.Sprintf("%-9s | %s", who, text))
}

func (said *transcript) addHeading(title string) {
	said.mu.Lock()
	defer said.mu.Unlock()
	said.lines = append(said.lines, "", "# "+title)
}

func (said *transcript) text() string {
	said.mu.Lock()
	defer said.mu.Unlock()
	joined := strings.TrimSpace(strings.Join(said.lines, "\n")) + "\n"
	return uuidPattern.ReplaceAllStringFunc(joined, func(id string) string {
		if _, known := said.placeholders[id]; !known {
			said.placeholders[id] = fmt.Sprintf("<id-%d>", len(said.placeholders)+1)
		}
		return said.placeholders[id]
	})
}

// lineWriter puts log lines into a transcript.
type lineWriter struct {
	transcript *transcript
	name       string
}

// Write implements io.Writer.
func (lines *lineWriter) Write(line []byte) (int, error) {
	// How often a read of the log fails while it is down depends on the pace of
	// the machine.
	if strings.Contains(string(line), fmt.Sprintf("event=%d ", event.ReadFailed)) {
		return len(line), nil
	}
	lines.transcript.add(lines.name, "logs "+strings.TrimSpace(string(line)))
	return len(line), nil
}
