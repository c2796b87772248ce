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

func newTracedService(name string, trace *[]string, needs ...string) kernel.Service {
	return kernel.Service{
		Name: name, Needs: needs, Provides: name + "'s value",
		Start: func(context.Context) error { *trace = append(*trace, "start "+name); return nil },
		Stop:  func(context.Context) error { *trace = append(*trace, "stop "+name); return nil },
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
	var trace []string
	kern := newKernel(t, newTracedService("http", &trace, "role"), newTracedService("role", &trace, "pool", "log"), newTracedService("log", &trace), newTracedService("pool", &trace))
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

func TestFailedStartStopsStartedServices(t *testing.T) {
	var trace []string
	bad := kernel.Service{Name: "bad", Needs: []string{"log"}, Start: func(context.Context) error { return errors.New("no room") }}
	kern := newKernel(t, newTracedService("log", &trace), bad, newTracedService("http", &trace, "bad"))
	if err := kern.Start(context.Background()); err == nil || !strings.Contains(err.Error(), "no room") {
		t.Fatalf("got %v", err)
	}
	if !slices.Equal(trace, []string{"start log", "stop log"}) {
		t.Errorf("got %v", trace)
	}
}

func TestErrors(t *testing.T) {
	var trace []string
	tests := map[string]struct {
		services []kernel.Service
		want     string
	}{
		"missing":  {[]kernel.Service{newTracedService("a", &trace, "b")}, `"b", which is not registered`},
		"circular": {[]kernel.Service{newTracedService("a", &trace, "b"), newTracedService("b", &trace, "a")}, "need each other"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if err := newKernel(t, test.services...).Start(context.Background()); err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("got %v", err)
			}
		})
	}
	kern := newKernel(t, newTracedService("a", &trace))
	if kern.Register(newTracedService("a", &trace)) == nil || kern.Register(kernel.Service{}) == nil {
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
