// Package standin is an in-memory stand-in for the platform on which ambertiller runs: its log, its instance
// list, and workers with a backend server each. It is meant for demonstrations and tests, not for production.
//
// # Usage
//
//	platform, err := standin.Start(ctx, standin.Options{Layout: standin.Layout{Network: "127.70"}, Workers: 3, Entries: 2})
//	defer platform.Close()
//
// Every instance has its own IP address in the loopback network, so that the ports are the same on all of
// them; see [Layout].
package standin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"ambertiller.example/ambertiller/instances"
	"ambertiller.example/ambertiller/worker"
)

// Ports of the instances, the same on every IP address.
const (
	PlatformPort   = 7000
	WorkerPort     = 7101
	BackendPort    = 7102
	GuardPort      = 7103
	GuardAdminPort = 7104
	EntryHTTPPort  = 7201
	EntryRPCPort   = 7202
)

const (
	workersPerRack       = 3
	workersPerSubnet     = 250 // workers whose IP addresses have the same third octet
	bytesPerGiB          = 1 << 30
	readHeaderTimeout    = 5 * time.Second
	firstWorkerOctet     = 2 // third octet of the IP address of the first worker
	milliCPUPerProcessor = 1000
)

// Layout assigns addresses to the instances.
type Layout struct {
	// Network is the first two octets of every IP address, such as 127.70.
	Network string
}

// Platform returns the address of the log and the instance list.
func (layout Layout) Platform() string { return fmt.Sprintf("%s.0.1:%d", layout.Network, PlatformPort) }

// Entry returns the address of a port of an entry. Entries are numbered from 1.
func (layout Layout) Entry(index, port int) string {
	return fmt.Sprintf("%s.1.%d:%d", layout.Network, index, port)
}

// Worker returns the address of a port of a worker, or of its guard or backend server. Workers are numbered
// from 1.
func (layout Layout) Worker(index, port int) string {
	return fmt.Sprintf("%s.%d.%d:%d", layout.Network, firstWorkerOctet+(index-1)/workersPerSubnet, (index-1)%workersPerSubnet+1, port)
}

// Options configures a Platform. Zero values stand for the defaults.
type Options struct {
	Layout Layout
	// Workers and Entries are the numbers of instances. The defaults are 3 and 2.
	Workers int
	Entries int
	// FailureDomains are assigned to workers and to entries in turn. The default is milano-a, milano-b,
	// bergamo.
	FailureDomains []string
	// Processors, MemoryGiB and Accelerators are the capacity of a worker. The defaults are 32, 125 and 1.
	Processors   int
	MemoryGiB    int
	Accelerators int
	// WorkTime is the time that a request takes at a backend server.
	WorkTime time.Duration
	// AppendsPerSecond limits the appends to the log. The default is 300.
	AppendsPerSecond int
	// WatchKinds are the kinds of tasks that stream until they are cancelled. The default is listener and
	// drift-watch.
	WatchKinds []string
}

// withDefaults returns the options with the defaults filled in.
func (options Options) withDefaults() Options {
	defaults := []struct {
		value    *int
		fallback int
	}{
		{&options.Workers, 3},
		{&options.Entries, 2},
		{&options.Processors, 32},
		{&options.MemoryGiB, 125},
		{&options.Accelerators, 1},
		{&options.AppendsPerSecond, 300},
	}
	for _, option := range defaults {
		if *option.value == 0 {
			*option.value = option.fallback
		}
	}
	if len(options.FailureDomains) == 0 {
		options.FailureDomains = []string{"milano-a", "milano-b", "bergamo"}
	}
	if len(options.WatchKinds) == 0 {
		options.WatchKinds = []string{"listener", "drift-watch"}
	}
	return options
}

// Platform is a running stand-in for the platform.
type Platform struct {
	options    Options
	log        *Log
	holds      *holdSet
	workers    []*Worker
	backends   []*Backend
	servers    []*http.Server
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu        sync.Mutex
	instances []instances.Instance
}

// Start starts a platform. It runs until Close is called; its workers also stop when ctx ends.
func Start(ctx context.Context, options Options) (*Platform, error) {
	options = options.withDefaults()
	platform := &Platform{options: options, log: NewLog(options.AppendsPerSecond), holds: newHoldSet()}
	platform.addInstances()
	ctx, platform.cancel = context.WithCancel(ctx)
	if err := platform.serve(ctx, options.Layout.Platform(), platform.platformHandler()); err != nil {
		platform.Close()
		return nil, err
	}
	for index := 1; index <= options.Workers; index++ {
		if err := platform.startWorker(ctx, index); err != nil {
			platform.Close()
			return nil, err
		}
	}
	return platform, nil
}

