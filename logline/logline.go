// Package logline finds the JSON objects in the logs of processes.
//
// # Usage
//
//	err := logline.Each(file, func(object []byte) { ... })
//
// Text before the object on a line is skipped, because log collectors put times and names there. Lines
// without an object are skipped too. An object may be truncated, so callers must skip those that they can't
// decode.
package logline

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// maxLineBytes is the maximum length of a line. Each fails at a longer one.
const maxLineBytes = 1 << 20

// Each calls visit with the text of each line from its first opening brace, where a JSON object begins. The
// bytes are only valid until visit returns.
func Each(log io.Reader, visit func(object []byte)) error {
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		if start := bytes.IndexByte(lines.Bytes(), '{'); start >= 0 {
			visit(lines.Bytes()[start:])
		}
	}
	return errors.Wrap(lines.Err(), "read the log")
}
