// Command run plays the cases of the review as scripts.
//
// It starts the store, the workers and the client as stand-ins in its own process, and the gateways and agents as
// separate processes with the commands of the deploy file, on loopback addresses and the real clock. It writes what was
// sent, answered and run to a record, and exits with 1 if the case's rule was broken, 0 if it held, and 2 if the case
// could not run.
//
// # Usage
//
//	run CASE RECORD
//
// With TROUBLE=0 in the environment, the case is played without its disruption.
package main

import (
	"context"
	"fmt"
	"os"
	"time"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxLength bounds a case, including the start and the end of its processes.
const maxLength = 105 * time.Second

// play plays a case in a deployment that has not been started, and reports whether the rule was broken.
type play func(ctx context.Context, d *deployment, trouble bool) (broken bool, err error)

// cases are the cases by name.
var cases = map[string]play{
	"gang-spread": playGangSpread,
	"stale-owner": playStaleOwner,
}

func main() { os.Exit(runCase()) }

func runCase() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: run CASE RECORD")
		return exitFailed
	}
	playCase, found := cases[os.Args[1]]
	if !found {
		fmt.Fprintf(os.Stderr, "run: there is no case %q\n", os.Args[1])
		return exitFailed
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxLength)
	defer cancel()
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "run:", err)
		return exitFailed
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.log("case %s, trouble %v", os.Args[1], trouble)
	d, err := newDeployment(ctx, rec)
	if err != nil {
		rec.log("could not run: %v", err)
		return exitFailed
	}
	defer d.stop()
	broken, err := playCase(ctx, d, trouble)
	switch {
	case err != nil:
		rec.log("could not run: %v", err)
		return exitFailed
	case broken:
		rec.log("result: the rule was BROKEN")
		return exitBroken
	}
	rec.log("result: the rule held")
	return exitHeld
}

// sleep waits for a duration or until ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
