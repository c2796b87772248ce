package report

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Traffic summarizes the messages of one kind between processes.
type Traffic struct {
	Kind     string `json:"kind"`
	Messages int64  `json:"messages"`
	// SameDomainBytes were sent within a failure domain, CrossDomainBytes from one to another.
	SameDomainBytes  int64 `json:"near"`
	CrossDomainBytes int64 `json:"far"`
}

// applyMessagesSent adds the messages that a process has logged as sent.
func (h *history) applyMessagesSent(ln *line) {
	traffic, isKnown := h.traffic[ln.Kind]
	if !isKnown {
		traffic = &Traffic{Kind: ln.Kind}
		h.traffic[ln.Kind] = traffic
	}
	traffic.Messages += ln.Messages
	if ln.SameDomain {
		traffic.SameDomainBytes += ln.Bytes
		return
	}
	traffic.CrossDomainBytes += ln.Bytes
}

// sortedTraffic returns the traffic of all kinds, sorted by bytes in descending order.
func (h *history) sortedTraffic() []Traffic {
	var all []Traffic
	for _, traffic := range h.traffic {
		all = append(all, *traffic)
	}
	slices.SortFunc(all, func(a, b Traffic) int {
		return cmp.Or(cmp.Compare(b.SameDomainBytes+b.CrossDomainBytes, a.SameDomainBytes+a.CrossDomainBytes), strings.Compare(a.Kind, b.Kind))
	})
	return all
}

// kilobyte is the unit in which traffic is printed, in bytes.
const kilobyte = 1000

func (r *Report) trafficLines() []string {
	if len(r.Traffic) == 0 {
		return nil
	}
	lines := []string{"MESSAGES\tCOUNT\tKB NEAR\tKB TO OTHER FAILURE DOMAINS"}
	for _, traffic := range r.Traffic {
		lines = append(lines, fmt.Sprintf("%s\t%d\t%d\t%d", traffic.Kind, traffic.Messages, traffic.SameDomainBytes/kilobyte, traffic.CrossDomainBytes/kilobyte))
	}
	return lines
}
