package main

import (
	"context"
	"time"
)

const (
	// rareKind is the label that only one worker has.
	rareKind = "b"
	// crashCount is how often that worker crashes, once in crashPeriod. It is up for upTime before it crashes again.
	crashCount  = 8
	crashPeriod = 1400 * time.Millisecond
	upTime      = 250 * time.Millisecond
)

// crashes: a job of one task needs the only worker of its kind, which crashes several times in a row, whatever it runs.
// Then it stays up.
func crashes(ctx context.Context, p *play) error {
	rare := p.workers[len(p.workers)-1]
	rare.setKind(rareKind)
	go func() {
		sleep(ctx, 5*time.Second)
		p.submit(ctx, &submission{
			id: "00000000000000b1", Spec: "rare",
			Steps: []step{{Count: 1, CPU: 500, MemMB: 500, EstimateMs: 3000, Constraints: rareKind}},
		})
		sleep(ctx, time.Second)
		if !p.trouble {
			return
		}
		for range crashCount {
			p.watch.disrupt(time.Now().Add(crashPeriod))
			rare.crash(ctx, crashPeriod-upTime)
			sleep(ctx, upTime)
		}
	}()
	p.traffic(ctx, trafficTime)
	p.records.note("the traffic has ended")
	sleep(ctx, finishTime)
	return nil
}
