package event

import (
	"fmt"
	"strings"
)

// Markdown returns the catalogue formatted as the page docs/EVENTS.md.
func Markdown() string {
	var page strings.Builder
	page.WriteString("# Events\n\nGenerated from the catalogue in package event; do not edit.\n\n")
	page.WriteString("Each log line carries the code as `event` and the title as its message.\n")
	for _, entry := range Catalogue() {
		fmt.Fprintf(&page, "\n## %d %s\n\n%s\n\nLevel %s, since %s.\n", entry.Code, entry.Title, entry.Description, entry.Level, entry.Since)
	}
	return page.String()
}
