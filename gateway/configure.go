package gateway

import (
	"context"
	"log/slog"
	"time"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/feature"
	"ambertiller.example/ambertiller/operator"
	"ambertiller.example/ambertiller/platform"
)

// operatorRetryDelay is the delay before the operator's topic is read again after a read that failed, or
// while no configuration has been found.
const operatorRetryDelay = 100 * time.Millisecond

// Run reads the records that operators write until ctx ends. It puts new configurations in force, and passes
// the evacuated failure domains to the owner in this process.
func (gateway *Gateway) Run(ctx context.Context) {
	if gateway.options.Features.Has(feature.Backlog) {
		go gateway.backlogs.run(ctx)
	}
	reader := operator.NewReader(gateway.options.Store, gateway.options.Clock)
	for ctx.Err() == nil {
		update, err := reader.Read(ctx)
		if err != nil {
			sleep(ctx, gateway.options.Clock, operatorRetryDelay)
			continue
		}
		gateway.options.Owner.UpdateEvacuations(update.Evacuations, update.AsOf)
		for _, record := range update.Records {
			if record.Key == platform.ConfigurationKey {
				gateway.applyConfiguration(ctx, record.Value)
			}
		}
		if gateway.configuration.Load() == nil {
			// The store may have removed the record of the configuration before it was read. Restarting the
			// reader asks for the newest record.
			reader.Restart()
			sleep(ctx, gateway.options.Clock, operatorRetryDelay)
		}
	}
}

// applyConfiguration puts a configuration in force, unless one of the same or a later version is in force.
func (gateway *Gateway) applyConfiguration(ctx context.Context, text []byte) {
	parsed, err := platform.ParseConfiguration(text)
	if err != nil {
		gateway.options.Events.Log(ctx, event.ConfigurationRefused, slog.Any("error", err))
		return
	}
	current := gateway.configuration.Load()
	if current != nil && current.Version() >= parsed.Version() {
		return
	}
	gateway.configuration.Store(parsed)
	gateway.metrics.configuration.Record(ctx, parsed.Version())
	gateway.options.Events.Log(ctx, event.ConfigurationInForce, slog.Int64("version", parsed.Version()))
}
