// Package kernel starts and stops the services of one process in dependency order, and lets them look each
// other up by name.
//
// A service has a name, the names of the services it needs, and functions to start and stop it. The kernel
// starts a service after those it needs and stops services in the reverse order, so a service can use its
// dependencies until its own Stop has returned. This order lets a planned shutdown interrupt no work: the
// listener stops accepting first, then the work in flight completes, then the connections that it used are
// closed.
//
// # Usage
//
//	kern := kernel.New()
//	if err := kern.Register(journalService); err != nil { ... }
//	if err := kern.Register(listenerService); err != nil { ... }
//	if err := kern.Start(ctx); err != nil { ... }
//	defer kern.Stop(ctx)
//
// A service looks up another one in its Start function:
//
//	provided, err := kern.Lookup("journal")
//	journal, ok := provided.(*changelog.Journal)
package kernel

import (
	"context"
	"slices"
	"sync"

	"github.com/pkg/errors"
)

// Service is a component of a process that the kernel starts and stops.
type Service struct {
	// Name is unique among the services of a kernel.
	Name string
	// Needs names the services that start before this one and stop after it.
	Needs []string
	// Provides is the value that Lookup returns for the service.
	Provides any
	// Start starts the service and returns once it is up; it must not block for as long as the service runs.
	// Nil means that there is nothing to start.
	Start func(ctx context.Context) error
	// Stop completes the work in flight, or as much of it as possible until ctx ends, and returns. Nil means
	// that there is nothing to stop.
	Stop func(ctx context.Context) error
}

// Kernel starts and stops the services of one process.
type Kernel struct {
	mu         sync.Mutex
	services   map[string]Service
	registered []string
	started    []string
}

// New returns a kernel without services.
func New() *Kernel {
	return &Kernel{services: map[string]Service{}}
}

// Register adds a service. It returns an error if the name is empty or already registered.
func (kern *Kernel) Register(service Service) error {
	kern.mu.Lock()
	defer kern.mu.Unlock()
	if service.Name == "" {
		return errors.New("kernel: service has no name")
	}
	if _, isRegistered := kern.services[service.Name]; isRegistered {
		return errors.Errorf("kernel: service %q is already registered; rename one of the two", service.Name)
	}
	kern.services[service.Name] = service
	kern.registered = append(kern.registered, service.Name)
	return nil
}

// Lookup returns the value that the named service provides.
func (kern *Kernel) Lookup(name string) (any, error) {
	kern.mu.Lock()
	defer kern.mu.Unlock()
	service, isRegistered := kern.services[name]
	if !isRegistered {
		return nil, errors.Errorf("kernel: service %q is not registered; register it before it is looked up", name)
	}
	return service.Provides, nil
}

// Start starts all services in dependency order. If one fails to start, Start stops those that have started
// and returns the error.
func (kern *Kernel) Start(ctx context.Context) error {
	sorted, err := kern.startOrder()
	if err != nil {
		return err
	}
	for _, service := range sorted {
		if err := startService(ctx, service); err != nil {
			stopErr := kern.Stop(ctx)
			if stopErr != nil {
				return errors.Wrapf(err, "kernel: start %s (stopping the started services failed too: %v)", service.Name, stopErr)
			}
			return errors.Wrapf(err, "kernel: start %s", service.Name)
		}
		kern.mu.Lock()
		kern.started = append(kern.started, service.Name)
		kern.mu.Unlock()
	}
	return nil
}

// Stop stops the started services in the reverse of their start order and returns the first error. It stops
// all of them even if some fail to stop. A second call does nothing.
func (kern *Kernel) Stop(ctx context.Context) error {
	kern.mu.Lock()
	names := slices.Clone(kern.started)
	kern.started = nil
	kern.mu.Unlock()
	slices.Reverse(names)
	var firstErr error
	for _, name := range names {
		kern.mu.Lock()
		service := kern.services[name]
		kern.mu.Unlock()
		if service.Stop == nil {
			continue
		}
		if err := service.Stop(ctx); err != nil && firstErr == nil {
			firstErr = errors.Wrapf(err, "kernel: stop %s", name)
		}
	}
	return firstErr
}

func startService(ctx context.Context, service Service) error {
	if service.Start == nil {
		return nil
	}
	return service.Start(ctx)
}

// startOrder returns the services in dependency order, and otherwise in the order of their registration.
func (kern *Kernel) startOrder() ([]Service, error) {
	kern.mu.Lock()
	defer kern.mu.Unlock()
	var sorted []Service
	visited := map[string]bool{}
	visiting := map[string]bool{}
	var visit func(name, dependent string) error
	visit = func(name, dependent string) error {
		if visited[name] {
			return nil
		}
		service, isRegistered := kern.services[name]
		if !isRegistered {
			return errors.Errorf("kernel: %s needs %q, which is not registered", dependent, name)
		}
		if visiting[name] {
			return errors.Errorf("kernel: circular dependency between %s and %s; remove one dependency", dependent, name)
		}
		visiting[name] = true
		for _, need := range service.Needs {
			if err := visit(need, name); err != nil {
				return err
			}
		}
		visited[name] = true
		sorted = append(sorted, service)
		return nil
	}
	for _, name := range kern.registered {
		if err := visit(name, "the kernel"); err != nil {
			return nil, err
		}
	}
	return sorted, nil
}
