package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// lossSlack is loss_slack_ms, graceTime grace_s.
	lossSlack = 200 * time.Millisecond
	graceTime = 6 * time.Second
	// askInterval is the time between two requests of clients for the state of a job.
	askInterval = 20 * time.Millisecond
)

// asker asks one gateway for the state of a job again and again, each time on a connection of its own.
type asker struct {
	p       *play
	gateway *process
	job     string
	// stoppedAt is when the gateway was sent SIGTERM, in nanoseconds since 1970; 0 before.
	stoppedAt atomic.Int64
	wg        sync.WaitGroup
	asked     atomic.Int64
	answered  atomic.Int64
}

// run asks until ctx ends, and waits for the last answers.
func (a *asker) run(ctx context.Context) {
	ticker := time.NewTicker(askInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			a.wg.Wait()
			return
		case <-ticker.C:
			a.wg.Go(a.ask)
		}
	}
}

// ask sends one request and reports if its connection ends without a complete answer.
func (a *asker) ask() {
	conn, err := net.DialTimeout("tcp", a.gateway.ip+":8161", time.Second) //nolint:noctx // It is bounded by the timeout.
	if err != nil {
		return // The gateway takes no connections.
	}
	defer conn.Close() //nolint:errcheck // Nothing more is read.
	text := fmt.Sprintf("GET %s%s HTTP/1.1\r\nHost: %s\r\nX-Ambertiller-Deadline-Ms: %d\r\n\r\n",
		queuePrefix, a.job, queueHost, deadline.Milliseconds())
	if _, err := io.WriteString(conn, text); err != nil {
		return
	}
	sentAt := time.Now()
	a.asked.Add(1)
	if err := conn.SetReadDeadline(sentAt.Add(deadline)); err != nil {
		return
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	took := time.Since(sentAt)
	if err == nil {
		a.answered.Add(1)
		a.p.records.note("GET at %s: %d after %.3f s", a.gateway.name, response.StatusCode, took.Seconds())
		return
	}
	a.judge(sentAt, took, err)
}

// judge applies LOST to a request without a complete answer.
func (a *asker) judge(sentAt time.Time, took time.Duration, err error) {
	stoppedAt := time.Unix(0, a.stoppedAt.Load())
	sinceStop := sentAt.Sub(stoppedAt)
	a.p.records.note("GET at %s, sent %.3f s after its SIGTERM, ended after %.3f s without an answer: %v", a.gateway.name, sinceStop.Seconds(), took.Seconds(), err)
	if took >= deadline || took <= lossSlack || sinceStop < 0 || sinceStop > graceTime+time.Second {
		return
	}
	a.p.watch.mu.Lock()
	defer a.p.watch.mu.Unlock()
	a.p.watch.report("a request that %s had taken %.2f s after its SIGTERM was cut after %.2f s without an answer (the deadline is %v)",
		a.gateway.name, sinceStop.Seconds(), took.Seconds(), deadline)
}

// rollGap is the time between two SIGTERM while the gateways are stopped and started in turn.
const rollGap = time.Second

// drain: the gateways are stopped and started in turn, while clients ask for the state of a job.
func drain(ctx context.Context, p *play) error {
	job := smallJob(1)
	p.submit(ctx, job)
	sleep(ctx, 2*time.Second)
	askCtx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	var askers []*asker
	for _, gateway := range p.gateways {
		a := &asker{p: p, gateway: gateway, job: job.id}
		askers = append(askers, a)
		wg.Go(func() { a.run(askCtx) })
	}
	sleep(ctx, 4*time.Second)
	for round := range 2 {
		for _, a := range askers {
			if p.trouble {
				p.records.note("SIGTERM to %s (round %d)", a.gateway.name, round+1)
				a.stoppedAt.Store(time.Now().UnixNano())
				a.gateway.signal(syscall.SIGTERM)
			}
			sleep(ctx, rollGap)
		}
		sleep(ctx, 15*time.Second)
	}
	cancel()
	wg.Wait()
	for _, a := range askers {
		p.records.note("%s: %d requests, %d answers", a.gateway.name, a.asked.Load(), a.answered.Load())
	}
	return nil
}
