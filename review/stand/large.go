package main

import (
	"context"
	"fmt"
	"strings"
	"time"
)

// trafficTime is how long the clients hand jobs in.
const trafficTime = 30 * time.Second

// burstTime is how long large jobs come at once.
const burstTime = 4 * time.Second

// playBurst has steady traffic, and large jobs come at once after a while. Without the disruption, the same work comes in
// jobs of up to usualTasks tasks.
func playBurst(ctx context.Context, p *play, large *submission, usualTasks int) error {
	go func() {
		sleep(ctx, 3*time.Second)
		p.watch.disrupt(time.Now().Add(burstTime))
		if p.trouble {
			p.submit(ctx, large)
			return
		}
		jobs := large.split(usualTasks)
		for _, job := range jobs {
			go p.submit(ctx, job)
			sleep(ctx, burstTime/time.Duration(len(jobs)))
		}
	}()
	p.traffic(ctx, trafficTime)
	p.records.note("the traffic has ended")
	sleep(ctx, finishTime)
	_, done, starts := p.records.progress(large.id)
	if p.trouble {
		p.records.note("the large job: %d of %d tasks are done, %d starts", done, large.tasks(), starts)
	}
	return nil
}

// split returns the same tasks as jobs of up to count tasks each.
func (s *submission) split(count int) []*submission {
	var jobs []*submission
	for first := 0; first < s.Steps[0].Count; first += count {
		st := s.Steps[0]
		st.Count = min(count, st.Count-first)
		jobs = append(jobs, &submission{id: fmt.Sprintf("%016x", 0xc0_0000+first*104_729), Spec: s.Spec, Steps: []step{st}})
	}
	return jobs
}

// maxSpecBytes is the size of a spec up to which the pages allow it.
const maxSpecBytes = 4000

// largeOrder: a job of which so many tasks start on one worker at once that their orders don't fit a message.
func largeOrder(ctx context.Context, p *play) error {
	return playBurst(ctx, p, &submission{
		id: "00000000000000b1", Spec: strings.Repeat("s", maxSpecBytes),
		Steps: []step{{Count: 1250, CPU: 25, MemMB: 50, EstimateMs: 500, Affinity: "r1-1"}},
	}, 36)
}

// spreadJob: a job of which one worker may hold only some tasks.
func spreadJob(ctx context.Context, p *play) error {
	return playBurst(ctx, p, &submission{
		id: "00000000000000b1", Spec: "large",
		Steps: []step{{Count: 8000, CPU: 20, MemMB: 10, EstimateMs: 500, AntiAffinity: 1000}},
	}, 36)
}
