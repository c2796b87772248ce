// Command eventdoc prints the page docs/EVENTS.md, generated from the catalogue of events.
package main

import (
	"fmt"
	"os"

	"ambertiller.example/ambertiller/event"
)

func main() {
	if _, err := os.Stdout.WriteString(event.Markdown()); err != nil {
		fmt.Fprintln(os.Stderr, "eventdoc:", err)
		os.Exit(1)
	}
}
