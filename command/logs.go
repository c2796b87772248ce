package command

import (
	"io"
	"os"

	"github.com/pkg/errors"
)

// withLogFiles opens the log files at paths, calls read with them and closes them when it returns.
// Without paths, read gets stdin.
func withLogFiles(stdin io.Reader, paths []string, read func(logs []io.Reader) error) error {
	if len(paths) == 0 {
		return read([]io.Reader{stdin})
	}
	var logs []io.Reader
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return errors.Wrap(err, "open the log file")
		}
		defer file.Close() //nolint:errcheck // The file was only read.
		logs = append(logs, file)
	}
	return read(logs)
}
