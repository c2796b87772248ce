package kernel_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"ambertiller.example/ambertiller/kernel"
)

func newTracedService(name string, calls *[]string, needs ...string) kernel.Service {
	return kernel.Service{
		Name: name, Needs: needs, Provides: name + "'s value",
		Start: func(context.Context) error { *calls = append(*calls, "start "+name); return nil },
		Stop:  func(context.Context) error { *calls = append(*calls, "stop "+name); return nil },
	}
}

func newKernel(t *testing.T, services ...kernel.Service) *kernel.Kernel {
	t.Helper()
	kern := kernel.New()
	for _, service := range services {
		if err := kern.Register(service); err != nil {
			t.Fatal(err)
		}
	}
	return kern
}

func TestStartAndStopOrder(t *testing.T) {
	var calls []string
	kern := newKernel(t, newTracedService("http", &calls, "role"), newTracedService("role", &calls, "pool", "log"), newTracedService("log", &calls), newTracedService("pool", &calls))
	if err := kern.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	if err := kern.Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	if err := kern.Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	want := []string{"start pool", "start log", "start role", "start http", "stop http", "stop role", "stop log", "stop pool"}
	if !slices.Equal(calls, want) {
		t.Errorf("got %v", calls)
	}
}

func TestFailedStartStopsStartedServices(t *testing.T) {
	var calls []string
	bad := kernel.Service{Name: "bad", Needs: []string{"log"}, Start: func(context.Context) error { return errors.New("no room") }}
	kern := newKernel(t, newTracedService("log", &calls), bad, newTracedService("http", &calls, "bad"))
	if err := kern.Start(context.Background()); err == nil || !strings.Contains(err.Error(), "no room") {
		t.Fatalf("got %v", err)
	}
	if !slices.Equal(calls, []string{"start log", "stop log"}) {
		t.Errorf("got %v", calls)
	}
}

func TestErrors(t *testing.T) {
	var calls []string
	tests := map[string]struct {
		services []kernel.Service
		want     string
	}{
		"missing dependency":  {[]kernel.Service{newTracedService("a", &calls, "b")}, `"b", which is not registered`},
		"circular dependency": {[]kernel.Service{newTracedService("a", &calls, "b"), newTracedService("b", &calls, "a")}, "circular dependency between b and a"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if err := newKernel(t, test.services...).Start(context.Background()); err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("got %v", err)
			}
		})
	}
	kern := newKernel(t, newTracedService("a", &calls))
	if kern.Register(newTracedService("a", &calls)) == nil || kern.Register(kernel.Service{}) == nil {
		t.Error("a duplicate or empty name was accepted")
	}
}

func ExampleKernel() {
	kern := kernel.New()
	log := kernel.Service{Name: "log", Provides: "the log"}
	role := kernel.Service{Name: "role", Needs: []string{"log"}, Start: func(context.Context) error {
		provided, err := kern.Lookup("log")
		fmt.Println("role found:", provided)
		return err
	}}
	for _, service := range []kernel.Service{role, log} {
		if err := kern.Register(service); err != nil {
			fmt.Println(err)
		}
	}
	fmt.Println(kern.Start(context.Background()))
	// Output:
	// role found: the log
	// <nil>
}
