// Command stand plays the scripts of the second review: it starts gateways and agents with the commands of the deploy
// file, and is their platform, workers and clients.
//
// # Usage
//
//	stand CASE FOLDER
//
// It writes record.txt into the folder. It exits with 0 if the rule held, 1 if it was broken, and 2 if the case couldn't
// run. With TROUBLE=0 in its environment it leaves the disruption out.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/BurntSushi/toml"
)

// The exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

// maxTime bounds a script. It is below the 120 s that a script may run.
const maxTime = 110 * time.Second

// configuration is what the operator has written.
const configuration = `{"version":7,"routes":[{"name":"r-1","host":"q.example","path_prefix":"/q/","service":"verbale",` +
	`"priority":0,"attempts":3,"extension":1.5,"target_latency_ms":1000}],` +
	`"services":[{"name":"verbale","preconditions":true}],"limits":{}}`

// play is what a case needs while it runs.
type play struct {
	*deployment
	client  *client
	watch   *idleWatch
	trouble bool
}

// scenario is a case: the size of its deployment, and how it is played. An error says that the case couldn't run.
type scenario struct {
	gateways, sides int
	play            func(ctx context.Context, p *play) error
}

// scenarios holds the cases by the number of their folder.
var scenarios = map[string]scenario{
	"4": {gateways: 3, sides: 10, play: spreadJob},
	"5": {gateways: 3, sides: 10, play: crashes},
	"6": {gateways: 3, sides: 4, play: largeOrder},
	"7": {gateways: 3, sides: 10, play: pending},
	"8": {gateways: 1, sides: 3, play: drain},
}

func main() { os.Exit(runCase()) }

func runCase() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]].play == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		return exitUnable
	}
	records, err := newLedger(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	defer records.close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	defer os.RemoveAll(dir) //nolint:errcheck // It is a temporary folder.
	found, err := playCase(dir, records, scenarios[os.Args[1]], os.Getenv("TROUBLE") != "0")
	if len(found) > 0 {
		records.note("broken %d times", len(found))
		fmt.Printf("broken %d times; the first: %s\n", len(found), found[0])
		return exitBroken
	}
	if err != nil {
		records.note("the case couldn't run: %v", err)
		fmt.Println("the case couldn't run:", err)
		return exitUnable
	}
	records.note("held")
	fmt.Println("held")
	return exitHeld
}

// playCase plays a case, and returns where rules were broken.
func playCase(dir string, records *ledger, s scenario, trouble bool) ([]string, error) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxTime)
	defer cancel()
	d, err := newDeployment(dir, records)
	if err != nil {
		return nil, err
	}
	defer d.close()
	c := newClient(records)
	if err := d.add(s, c.jobs.needs); err != nil {
		return nil, err
	}
	d.store.inner.Put("keyed.op", 0, "config", []byte(configuration))
	if err := d.start(ctx); err != nil {
		return nil, err
	}
	p := &play{deployment: d, client: c, watch: &idleWatch{d: d, records: records}, trouble: trouble}
	records.note("disruption: %v", trouble)
	if err := p.warmUp(ctx); err != nil {
		return nil, err
	}
	go p.watch.run(ctx)
	if err := s.play(ctx, p); err != nil {
		return nil, err
	}
	p.watch.askAll(ctx, c)
	p.watch.mu.Lock()
	defer p.watch.mu.Unlock()
	return p.watch.found, ctx.Err()
}

// The size of a worker.
const (
	workerCPU   = 32_000
	workerMemMB = 128_000
)

// add adds the gateways and agents with the commands of the deploy file.
func (d *deployment) add(s scenario, needs func(task string) (need, bool)) error {
	var file struct {
		Roles map[string]struct {
			Run string `toml:"run"`
		} `toml:"roles"`
	}
	if _, err := toml.DecodeFile("deploy/system.toml", &file); err != nil {
		return err
	}
	for range s.gateways {
		if err := d.addGateway(file.Roles["gateway"].Run); err != nil {
			return err
		}
	}
	for range s.sides {
		if err := d.addSide(file.Roles["agent"].Run, workerCPU, workerMemMB, needs); err != nil {
			return err
		}
	}
	return nil
}

// leadTime is the time from the start of the machines to that of the traffic.
const leadTime = 10 * time.Second

// warmUp waits for the start of the traffic, and has a first job done.
func (p *play) warmUp(ctx context.Context) error {
	sleep(ctx, leadTime)
	first := smallJob(0)
	if !p.client.submit(ctx, p.gateways, first) {
		return errors.New("the first job was not accepted")
	}
	for range 100 {
		if _, done, _ := p.records.progress(first.id); done == first.tasks() {
			return nil
		}
		sleep(ctx, sampleTime)
	}
	return errors.New("the first job was not done in 10 s")
}

// smallJob returns a job of the steady traffic.
func smallJob(number int) *submission {
	return &submission{id: fmt.Sprintf("%016x", 0xa000+number*7919), Spec: "small", Steps: []step{{Count: 2, CPU: 500, MemMB: 500, EstimateMs: 500}}}
}

// trafficInterval is the time between two jobs of the steady traffic.
const trafficInterval = 250 * time.Millisecond

// traffic hands in small jobs for a time.
func (p *play) traffic(ctx context.Context, duration time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	for number := 1; ctx.Err() == nil; number++ {
		p.submit(ctx, smallJob(number))
		sleep(ctx, trafficInterval)
	}
}

// submit hands a job in and watches it if it is accepted.
func (p *play) submit(ctx context.Context, job *submission) {
	if p.client.submit(ctx, p.gateways, job) {
		p.watch.add(job)
	}
}

// sleep waits for a time, or until ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
