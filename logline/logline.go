// Package logline finds the structured lines in the logs of processes.
//
// # Usage
//
//	err := logline.Each(file, func(object []byte) { ... })
//
// Text before the JSON object on a line is passed over, and so are lines that hold
// none: collectors put times and names there. An object may still be cut off; whoever
// decodes it passes over those that fail.
package logline

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// maxLineBytes bounds a line; reading fails at a longer one.
const maxLineBytes = 1 << 20

// Each calls visit with the JSON object of each line. The bytes are only valid until
// visit returns.
func Each(log io.Reader, visit func(object []byte)) error {
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		if begin := bytes.IndexByte(lines.Bytes(), '{'); begin >= 0 {
			visit(lines.Bytes()[begin:])
		}
	}
	return errors.Wrap(lines.Err(), "read the log")
}
