// Package standin is a small stand-in for the platform that ambertiller runs
// on: its log, its instance list, and workers with a backend server each. It
// keeps everything in memory and is meant for trying ambertiller out and for
// tests, never for real work.
//
// # Usage
//
//	platform, err := standin.Start(ctx, standin.Options{Layout: standin.Layout{Network: "127.70"}, Workers: 3, Entries: 2})
//	defer platform.Close()
//
// Every instance has an IP number of its own on the loopback network, so that
// ports are the same everywhere; see [Layout].
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

// Ports, the same on every IP number.
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
	workersPerSubnet     = 250
	bytesPerGiB          = 1 << 30
	readHeaderTimeout    = 5 * time.Second
	firstWorkerOctet     = 2
	milliCPUPerProcessor = 1000
)

// Layout gives each instance its addresses.
type Layout struct {
	// Network is the first two parts of every IP number, such as 127.70.
	Network string
}

// Platform returns the address of the log and the instance list.
func (layout Layout) Platform() string { return fmt.Sprintf("%s.0.1:%d", layout.Network, PlatformPort) }

// Entry returns the address of a port of an entry, counted from 1.
func (layout Layout) Entry(index, port int) string {
	return fmt.Sprintf("%s.1.%d:%d", layout.Network, index, port)
}

// Worker returns the address of a port of a worker, or of what runs beside
// it, counted from 1.
func (layout Layout) Worker(index, port int) string {
	return fmt.Sprintf("%s.%d.%d:%d", layout.Network, firstWorkerOctet+(index-1)/workersPerSubnet, (index-1)%workersPerSubnet+1, port)
}

// Options sets up a Platform. Zero values stand for the defaults.
type Options struct {
	Layout Layout
	// Workers and Entries are how many instances there are. Default 3 and 2.
	Workers int
	Entries int
	// FailureDomains are given to workers and entries in turn.
	FailureDomains []string
	// Processors, MemoryGiB and Accelerators are what a worker has. Default 32, 125, 1.
	Processors   int
	MemoryGiB    int
	Accelerators int
	// WorkTime is how long a request takes at a backend server.
	WorkTime time.Duration
	// AppendsPerSecond bounds the log. Default 300.
	AppendsPerSecond int
	// WatchKinds are the kinds whose tasks stream until they are cancelled.
	WatchKinds []string
}

func (options Options) withDefaults() Options {
	defaults := []struct {
		value     *int
		otherwise int
	}{
		{&options.Workers, 3},
		{&options.Entries, 2},
		{&options.Processors, 32},
		{&options.MemoryGiB, 125},
		{&options.Accelerators, 1},
		{&options.AppendsPerSecond, 300},
	}
	for _, each := range defaults {
		if *each.value == 0 {
			*each.value = each.otherwise
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

// Platform is a running stand-in.
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

// Start brings a platform up.
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

func (platform *Platform) serve(ctx context.Context, address string, handler http.Handler) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return errors.Wrap(err, "stand-in: listen")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	platform.servers = append(platform.servers, server)
	platform.goroutines.Go(func() { _ = server.Serve(listener) })
	return nil
}

// Close ends the platform at once.
func (platform *Platform) Close() {
	platform.cancel()
	for _, server := range platform.servers {
		_ = server.Close()
	}
	platform.goroutines.Wait()
}

// Log returns the platform's log.
func (platform *Platform) Log() *Log { return platform.log }

// Worker returns a worker, counted from 1.
func (platform *Platform) Worker(index int) *Worker { return platform.workers[index-1] }

// Backend returns a backend server, counted from 1.
func (platform *Platform) Backend(index int) *Backend { return platform.backends[index-1] }

// WorkerName returns the name of a worker, counted from 1.
func WorkerName(index int) string { return fmt.Sprintf("worker-%02d", index) }

// EntryName returns the name of an entry, counted from 1.
func EntryName(index int) string { return fmt.Sprintf("entry-%d", index) }

// FailureDomain returns the failure domain of an instance, counted from 1.
func (options Options) FailureDomain(index int) string {
	domains := options.withDefaults().FailureDomains
	return domains[(index-1)%len(domains)]
}

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

const stateGone = "gone"

// Instances returns the list as it is now; instances that are gone are left out.
func (platform *Platform) Instances() []instances.Instance {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	listed := make([]instances.Instance, 0, len(platform.instances))
	for _, each := range platform.instances {
		if each.State != stateGone {
			listed = append(listed, each)
		}
	}
	return listed
}

// setInstanceState changes what the list says of an instance.
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
