package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/standin/wirestore"
)

const (
	// configurationFaultInterval is the mean time between two of configurationFaults.
	configurationFaultInterval = 4 * time.Second
	probeInterval              = 100 * time.Millisecond
	// weakLinkBytesPerSecond is the payload that a link of 10 Mbit/s carries.
	weakLinkBytesPerSecond = 1_040_000
	// storeBytesPerSecond is how much the store sends to the other gateways together.
	storeBytesPerSecond = 4_000_000
	// maxConfigurationBytes takes less than half of inForceBound over the weak link, so that a gateway that has
	// just begun to read one version can read the next one in time.
	maxConfigurationBytes = 1_000_000
	maxSeriesLength       = 5
	maxSeriesPause        = 900 * time.Millisecond
	maxStoreLatency       = 250 * time.Millisecond
	firstVersion          = 7
)

// configurationFaults change the configuration, and slow the store down meanwhile.
var configurationFaults = []fault{
	{"configurations published", func(ctx context.Context, d *deployment, rng *rand.Rand) { d.publishSeries(ctx, rng) }},
	{"configurations published while the store is slow", func(ctx context.Context, d *deployment, rng *rand.Rand) {
		defer d.disturbed.begin(storeName)()
		d.store.SetLatency(time.Duration(rng.Int64N(int64(maxStoreLatency))))
		d.publishSeries(ctx, rng)
		sleep(ctx, drawDuration(rng))
		d.store.SetLatency(0)
	}},
}

// publishSeries publishes up to maxSeriesLength versions one after another.
func (d *deployment) publishSeries(ctx context.Context, rng *rand.Rand) {
	size, pause := rng.IntN(maxConfigurationBytes), time.Duration(rng.Int64N(int64(maxSeriesPause)))
	for range 1 + rng.IntN(maxSeriesLength) {
		d.publish(size)
		sleep(ctx, pause)
	}
}

// publish publishes the next version, with about size bytes.
func (d *deployment) publish(size int) {
	d.publishMu.Lock()
	defer d.publishMu.Unlock()
	d.version++
	d.store.Put(platform.OperatorTopic, 0, platform.ConfigurationKey, configurationText(d.version, size))
	d.publications.add(d.version, time.Now())
}

// configurationText returns a configuration of about size bytes. For each version so far it has a queue
// "since-VERSION".
func configurationText(version, size int) []byte {
	routes := []wirestore.Route{wirestore.NewRoute("r-1", "q.example", "/q/", "verbale")}
	for since := firstVersion; since <= version; since++ {
		name := fmt.Sprintf("since-%d", since)
		routes = append(routes, wirestore.NewRoute(name, "q.example", "/"+name+"/", "verbale"))
	}
	return wirestore.Configuration(version, routes, size)
}

// startProbes starts to probe all gateways if configurations change in the run of a seed. The function that it
// returns ends the probes and waits for them.
func (d *deployment) startProbes(ctx context.Context, c *client, seed uint64) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	if hasConfigurationFaults(seed) {
		for gateway := range d.gateways {
			wg.Go(func() { d.probeConfigurations(ctx, c, gateway) })
		}
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// probeConfigurations probes a gateway until ctx is done, and records violations in the ledger.
func (d *deployment) probeConfigurations(ctx context.Context, c *client, gateway int) {
	p := d.gateways[gateway]
	for ctx.Err() == nil {
		sleep(ctx, probeInterval)
		sentAt, process := time.Now(), p.startCount()
		version := d.publications.due(sentAt)
		if version == 0 {
			continue
		}
		answer, answered := c.probe(ctx, gateway, version)
		if !answered || p.startCount() != process {
			continue
		}
		seen := probe{gatewayProcess{p.name, process}, version, sentAt, answer}
		if violation := d.publications.check(seen, d.disturbed.isCalmSince(p.name, sentAt.Add(-contactTime))); violation != "" {
			d.ledger.recordConfiguration(p.name, version, violation)
		}
	}
}

// probe asks a gateway for the queue that came with a version. It reports false if the gateway doesn't answer.
func (c *client) probe(ctx context.Context, gateway, version int) (answer probeAnswer, answered bool) {
	// A gateway that has the queue answers with 405 without asking anyone, since a job has no such method.
	status, _ := c.send(ctx, http.MethodPatch, gateway, fmt.Sprintf("/since-%d/%016x", version, 0), "")
	switch status {
	case http.StatusMethodNotAllowed:
		return usesVersion, true
	case http.StatusNotFound:
		return usesOlderVersion, true
	}
	return doesNotKnow, status != 0
}

// checkConfigurationsAfterFaults publishes series of versions without other faults, while the gateways are probed.
func (d *deployment) checkConfigurationsAfterFaults(ctx context.Context, seed uint64) {
	const seriesCount = 3
	rng := rand.New(rand.NewPCG(seed, seed))
	sleep(ctx, contactTime)
	for range seriesCount {
		d.publishSeries(ctx, rng)
		sleep(ctx, inForceBound)
	}
	sleep(ctx, contactTime)
}

// hasConfigurationFaults reports whether configurations change in the run of a seed. If so, the first gateway is
// behind a weak link.
func hasConfigurationFaults(seed uint64) bool { return faultListCount(seed) > configurationList }

// hasLimitedStore reports whether the gateways that are not behind the weak link share the rate of the store.
func hasLimitedStore(seed uint64) bool {
	if r, isRegression := regressionSeeds[seed]; isRegression {
		return r.limitedStore
	}
	return hasConfigurationFaults(seed)
}