// startWorker starts a worker and its backend server.
func (platform *Platform) startWorker(ctx context.Context, index int) error {
	options := platform.options
	name := WorkerName(index)
	fake := NewWorker(WorkerOptions{
		Name: name,
		Capacity: worker.Capacity{
			MilliCPU:     int64(options.Processors) * milliCPUPerProcessor,
			MemoryBytes:  int64(options.MemoryGiB) * bytesPerGiB,
			Accelerators: int64(options.Accelerators),
			Rack:         fmt.Sprintf("rack-%d", (index-1)/workersPerRack+1),
		},
		WatchKinds: options.WatchKinds,
	})
	backend := NewBackend(name, options.WorkTime)
	backend.holds = platform.holds
	platform.workers = append(platform.workers, fake)
	platform.backends = append(platform.backends, backend)
	platform.goroutines.Go(func() { fake.Run(ctx) })
	if err := platform.serve(ctx, options.Layout.Worker(index, WorkerPort), fake.Handler()); err != nil {
		return err
	}
	return platform.serve(ctx, options.Layout.Worker(index, BackendPort), backend)
}

// serve serves handler on an address until Close is called.
func (platform *Platform) serve(ctx context.Context, address string, handler http.Handler) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen for connections to the stand-in platform")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	platform.servers = append(platform.servers, server)
	platform.goroutines.Go(func() { _ = server.Serve(listener) })
	return nil
}

// Close stops the platform without waiting for requests in flight.
func (platform *Platform) Close() {
	platform.cancel()
	for _, server := range platform.servers {
		_ = server.Close()
	}
	platform.goroutines.Wait()
}

// Log returns the platform's log.
func (platform *Platform) Log() *Log { return platform.log }

// Worker returns a worker. Workers are numbered from 1.
func (platform *Platform) Worker(index int) *Worker { return platform.workers[index-1] }

// Backend returns the backend server of a worker. Workers are numbered from 1.
func (platform *Platform) Backend(index int) *Backend { return platform.backends[index-1] }

// WorkerName returns the name of a worker. Workers are numbered from 1.
func WorkerName(index int) string { return fmt.Sprintf("worker-%02d", index) }

// EntryName returns the name of an entry. Entries are numbered from 1.
func EntryName(index int) string { return fmt.Sprintf("entry-%d", index) }

// FailureDomain returns the failure domain of a worker or an entry. Both are numbered from 1.
func (options Options) FailureDomain(index int) string {
	domains := options.withDefaults().FailureDomains
	return domains[(index-1)%len(domains)]
}

// addInstances adds the entries and the workers' guards to the instance list.
func (platform *Platform) addInstances() {
	options := platform.options
	for index := 1; index <= options.Entries; index++ {
		platform.instances = append(platform.instances, instances.Instance{
			Name:          EntryName(index),
			Role:          instances.Entry,
			Address:       options.Layout.Entry(index, EntryRPCPort),
			FailureDomain: options.FailureDomain(index),
			State:         instances.Live,
		})
	}
	for index := 1; index <= options.Workers; index++ {
		platform.instances = append(platform.instances, instances.Instance{
			Name:          WorkerName(index),
			Role:          instances.Guard,
			Address:       options.Layout.Worker(index, GuardPort),
			FailureDomain: options.FailureDomain(index),
			State:         instances.Live,
		})
	}
}

// stateGone is the state of an instance that is not listed. Unlike the others, it is not a state of package
// instances.
const stateGone = "gone"

// Instances returns the current instance list without the instances that are gone.
func (platform *Platform) Instances() []instances.Instance {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	list := make([]instances.Instance, 0, len(platform.instances))
	for _, instance := range platform.instances {
		if instance.State != stateGone {
			list = append(list, instance)
		}
	}
	return list
}

// setInstanceState changes the state of an instance in the list. It returns false if the name or the state is
// unknown.
func (platform *Platform) setInstanceState(name, state string) bool {
	switch state {
	case string(instances.Live), string(instances.Leaving), stateGone:
	default:
		return false
	}
	platform.mu.Lock()
	defer platform.mu.Unlock()
	for index := range platform.instances {
		if platform.instances[index].Name == name {
			platform.instances[index].State = instances.State(state)
			return true
		}
	}
	return false
}
