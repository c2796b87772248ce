package soak

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/standin/bootfile"
	"ambertiller.example/ambertiller/standin/relay"
)

// process is one program of the system, which may be started again and again.
type process struct {
	role, name, ip        string
	binary                string
	settingsPath, logPath string
	// storeRelay is what the process reaches the platform's store by.
	storeRelay *relay.Relay

	mu      sync.Mutex
	command *exec.Cmd
	closing bool
}

// maxLease is the longest lease that workers take.
const maxLease = 10 * time.Second

// newProcess prepares a process; it runs once it is started.
func newProcess(ctx context.Context, t *testing.T, made *deployment, role, name, ip, app string) *process {
	t.Helper()
	between, err := relay.New(ctx, made.storeAddress)
	if err != nil {
		t.Fatal(err)
	}
	prepared := &process{
		role: role, name: name, ip: ip, binary: made.binary, storeRelay: between,
		settingsPath: filepath.Join(made.dir, name+".toml"), logPath: filepath.Join(made.dir, name+".log"),
	}
	file := bootfile.File{NodeName: name, IP: ip, WorkerAddress: app, StoreAddress: between.Address(), MaxLease: maxLease}
	if err := file.Write(prepared.settingsPath); err != nil {
		t.Fatal(err)
	}
	return prepared
}

// start starts the process anew, and again whenever it has ended, until close.
func (of *process) start() error {
	of.mu.Lock()
	defer of.mu.Unlock()
	if of.closing {
		return nil
	}
	log, err := os.OpenFile(of.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(of.binary, of.role)
	command.Env = append(os.Environ(), platform.SettingsVariable+"="+of.settingsPath)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	of.command = command
	go func() {
		// How it ended is in its log.
		_ = command.Wait()
		_ = log.Close()
		time.Sleep(restartDelay)
		_ = of.start()
	}()
	return nil
}

// restartDelay is how long a process that has ended is away.
const restartDelay = 300 * time.Millisecond

// signal sends the process a signal; one that has just ended gets none.
func (of *process) signal(what syscall.Signal) {
	of.mu.Lock()
	defer of.mu.Unlock()
	if of.command != nil {
		_ = of.command.Process.Signal(what)
	}
}

// pause stands the process still.
func (of *process) pause(ctx context.Context, length time.Duration) {
	of.signal(syscall.SIGSTOP)
	sleep(ctx, length)
	of.signal(syscall.SIGCONT)
}

// close ends the process for good.
func (of *process) close() {
	of.mu.Lock()
	of.closing = true
	of.mu.Unlock()
	of.signal(syscall.SIGKILL)
}

// sleep waits for a while, or until ctx ends.
func sleep(ctx context.Context, length time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(length):
	}
}
