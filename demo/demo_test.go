package demo_test

import (
	"context"
	"fmt"
	"os"
	"strings"
	"testing"

	"ambertiller.example/ambertiller/demo"
)

// TestRun runs all steps of the demo on real sockets.
func TestRun(t *testing.T) {
	var out strings.Builder
	err := demo.Run(context.Background(), demo.Options{Network: fmt.Sprintf("127.%d", 10+os.Getpid()%50), Out: &out})
	if err != nil {
		t.Errorf("%v\n%s", err, out.String())
	}
	if !strings.Contains(out.String(), "every step was checked") {
		t.Errorf("output does not report that every step was checked: %s", out.String())
	}
}
