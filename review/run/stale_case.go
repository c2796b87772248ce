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
	// zoneDelay is the delay between two zones, one way.
	zoneDelay = 1400 * time.Microsecond
	// episodes is how often the disruptions come.
	episodes = 2
)

// playStaleOwner has the store turn one of three gateways away, which has shards, and meanwhile kills one agent after
// the other while jobs of short tasks come; twice. Without the disruptions, only the jobs come.
func playStaleOwner(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	for _, gateway := range d.gateways[1:] {
		d.far = append(d.far, gateway.name)
	}
	d.farDelay = zoneDelay
	if err := d.startAll(ctx, 8); err != nil {
		return false, err
	}
	c := newClient(d)
	// The gateway is not ready while it is turned away, so that the platform passes clients to the others.
	c.gateways = d.gateways[1:]
	jobs, killed := 0, 0
	for range episodes {
		count, err := turnAway(ctx, d, c, trouble, &killed)
		if err != nil {
			return false, err
		}
		jobs += count
		// The gateway gets shards again.
		sleep(ctx, 5*time.Second)
	}
	sleep(ctx, 10*time.Second)
	twice := d.world.startsAfterDone(d.rec)
	d.rec.say("%d jobs; %d starts followed a run of their task that had ended done and was taken note of", jobs, twice)
	return twice > 0, nil
}

// turnAway has the store turn the first gateway away for turnedAway, and meanwhile kills agents. It hands in jobs of
// short tasks, and returns how many. killed counts the agents that have been killed.
func turnAway(ctx context.Context, d *deployment, c *client, trouble bool, killed *int) (jobs int, err error) {
	if trouble {
		d.rec.say("platform_down nodes: the store turns %s away for %v", d.gateways[0].name, turnedAway)
		d.turnsAway[d.gateways[0].name].Store(true)
	}
	awayAt := time.Now()
	sleep(ctx, 3500*time.Millisecond)
	var group sync.WaitGroup
	if trouble {
		group.Go(func() {
			sleep(ctx, 700*time.Millisecond)
			for time.Since(awayAt) < turnedAway-time.Second {
				if err := d.restart(ctx, d.agents[*killed%len(d.agents)], agentDown); err != nil {
					d.rec.log("an agent does not start: %v", err)
				}
				*killed++
				sleep(ctx, 400*time.Millisecond)
			}
		})
	}
	spec := jobSpec{Spec: "short", Steps: []step{{Count: 8, CPU: 500, MemMB: 500, EstimateMs: 300}}}
	for time.Since(awayAt) < turnedAway {
		if _, err := c.submit(ctx, "short", spec); err != nil {
			return jobs, err
		}
		jobs++
		sleep(ctx, 30*time.Millisecond)
	}
	group.Wait()
	if trouble {
		d.turnsAway[d.gateways[0].name].Store(false)
		d.rec.say("the store serves %s again", d.gateways[0].name)
	}
	return jobs, nil
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
