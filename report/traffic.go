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
	// SameDomainBytes are the bytes that stayed in their failure domain, Far those that left it.
	SameDomainBytes  int64 `json:"near"`
	CrossDomainBytes int64 `json:"far"`
}

// applyMessagesSent takes in what a process says that it has sent.
func (past *history) applyMessagesSent(one *line) {
	of, found := past.traffic[one.Kind]
	if !found {
		of = &Traffic{Kind: one.Kind}
		past.traffic[one.Kind] = of
	}
	of.Messages += one.Messages
	if one.SameDomain {
		of.SameDomainBytes += one.Bytes
		return
	}
	of.CrossDomainBytes += one.Bytes
}

// sortedTraffic returns the traffic by kind, the most bytes first.
func (past *history) sortedTraffic() []Traffic {
	var found []Traffic
	for _, of := range past.traffic {
		found = append(found, *of)
	}
	slices.SortFunc(found, func(a, b Traffic) int {
		return cmp.Or(cmp.Compare(b.SameDomainBytes+b.CrossDomainBytes, a.SameDomainBytes+a.CrossDomainBytes), strings.Compare(a.Kind, b.Kind))
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
		lines = append(lines, fmt.Sprintf("%s\t%d\t%d\t%d", of.Kind, of.Messages, of.SameDomainBytes/kilobyte, of.CrossDomainBytes/kilobyte))
	}
	return lines
}
