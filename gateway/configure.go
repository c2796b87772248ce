package gateway

import (
	"context"
	"log/slog"
	"time"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/platform"
)

const (
	// operatorPart is the only partition of the operator's topic that is read.
	operatorPart = 0
	// configurationWait is how long a read waits for a new configuration. One
	// that waits while the store drops its history hears nothing until it is
	// asked anew, and a configuration has to be in force within 2 s.
	configurationWait = 800 * time.Millisecond
	// configurationOver is added to the wait for the way there and back.
	configurationOver = 700 * time.Millisecond
	// configurationSoon keeps reads apart that found nothing to go on with.
	configurationSoon = 100 * time.Millisecond
	// newestTimeout bounds a question for the newest records.
	newestTimeout = 1500 * time.Millisecond
)

// Run follows the configuration until ctx ends.
func (gateway *Gateway) Run(ctx context.Context) {
	next := int64(-1)
	for ctx.Err() == nil {
		tail, err := gateway.readOperator(ctx, next)
		if err != nil {
			if platform.IsGone(err) {
				next = -1
			}
			pause(ctx, gateway.options.Clock, configurationSoon)
			continue
		}
		next = tail.Next
		for _, record := range tail.Records {
			if record.Key == platform.ConfigurationKey {
				gateway.configure(ctx, record.Value)
			}
		}
		if gateway.configuration.Load() == nil {
			// Records of the first configuration may be removed before they
			// are read: ask for the newest.
			next = -1
			pause(ctx, gateway.options.Clock, configurationSoon)
		}
	}
}

func (gateway *Gateway) readOperator(ctx context.Context, next int64) (platform.Tail, error) {
	if next < 0 {
		ctx, cancel := context.WithTimeout(ctx, newestTimeout)
		defer cancel()
		return gateway.options.Store.Newest(ctx, platform.OperatorTopic, operatorPart)
	}
	ctx, cancel := context.WithTimeout(ctx, configurationWait+configurationOver)
	defer cancel()
	return gateway.options.Store.Read(ctx, platform.OperatorTopic, operatorPart, next, configurationWait)
}

// configure puts a configuration in force unless a later one is.
func (gateway *Gateway) configure(ctx context.Context, text []byte) {
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
	gateway.meters.configuration.Record(ctx, parsed.Version())
	gateway.options.Events.Log(ctx, event.ConfigurationInForce, slog.Int64("version", parsed.Version()))
}
