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
	reader.NotifyBehind(func() { gateway.confirmation.recordBehind(gateway.options.Clock.Now()) })
	for ctx.Err() == nil {
		update, err := reader.Read(ctx)
		if err != nil {
			gateway.recordReadFailure(ctx, err)
			sleep(ctx, gateway.options.Clock, operatorRetryDelay)
			continue
		}
		gateway.options.Owner.UpdateEvacuations(update.Evacuations, update.AsOf)
		for _, record := range update.Records {
			if record.Key == platform.ConfigurationKey {
				gateway.applyConfiguration(ctx, record.Value)
			}
		}
		gateway.recordRead(ctx, update)
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
	gateway.options.Events.Log(ctx, event.ConfigurationInForce, slog.Int64("version", parsed.Version()), slog.Int("bytes", len(text)),
		slog.Duration("age", gateway.configurationAge()))
}

// recordReadFailure logs a failed read of operators' records if it is the first one in a row.
func (gateway *Gateway) recordReadFailure(ctx context.Context, err error) {
	if ctx.Err() != nil || !gateway.confirmation.recordFailure() {
		return
	}
	gateway.options.Events.Log(ctx, event.ConfigurationUnconfirmed, slog.Int64("version", gateway.version()),
		slog.Duration("age", gateway.configurationAge()), slog.Any("error", err))
}

// recordRead records that the configuration in force is the newest one, if the read reached the end of the
// operators' records.
func (gateway *Gateway) recordRead(ctx context.Context, update operator.Update) {
	if update.AsOf.IsZero() || gateway.configuration.Load() == nil {
		return
	}
	if unconfirmed, failedReads := gateway.confirmation.recordConfirmed(update.AsOf); failedReads > 0 {
		gateway.options.Events.Log(ctx, event.ConfigurationConfirmed, slog.Int64("version", gateway.version()),
			slog.Duration("after", unconfirmed), slog.Int("reads", failedReads))
	}
}

// version returns the version of the configuration in force, or 0 if there is none.
func (gateway *Gateway) version() int64 {
	configuration := gateway.configuration.Load()
	if configuration == nil {
		return 0
	}
	return configuration.Version()
}
