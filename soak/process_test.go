package soak

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"ambertiller.example/ambertiller/feature"
	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/standin/bootfile"
	"ambertiller.example/ambertiller/standin/relay"
)

// process runs a gateway or an agent, and restarts it whenever it exits.
type process struct {
	role, name, ip        string
	binary                string
	settingsPath, logPath string
	// storeRelay is the relay through which the process connects to the platform's store.
	storeRelay *relay.Relay

	disturbed *disturbances

	mu      sync.Mutex
	command *exec.Cmd
	closing bool
	starts  int
	// awayUntil is the time until which the process is not restarted.
	awayUntil time.Time
}

// maxLease is the longest lease that workers accept.
const maxLease = 10 * time.Second

// newProcess writes the settings of a process without starting it.
func newProcess(ctx context.Context, t *testing.T, d *deployment, role, name, ip, workerAddress string) *process {
	t.Helper()
	storeRelay, err := relay.New(ctx, d.storeAddress)
	if err != nil {
		t.Fatal(err)
	}
	p := &process{
		role: role, name: name, ip: ip, binary: d.binary, storeRelay: storeRelay, disturbed: d.disturbed,
		settingsPath: filepath.Join(d.dir, name+".toml"), logPath: filepath.Join(d.dir, name+".log"),
	}
	settings := bootfile.File{NodeName: name, IP: ip, WorkerAddress: workerAddress, StoreAddress: storeRelay.Address(), MaxLease: maxLease}
	if err := settings.Write(p.settingsPath); err != nil {
		t.Fatal(err)
	}
	return p
}

// start starts the process, and restarts it whenever it exits, until close is called.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closing {
		return nil
	}
	logFile, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(p.binary, p.role, "--enable", strings.Join(feature.Names(), ","))
	command.Env = append(os.Environ(), platform.SettingsVariable+"="+p.settingsPath)
	command.Stdout, command.Stderr = logFile, logFile
	if err := command.Start(); err != nil {
		return err
	}
	p.command = command
	p.starts++
	p.disturbed.record(p.name)
	go func() {
		// The process logs why it exits.
		_ = command.Wait()
		_ = logFile.Close()
		time.Sleep(max(restartDelay, p.awayTime()))
		_ = p.start()
	}()
	return nil
}

// restartDelay is how long a process that has exited stays down.
const restartDelay = 300 * time.Millisecond

// awayTime returns how long the process is not to be restarted.
func (p *process) awayTime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Until(p.awayUntil)
}

// takeAway stops the process as a machine is taken away, and keeps it away for a duration.
func (p *process) takeAway(duration time.Duration) {
	p.mu.Lock()
	p.awayUntil = time.Now().Add(duration)
	p.mu.Unlock()
	p.signal(syscall.SIGTERM)
}

// startCount returns how often the process has been started.
func (p *process) startCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

// signal sends the process a signal. It does nothing if the process has just exited. A signal to reload settings
// must not disturb the process.
func (p *process) signal(sig syscall.Signal) {
	if sig != syscall.SIGHUP {
		p.disturbed.record(p.name)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		_ = p.command.Process.Signal(sig)
	}
}

// pause suspends the process for a duration.
func (p *process) pause(ctx context.Context, duration time.Duration) {
	defer p.disturbed.begin(p.name)()
	p.signal(syscall.SIGSTOP)
	sleep(ctx, duration)
	p.signal(syscall.SIGCONT)
}

// close kills the process and prevents further restarts.
func (p *process) close() {
	p.mu.Lock()
	p.closing = true
	p.mu.Unlock()
	p.signal(syscall.SIGKILL)
}

// sleep waits for a duration, or until ctx is done.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
