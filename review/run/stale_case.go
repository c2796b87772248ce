package main

import (
	"context"
	"sync"
	"time"
)

const (
	// turnedAway is how long the store turns a gateway away: platform_down with nodes.
	turnedAway = 9 * time.Second
	// agentDown is how long a killed process takes to start again.
	agentDown = 700 * time.Millisecond
	// regionDelay is the delay between two regions, one way.
	regionDelay = 30 * time.Millisecond
)

// playStaleOwner has the store turn one of three gateways away, which has shards, and meanwhile kills one agent after
// the other while jobs of short tasks come. Without the disruptions, only the jobs come.
func playStaleOwner(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	const workers = 8
	for _, gateway := range d.gateways[1:] {
		d.far = append(d.far, gateway.name)
	}
	d.farDelay = regionDelay
	if err := d.startAll(ctx, workers); err != nil {
		return false, err
	}
	c := newClient(d)
	if trouble {
		d.rec.say("platform_down nodes: the store turns %s away for %v", d.gateways[0].name, turnedAway)
		d.turnsAway[d.gateways[0].name].Store(true)
	}
	awayAt := time.Now()
	// The gateway stops being ready, so that the platform passes clients to the others.
	c.gateways = d.gateways[1:]
	sleep(ctx, 3500*time.Millisecond)
	spec := jobSpec{Spec: "short", Steps: []step{{Count: 8, CPU: 500, MemMB: 500, EstimateMs: 300}}}
	var jobs []*submitted
	var group sync.WaitGroup
	if trouble {
		group.Go(func() {
			sleep(ctx, 700*time.Millisecond)
			for index := 0; index < workers && time.Since(awayAt) < turnedAway-time.Second; index++ {
				if err := d.restart(ctx, d.agents[index], agentDown); err != nil {
					d.rec.log("an agent does not start: %v", err)
				}
				sleep(ctx, 400*time.Millisecond)
			}
		})
	}
	for time.Since(awayAt) < turnedAway {
		job, err := c.submit(ctx, "short", spec)
		if err != nil {
			return false, err
		}
		jobs = append(jobs, job)
		sleep(ctx, 30*time.Millisecond)
	}
	group.Wait()
	if trouble {
		d.turnsAway[d.gateways[0].name].Store(false)
		d.rec.say("the store serves %s again", d.gateways[0].name)
	}
	sleep(ctx, 20*time.Second)
	twice := d.world.startsAfterDone(d.rec)
	d.rec.say("%d jobs; %d starts followed a run of their task that had ended done and was taken note of", len(jobs), twice)
	return twice > 0, nil
}

// startsAfterDone counts the starts that follow a run of the same task that has ended done, if note was taken of that end
// and the lease of the worker had not lapsed between the two.
func (w *world) startsAfterDone(rec *record) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	done := map[string]*run{}
	count := 0
	for _, r := range w.history {
		if before := done[r.task]; before != nil && before.endedAt.Before(r.begunAt) {
			count++
			rec.say("task %s: attempt %d ended done on %s, note was taken %.3f s later; attempt %d started on %s %.3f s after the end",
				r.task, before.attempt, before.life.id, before.notedAt.Sub(before.endedAt).Seconds(), r.attempt, r.life.id,
				r.begunAt.Sub(before.endedAt).Seconds())
		}
		if r.how == howDone && !r.notedAt.IsZero() && !r.life.lapsedBetween(r.endedAt, r.notedAt) {
			done[r.task] = r
		}
	}
	return count
}
