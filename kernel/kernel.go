// Package kernel starts and stops the services of one process and lets them
// find each other by name.
//
// A service has a name, the names of the services it needs, and functions to
// start and stop it. The kernel starts services after everything they need and
// stops them in the opposite order, so that a service can rely on what it
// depends on until its own Stop has returned. That order is what makes a
// planned stop cut nothing: the listener stops accepting first, then the work
// in flight ends, then the connections it used are closed.
//
// # Usage
//
//	kern := kernel.New()
//	if err := kern.Register(journalService); err != nil { ... }
//	if err := kern.Register(listenerService); err != nil { ... }
//	if err := kern.Start(ctx); err != nil { ... }
//	defer kern.Stop(ctx)
//
// A service reaches another one inside its Start:
//
//	found, err := kern.Lookup("journal")
//	records, ok := found.(*changelog.Journal)
package kernel

import (
	"context"
	"slices"
	"sync"

	"github.com/pkg/errors"
)

// Service is one part of a process.
type Service struct {
	// Name is unique in its kernel.
	Name string
	// Needs names the services that start before this one and stop after it.
	Needs []string
	// Provides is what Lookup returns for this service's name.
	Provides any
	// Start brings the service up and returns; it must not block for the
	// service's life. Nil means there is nothing to start.
	Start func(ctx context.Context) error
	// Stop finishes what is in flight until ctx ends and returns. Nil means
	// there is nothing to stop.
	Stop func(ctx context.Context) error
}

// Kernel holds the services of one process.
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

// Register adds a service. It fails on an empty name and on a name in use.
func (kern *Kernel) Register(service Service) error {
	kern.mu.Lock()
	defer kern.mu.Unlock()
	if service.Name == "" {
		return errors.New("kernel: a service needs a name")
	}
	if _, taken := kern.services[service.Name]; taken {
		return errors.Errorf("kernel: two services are named %q; rename one", service.Name)
	}
	kern.services[service.Name] = service
	kern.registered = append(kern.registered, service.Name)
	return nil
}

// Lookup returns what the named service provides.
func (kern *Kernel) Lookup(name string) (any, error) {
	kern.mu.Lock()
	defer kern.mu.Unlock()
	service, found := kern.services[name]
	if !found {
		return nil, errors.Errorf("kernel: no service is named %q; register it before it is looked up", name)
	}
	return service.Provides, nil
}

// Start starts every service in dependency order. When one fails, those that
// had started are stopped again and the failure is returned.
func (kern *Kernel) Start(ctx context.Context) error {
	sorted, err := kern.startOrder()
	if err != nil {
		return err
	}
	for _, service := range sorted {
		if err := startService(ctx, service); err != nil {
			stopErr := kern.Stop(ctx)
			if stopErr != nil {
				return errors.Wrapf(err, "kernel: start %s (and then stopping failed: %v)", service.Name, stopErr)
			}
			return errors.Wrapf(err, "kernel: start %s", service.Name)
		}
		kern.mu.Lock()
		kern.started = append(kern.started, service.Name)
		kern.mu.Unlock()
	}
	return nil
}

// Stop stops the started services in the opposite order and returns the first
// failure. Every service is stopped even when an earlier one fails. A second
// call does nothing.
func (kern *Kernel) Stop(ctx context.Context) error {
	kern.mu.Lock()
	names := slices.Clone(kern.started)
	kern.started = nil
	kern.mu.Unlock()
	slices.Reverse(names)
	var first error
	for _, name := range names {
		kern.mu.Lock()
		service := kern.services[name]
		kern.mu.Unlock()
		if service.Stop == nil {
			continue
		}
		if err := service.Stop(ctx); err != nil && first == nil {
			first = errors.Wrapf(err, "kernel: stop %s", name)
		}
	}
	return first
}

func startService(ctx context.Context, service Service) error {
	if service.Start == nil {
		return nil
	}
	return service.Start(ctx)
}

// startOrder returns the services in dependency order; among those that are free
// to start, in the order of registration.
func (kern *Kernel) startOrder() ([]Service, error) {
	kern.mu.Lock()
	defer kern.mu.Unlock()
	var sorted []Service
	placed := map[string]bool{}
	visiting := map[string]bool{}
	var visit func(name, from string) error
	visit = func(name, from string) error {
		if placed[name] {
			return nil
		}
		service, found := kern.services[name]
		if !found {
			return errors.Errorf("kernel: %s needs %q, which is not registered", from, name)
		}
		if visiting[name] {
			return errors.Errorf("kernel: %s and %s need each other; remove one dependency", from, name)
		}
		visiting[name] = true
		for _, need := range service.Needs {
			if err := visit(need, name); err != nil {
				return err
			}
		}
		placed[name] = true
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
