package command

import (
	"io"
	"os"

	"github.com/pkg/errors"
)

// withLogFiles opens log files, or takes standard input if none is named, for as long as
// use takes.
func withLogFiles(input io.Reader, paths []string, use func(logs []io.Reader) error) error {
	if len(paths) == 0 {
		return use([]io.Reader{input})
	}
	var logs []io.Reader
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return errors.Wrap(err, "open the log")
		}
		defer file.Close() //nolint:errcheck // it was only read.
		logs = append(logs, file)
	}
	return use(logs)
}
