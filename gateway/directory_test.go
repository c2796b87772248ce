package gateway

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"

	"ambertiller.example/ambertiller/event"
)

// TestUnknownOwnersAreLoggedOnce: while the store does not name the owners, those known
// before are asked on, and the log says so once each time.
func TestUnknownOwnersAreLoggedOnce(t *testing.T) {
	var lines bytes.Buffer
	events, err := event.Open(&lines, "json", "info")
	if err != nil {
		t.Fatal(err)
	}
	made := newOwnerDirectory(Options{Events: events})
	ctx := context.Background()
	said := func() int { return strings.Count(lines.String(), "owners unknown") }
	made.updateOwners(ctx, map[int]string{3: "edge-1|10.0.0.1:7001"}, nil)
	for range 3 {
		made.updateOwners(ctx, nil, errors.New("the store is away"))
	}
	if made.owners[3] == "" || said() != 1 {
		t.Errorf("owners %v, said %d times", made.owners, said())
	}
	made.updateOwners(ctx, map[int]string{3: "edge-2|10.0.0.2:7001"}, nil)
	made.updateOwners(ctx, nil, errors.New("the store is away again"))
	if made.owners[3] != "edge-2|10.0.0.2:7001" || said() != 2 {
		t.Errorf("owners %v, said %d times", made.owners, said())
	}
}
