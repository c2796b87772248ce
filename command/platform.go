package command

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"ambertiller.example/ambertiller/daemon"
	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/feature"
	"ambertiller.example/ambertiller/platform"
)

const (
	// stopGraceRatio is the fraction of the platform's grace period that a planned stop may take. The
	// process is killed when the period is over.
	stopGraceRatio = 0.85
	// platformGCPercent and platformMemoryLimit configure the garbage collector. The roles use only a few
	// MiB, for which the default rate of collections costs more than the memory that it saves.
	platformGCPercent   = 200
	platformMemoryLimit = 110 << 20
	// droppedLinesInterval is the interval at which the number of dropped log lines is logged.
	droppedLinesInterval = 5 * time.Second
)

// reloadableRole is a role that can read its settings file again while it runs.
type reloadableRole interface {
	runnableRole
	ReloadSettings(ctx context.Context, path string) error
}

func gatewayCommand() *cli.Command {
	return platformCommand("gateway", "run a gateway on the platform: it serves clients and schedules their jobs",
		func(ctx context.Context, settings platform.Settings, features feature.Set, events *event.Logger) (reloadableRole, error) {
			return daemon.NewGateway(ctx, settings, features, events)
		})
}

func agentCommand() *cli.Command {
	return platformCommand("agent", "run an agent on the platform: the process that runs next to one worker",
		func(ctx context.Context, settings platform.Settings, features feature.Set, events *event.Logger) (reloadableRole, error) {
			return daemon.NewAgent(ctx, settings, features, events)
		})
}

// roleConstructor creates a role of the platform without starting it.
type roleConstructor func(ctx context.Context, settings platform.Settings, features feature.Set, events *event.Logger) (reloadableRole, error)

// platformCommand returns the command that runs a role of the platform.
func platformCommand(name, usage string, newRole roleConstructor) *cli.Command {
	return &cli.Command{
		Name:  name,
		Usage: usage,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "path of the platform's settings file", Sources: cli.EnvVars(platform.SettingsVariable)},
			&cli.StringFlag{Name: "log-level", Usage: "debug, info, warn or error", Value: "info", Sources: envVar("LOG_LEVEL")},
			&cli.StringSliceFlag{Name: "enable", Usage: "features to enable, separated by commas: " + strings.Join(feature.Names(), ", "), Sources: envVar("ENABLE")},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error { return runPlatformRole(ctx, cmd, newRole) },
	}
}

// runPlatformRole loads the settings file, sets up the log and runs a role until it is stopped. It
// returns only after the log has been written.
func runPlatformRole(ctx context.Context, cmd *cli.Command, newRole roleConstructor) error {
	path := cmd.String("settings")
	platformSettings, err := platform.LoadSettings(path)
	if err != nil {
		return newUsageError("%v", err)
	}
	features, err := feature.Parse(cmd.StringSlice("enable"))
	if err != nil {
		return newUsageError("--enable: %v; see `ambertiller help %s`", err, cmd.Name)
	}
	if cmd.Bool("check") {
		return nil
	}
	debug.SetGCPercent(platformGCPercent)
	debug.SetMemoryLimit(platformMemoryLimit)
	writer := event.NewAsyncWriter(os.Stdout, time.Now)
	events, err := event.Open(writer, "json", cmd.String("log-level"))
	if err != nil {
		return newUsageError("%v", err)
	}
	logCtx, stopLog := context.WithCancel(context.WithoutCancel(ctx))
	logWritten := make(chan struct{})
	go func() {
		writer.Run(logCtx)
		close(logWritten)
	}()
	defer func() {
		stopLog()
		<-logWritten
	}()
	go logDroppedLines(logCtx, writer, events)
	role, err := newRole(ctx, platformSettings, features, events)
	if err != nil {
		return err
	}
	go reloadOnSignal(logCtx, role, path)
	return runRole(ctx, role, time.Duration(float64(platformSettings.GracePeriod())*stopGraceRatio))
}

// logDroppedLines logs periodically how many log lines were dropped since the last time, if any.
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

// reloadOnSignal has the role read its settings file again on each SIGHUP.
func reloadOnSignal(ctx context.Context, role reloadableRole, path string) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			// The role logs an error itself and keeps its current settings.
			_ = role.ReloadSettings(ctx, path)
		}
	}
}
