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

func tracked(name string, trace *[]string, needs ...string) kernel.Service {
	return kernel.Service{
		Name: name, Needs: needs, Provides: name + "'s value",
		Start: func(context.Context) error { *trace = append(*trace, "start "+name); return nil },
		Stop:  func(context.Context) error { *trace = append(*trace, "stop "+name); return nil },
	}
}

func build(t *testing.T, services ...kernel.Service) *kernel.Kernel {
	t.Helper()
	kern := kernel.New()
	for _, service := range services {
		if err := kern.Register(service); err != nil {
			t.Fatal(err)
		}
	}
	return kern
}

func TestOrder(t *testing.T) {
	var trace []string
	kern := build(t, tracked("http", &trace, "role"), tracked("role", &trace, "pool", "log"), tracked("log", &trace), tracked("pool", &trace))
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
	if !slices.Equal(trace, want) {
		t.Errorf("got %v", trace)
	}
}

func TestFailedStartStopsTheStarted(t *testing.T) {
	var trace []string
	bad := kernel.Service{Name: "bad", Needs: []string{"log"}, Start: func(context.Context) error { return errors.New("no room") }}
	kern := build(t, tracked("log", &trace), bad, tracked("http", &trace, "bad"))
	if err := kern.Start(context.Background()); err == nil || !strings.Contains(err.Error(), "no room") {
		t.Fatalf("got %v", err)
	}
	if !slices.Equal(trace, []string{"start log", "stop log"}) {
		t.Errorf("got %v", trace)
	}
}

func TestFaults(t *testing.T) {
	var trace []string
	tests := map[string]struct {
		services []kernel.Service
		want     string
	}{
		"missing":  {[]kernel.Service{tracked("a", &trace, "b")}, `"b", which is not registered`},
		"circular": {[]kernel.Service{tracked("a", &trace, "b"), tracked("b", &trace, "a")}, "need each other"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if err := build(t, test.services...).Start(context.Background()); err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("got %v", err)
			}
		})
	}
	kern := build(t, tracked("a", &trace))
	if kern.Register(tracked("a", &trace)) == nil || kern.Register(kernel.Service{}) == nil {
		t.Error("a name in use or an empty one was taken")
	}
}

func ExampleKernel() {
	kern := kernel.New()
	log := kernel.Service{Name: "log", Provides: "the log"}
	role := kernel.Service{Name: "role", Needs: []string{"log"}, Start: func(context.Context) error {
		found, err := kern.Lookup("log")
		fmt.Println("role found:", found)
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
