package report

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Traffic is what processes sent each other of one kind.
type Traffic struct {
	Kind     string `json:"kind"`
	Messages int64  `json:"messages"`
	// Near are the bytes that stayed in their failure domain, Far those that left it.
	Near int64 `json:"near"`
	Far  int64 `json:"far"`
}

// noteSent takes in what a process says that it has sent.
func (past *history) noteSent(one *line) {
	of, found := past.traffic[one.Kind]
	if !found {
		of = &Traffic{Kind: one.Kind}
		past.traffic[one.Kind] = of
	}
	of.Messages += one.Messages
	if one.Near {
		of.Near += one.Bytes
		return
	}
	of.Far += one.Bytes
}

// sent returns the traffic by kind, the most bytes first.
func (past *history) sent() []Traffic {
	var found []Traffic
	for _, of := range past.traffic {
		found = append(found, *of)
	}
	slices.SortFunc(found, func(a, b Traffic) int {
		return cmp.Or(cmp.Compare(b.Near+b.Far, a.Near+a.Far), strings.Compare(a.Kind, b.Kind))
	})
	return found
}

// kilobyte is the unit in which traffic is printed.
const kilobyte = 1000

func (made *Report) trafficLines() []string {
	if len(made.Traffic) == 0 {
		return nil
	}
	lines := []string{"MESSAGES\tCOUNT\tKB NEAR\tKB TO OTHER FAILURE DOMAINS"}
	for _, of := range made.Traffic {
		lines = append(lines, fmt.Sprintf("%s\t%d\t%d\t%d", of.Kind, of.Messages, of.Near/kilobyte, of.Far/kilobyte))
	}
	return lines
}
