// Command ambertiller schedules latency-critical and batch work on the same
// workers. Every role and every operator's command is a subcommand of it.
package main

import (
	"context"
	"os"

	"ambertiller.example/ambertiller/command"
)

func main() {
	os.Exit(command.Run(context.Background(), os.Args, os.Stdout, os.Stderr))
}
