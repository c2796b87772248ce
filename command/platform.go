package command

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"ambertiller.example/ambertiller/daemon"
	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/platform"
)

const (
	// stopGraceRatio is the part of the platform's grace that a planned stop may
	// take: past the grace the process is killed.
	stopGraceRatio = 0.85
	// platformGCPercent and platformMemoryLimit: the roles hold a few MiB, and
	// collecting at the default rate costs more than the memory it saves.
	platformGCPercent   = 200
	platformMemoryLimit = 110 << 20
	// droppedLinesInterval is how often log lines that were dropped are counted.
	droppedLinesInterval = 5 * time.Second
)

// reloadableRole is a role whose settings file may change while it runs.
type reloadableRole interface {
	runnableRole
	ReloadSettings(ctx context.Context, path string) error
}

func gatewayCommand() *cli.Command {
	return platformCommand("gateway", "run a gateway on the platform: it answers clients and schedules their jobs",
		func(ctx context.Context, settings platform.Settings, events *event.Logger) (reloadableRole, error) {
			return daemon.NewGateway(ctx, settings, events)
		})
}

func agentCommand() *cli.Command {
	return platformCommand("agent", "run an agent on the platform: the process beside one worker",
		func(ctx context.Context, settings platform.Settings, events *event.Logger) (reloadableRole, error) {
			return daemon.NewAgent(ctx, settings, events)
		})
}

type roleConstructor func(ctx context.Context, settings platform.Settings, events *event.Logger) (reloadableRole, error)

func platformCommand(name, usage string, role roleConstructor) *cli.Command {
	return &cli.Command{
		Name:  name,
		Usage: usage,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "path of the platform's settings file", Sources: cli.EnvVars(platform.SettingsVariable)},
			&cli.StringFlag{Name: "log-level", Usage: "debug, info, warn or error", Value: "info", Sources: envVar("LOG_LEVEL")},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and end"},
		},
		Action: func(ctx context.Context, from *cli.Command) error { return runPlatformRole(ctx, from, role) },
	}
}

func runPlatformRole(ctx context.Context, from *cli.Command, role roleConstructor) error {
	path := from.String("settings")
	loaded, err := platform.LoadSettings(path)
	if err != nil {
		return newUsageError("%v", err)
	}
	if from.Bool("check") {
		return nil
	}
	debug.SetGCPercent(platformGCPercent)
	debug.SetMemoryLimit(platformMemoryLimit)
	writer := event.NewAsyncWriter(os.Stdout, time.Now)
	events, err := event.Open(writer, "json", from.String("log-level"))
	if err != nil {
		return newUsageError("%v", err)
	}
	logCtx, endLog := context.WithCancel(context.WithoutCancel(ctx))
	logged := make(chan struct{})
	go func() {
		writer.Run(logCtx)
		close(logged)
	}()
	defer func() {
		endLog()
		<-logged
	}()
	go logDroppedLines(logCtx, writer, events)
	running, err := role(ctx, loaded, events)
	if err != nil {
		return err
	}
	go reloadOnSignal(logCtx, running, path)
	return runRole(ctx, running, time.Duration(float64(loaded.GracePeriod())*stopGraceRatio))
}

func logDroppedLines(ctx context.Context, writer *event.AsyncWriter, events *event.Logger) {
	ticker := time.NewTicker(droppedLinesInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if count := writer.TakeDropped(); count > 0 {
				events.Log(ctx, event.LinesDropped, slog.Int("count", count))
			}
		}
	}
}

// reloadOnSignal reads the settings again at each SIGHUP.
func reloadOnSignal(ctx context.Context, running reloadableRole, path string) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			// A file with faults is logged; the settings in force stay.
			_ = running.ReloadSettings(ctx, path)
		}
	}
}
