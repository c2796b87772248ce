// Package demo brings every role up in one process and checks what they do
// together.
package demo

import (
	"context"
	"io"

	"github.com/pkg/errors"
)

// Options sets up a demo.
type Options struct {
	Network string
	Serve   bool
	Verbose bool
	Out     io.Writer
}

// Run runs the demo.
func Run(context.Context, Options) error { return errors.New("being written") }
