package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// restartDelay is how long after its end a process is started again, as the platform does.
const restartDelay = 500 * time.Millisecond

// process is a gateway or an agent, started with its command in the deploy file.
type process struct {
	name, ip string
	words    []string
	settings string
	logPath  string
	records  *ledger

	mu      sync.Mutex
	command *exec.Cmd
	closing bool
	ended   chan struct{}
}

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
	command := exec.Command(p.words[0], p.words[1:]...) //nolint:gosec,noctx // The words come from the deploy file.
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "AMBERTILLER_BOOT=" + p.settings}
	command.Stdout, command.Stderr = logFile, logFile
	if err := command.Start(); err != nil {
		_ = logFile.Close()
		return err
	}
	p.command, p.ended = command, make(chan struct{})
	ended := p.ended
	go func() {
		waitErr := command.Wait()
		_ = logFile.Close()
		close(ended)
		p.records.note("process %s ended: %v", p.name, waitErr)
		time.Sleep(restartDelay)
		if err := p.start(); err != nil {
			p.records.note("process %s can't be started: %v", p.name, err)
		}
	}()
	return nil
}

// signal sends a signal to the process.
func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		_ = p.command.Process.Signal(sig)
	}
}

// close ends the process for good and waits until it is gone.
func (p *process) close() {
	p.mu.Lock()
	p.closing = true
	ended := p.ended
	p.mu.Unlock()
	if ended == nil {
		return
	}
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-ended
}

// deployment is a small deployment: gateways, agents with a worker each, and the store.
type deployment struct {
	dir, network string
	guard        net.Listener // reserves network
	store        *store
	records      *ledger
	gateways     []*process
	agents       []*process
	workers      []*worker
	cancel       context.CancelFunc
}

// workersPerRack is how many workers are in a rack.
const workersPerRack = 3

// settingsText is the settings file of a node, in the format of the platform.
const settingsText = `node_name = %q
role = %q
machine_class = %q
serves = [%q]
ip = %q
zone = "milano-a"
region = "lombardia"
internal_ports = [7720,7735]
seeds = []
bootstrap = true
discovery = "local"
entry = "vip"
heartbeat_ms = 1100
commands = "invocation"
app = %q
[zones]
milano-a = "lombardia"
[listen_addrs]
frontend = %q
readiness = %q
control = %q
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
contact_ms = 3000
ack_timeout_ms = 4000
drain_ms = 2000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 2000
max_skew_ms = 5000
recovery_s = 12
max_hold_ms = 6000
stop_ms = 200
gang_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
save_s = 2
restore_ms = 100
notice_ms = 4500
lease_ms = 3000
pace_ms = 100
harm_ms = 4000
[platform]
address = %q
form = "log"
writes_per_s = 800
reads_per_s = 2000
parts = 8
append_ms = 4.0
part_mb_per_s = 20.0
read_mb_per_s = 80.0
record_bytes = 262144
call_bytes = 2097152
keep_s = 300
part_mb = 200
ttl_min_ms = 1000
`

// newDeployment prepares the stand-ins. Nothing is started yet.
func newDeployment(dir string, records *ledger) (*deployment, error) {
	for octet := range 60 {
		network := fmt.Sprintf("127.%d", 140+(os.Getpid()+octet)%60)
		guard, err := net.Listen("tcp", network+".0.1:8161") //nolint:noctx // It listens on a loopback address.
		if err != nil {
			continue
		}
		return &deployment{dir: dir, network: network, guard: guard, store: newStore(records), records: records}, nil
	}
	return nil, errors.New("no loopback network is free")
}

// addProcess prepares a process with its settings.
func (d *deployment) addProcess(name, role, class, ip, app string, command string) (*process, error) {
	frontend, readiness := ip+":8161", ip+":8167"
	if class == "side" {
		frontend, readiness = "", ""
	}
	text := fmt.Sprintf(settingsText, name, role, class, class, ip, app, frontend, readiness, ip+":8166", d.store.address())
	settings := filepath.Join(d.dir, name+".toml")
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil { //nolint:gosec // The path is in a temporary folder.
		return nil, err
	}
	return &process{
		name: name, ip: ip, words: strings.Fields(command), settings: settings,
		logPath: filepath.Join(d.dir, name+".log"), records: d.records,
	}, nil
}

// addGateway adds a gateway.
func (d *deployment) addGateway(command string) error {
	index := len(d.gateways)
	p, err := d.addProcess(fmt.Sprintf("edge-%d", index), "gateway", "edge", fmt.Sprintf("%s.1.%d", d.network, index+1), "", command)
	if err != nil {
		return err
	}
	d.gateways = append(d.gateways, p)
	return nil
}

// addSide adds a worker and its agent.
func (d *deployment) addSide(command string, cpu, memMB int64, needs func(task string) (need, bool)) error {
	index := len(d.agents)
	ip := fmt.Sprintf("%s.2.%d", d.network, index+1)
	w := newWorker(fmt.Sprintf("i-%d", index), serviceName, fmt.Sprintf("r1-%d", index/workersPerRack), ip+":8166", cpu, memMB, needs, d.records)
	p, err := d.addProcess(fmt.Sprintf("side-%d", index), "agent", "side", ip, w.address(), command)
	if err != nil {
		return err
	}
	d.workers, d.agents = append(d.workers, w), append(d.agents, p)
	return nil
}

// start starts all processes, and the heartbeats of the workers.
func (d *deployment) start(ctx context.Context) error {
	ctx, d.cancel = context.WithCancel(ctx)
	for _, p := range append(append([]*process{}, d.agents...), d.gateways...) {
		if err := p.start(); err != nil {
			return err
		}
	}
	for _, w := range d.workers {
		go w.serve(ctx)
	}
	return nil
}

// close ends everything that the deployment has started.
func (d *deployment) close() {
	if d.cancel != nil {
		d.cancel()
	}
	for _, p := range append(append([]*process{}, d.agents...), d.gateways...) {
		p.close()
	}
	for _, w := range d.workers {
		w.server.CloseClientConnections()
	}
	d.store.server.CloseClientConnections()
	_ = d.guard.Close()
}
