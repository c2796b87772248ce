package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// waitBound is visible_ms and 2 s more: the jobs that have waited for longer must be in the count.
	waitBound = 5 * time.Second
	// pendingInterval is the time between two requests for the count at one gateway.
	pendingInterval = 100 * time.Millisecond
	// singleInterval is the time between two jobs of one task, whose work takes singleWorkMs.
	singleInterval = 100 * time.Millisecond
	singleWorkMs   = 300
	// minWaiting is the number of waiting jobs from which a count is judged.
	minWaiting = 4
)

// lostRack is the rack of the worker that is lost, where the data of the jobs lies. It has no other worker.
const lostRack = "r1-3"

// singles are jobs of one task that have been accepted.
type singles struct {
	p  *play
	mu sync.Mutex
	at map[string]time.Time // when each was accepted
}

// submit hands in one job of one task.
func (s *singles) submit(ctx context.Context, number int) {
	job := &submission{id: fmt.Sprintf("%016x", 0xe0_0000+number*7919), Spec: "single", Steps: []step{{Count: 1, CPU: 1000, MemMB: 100, EstimateMs: singleWorkMs, Affinity: lostRack}}}
	if !s.p.client.submit(ctx, s.p.gateways[number%len(s.p.gateways):][:1], job) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at[job.id] = time.Now()
}

// waiting returns how many jobs were accepted longer than waitBound before a time and have not begun yet.
func (s *singles) waiting(before time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for id, at := range s.at {
		if before.Sub(at) < waitBound {
			continue
		}
		if _, _, starts := s.p.records.progress(id); starts == 0 {
			count++
		}
	}
	return count
}

// ask asks a gateway for the count, and compares it with the jobs that have waited all the while.
func (s *singles) ask(ctx context.Context, gateway *process) {
	sentAt := time.Now()
	status, text := s.p.client.call(ctx, gateway, http.MethodGet, "", nil)
	var body struct {
		Pending int `json:"pending"`
	}
	if status != http.StatusOK || json.Unmarshal(text, &body) != nil {
		return
	}
	waited := s.waiting(sentAt)
	s.p.records.note("%s gives %d as pending; %d jobs have waited for longer than %v", gateway.name, body.Pending, waited, waitBound)
	if waited < minWaiting || body.Pending*2 >= waited {
		return
	}
	s.p.watch.mu.Lock()
	defer s.p.watch.mu.Unlock()
	s.p.watch.broken("MIXED: %s gives %d as pending, and %d jobs without times that were accepted over %v before haven't begun", gateway.name, body.Pending, waited, waitBound)
}

// pending: a worker goes dark and is lost for good, while jobs come and clients ask how many wait.
func pending(ctx context.Context, p *play) error {
	s := &singles{p: p, at: map[string]time.Time{}}
	ctx, cancel := context.WithTimeout(ctx, 30*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() {
		for number := 0; ctx.Err() == nil; number++ {
			wg.Go(func() { s.submit(ctx, number) })
			sleep(ctx, singleInterval)
		}
	})
	for _, gateway := range p.gateways {
		wg.Go(func() {
			for ctx.Err() == nil {
				s.ask(ctx, gateway)
				sleep(ctx, pendingInterval)
			}
		})
	}
	sleep(ctx, 8*time.Second)
	if p.trouble {
		p.workers[len(p.workers)-1].goDark()
	}
	wg.Wait()
	return nil
}
