package gateway

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"

	"ambertiller.example/ambertiller/event"
)

// TestUnknownOwnersAreLoggedOnce checks that owners stay known while the store does not return them, and that
// each period of such failures is logged once, not at every failed read.
func TestUnknownOwnersAreLoggedOnce(t *testing.T) {
	var lines bytes.Buffer
	events, err := event.Open(&lines, "json", "info")
	if err != nil {
		t.Fatal(err)
	}
	directory := newOwnerDirectory(Options{Events: events})
	ctx := context.Background()
	countLogged := func() int { return strings.Count(lines.String(), "owners unknown") }
	directory.updateOwners(ctx, map[int]string{3: "edge-1|10.0.0.1:7001"}, nil)
	for range 3 {
		directory.updateOwners(ctx, nil, errors.New("the store is unavailable"))
	}
	if directory.owners[3] == "" || countLogged() != 1 {
		t.Errorf("owners %v, logged %d times", directory.owners, countLogged())
	}
	directory.updateOwners(ctx, map[int]string{3: "edge-2|10.0.0.2:7001"}, nil)
	directory.updateOwners(ctx, nil, errors.New("the store is unavailable again"))
	if directory.owners[3] != "edge-2|10.0.0.2:7001" || countLogged() != 2 {
		t.Errorf("owners %v, logged %d times", directory.owners, countLogged())
	}
}
