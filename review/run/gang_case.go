package main

import (
	"context"
	"errors"
	"time"
)

// idleBound is how long a job may have nothing running while a task's turn has come and there is capacity for it.
const idleBound = 3 * time.Second

// errNotTaken is returned if a job that a case needs was not taken.
var errNotTaken = errors.New("a job was not taken")

// submitAll hands in jobs that the case needs, and waits until they run.
func submitAll(ctx context.Context, d *deployment, c *client, name string, spec jobSpec, count int) error {
	for range count {
		job, err := c.submit(ctx, name, spec)
		if err != nil {
			return err
		}
		if job.acceptedAt.IsZero() {
			return errNotTaken
		}
		for deadline := time.Now().Add(10 * time.Second); d.world.firstStart(job).IsZero(); {
			if time.Now().After(deadline) {
				return errors.New("a job that the case needs did not start: " + name)
			}
			sleep(ctx, 20*time.Millisecond)
		}
	}
	return nil
}

// playGangSpread adds an empty worker to four that are in use, and then hands in jobs whose tasks work only together,
// one on each worker. Without the disruption, the same jobs come without the new worker.
func playGangSpread(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	if err := d.startAll(ctx, 4); err != nil {
		return false, err
	}
	c := newClient(d)
	listener := jobSpec{Spec: "listen", Steps: []step{{Count: 4, CPU: 6400, MemMB: 13000, EstimateMs: 400, LongRunning: true, AntiAffinity: 1}}}
	if err := submitAll(ctx, d, c, "listener", listener, 2); err != nil {
		return false, err
	}
	sleep(ctx, 3*time.Second)
	if trouble {
		d.rec.say("scale_out: one empty worker is added to four")
		if err := d.addWorker(ctx); err != nil {
			return false, err
		}
	}
	// The 3 s of the rule and the 4 s before them are calm: nothing is disturbed from here on.
	sleep(ctx, 8*time.Second)
	broken := false
	for range 3 {
		stuck, err := watchGang(ctx, d, c)
		if err != nil {
			return false, err
		}
		broken = broken || stuck
	}
	return broken, nil
}

// watchGang hands in a job whose four tasks work only together, at most one on each worker, and watches it for 10 s.
func watchGang(ctx context.Context, d *deployment, c *client) (stuck bool, err error) {
	spec := jobSpec{Spec: "together", Steps: []step{{Count: 4, CPU: 2000, MemMB: 4000, EstimateMs: 1000, Gang: true, AntiAffinity: 1}}}
	job, err := c.submit(ctx, "gang", spec)
	if err != nil {
		return false, err
	}
	if job.acceptedAt.IsZero() {
		return false, errNotTaken
	}
	until := job.acceptedAt.Add(10 * time.Second)
	for d.world.firstStart(job).IsZero() && time.Now().Before(until) {
		sleep(ctx, 20*time.Millisecond)
	}
	first := d.world.firstStart(job)
	if first.IsZero() {
		d.rec.say("gang %s: accepted, nothing of it has run after %.1f s; %.0f%% of the processors are in use; shown as %q",
			job.id, time.Since(job.acceptedAt).Seconds(), 100*d.world.usedShare(), c.state(ctx, job))
		return true, nil
	}
	d.rec.say("gang %s: first start %.3f s after it was accepted", job.id, first.Sub(job.acceptedAt).Seconds())
	return first.Sub(job.acceptedAt) > idleBound, nil
}
