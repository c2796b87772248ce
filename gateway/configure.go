package gateway

import (
	"context"
	"log/slog"
	"time"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/operator"
	"ambertiller.example/ambertiller/platform"
)

// operatorRetryDelay keeps reads of the operator's topic apart that failed or found nothing to
// go on with.
const operatorRetryDelay = 100 * time.Millisecond

// Run follows what operators write until ctx ends: the configuration, and for the owner
// in this process the failure domains that are evacuated.
func (gateway *Gateway) Run(ctx context.Context) {
	reader := operator.NewReader(gateway.options.Store, gateway.options.Clock)
	for ctx.Err() == nil {
		news, err := reader.Read(ctx)
		if err != nil {
			sleep(ctx, gateway.options.Clock, operatorRetryDelay)
			continue
		}
		gateway.options.Owner.UpdateEvacuations(news.Evacuations, news.AsOf)
		for _, record := range news.Records {
			if record.Key == platform.ConfigurationKey {
				gateway.applyConfiguration(ctx, record.Value)
			}
		}
		if gateway.configuration.Load() == nil {
			// Records of the first configuration may be removed before they
			// are read: ask for the newest.
			reader.Restart()
			sleep(ctx, gateway.options.Clock, operatorRetryDelay)
		}
	}
}

// applyConfiguration puts a configuration in force unless a later one is.
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
