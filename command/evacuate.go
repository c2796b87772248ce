package command

import (
	"context"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"ambertiller.example/ambertiller/operator"
	"ambertiller.example/ambertiller/platform"
)

// evacuateTimeout is the time limit of the command's calls to the platform's store, which responds
// within 250 ms even when it is slow.
const evacuateTimeout = 10 * time.Second

// evacuationRecord is the value of the record that marks a failure domain as evacuated. Only the record's
// existence matters, not its value.
const evacuationRecord = "{}"

func evacuateCommand() *cli.Command {
	return &cli.Command{
		Name: "evacuate", Usage: "on the platform: evacuate a failure domain so that nothing more is started there, end its evacuation, or list the evacuated ones",
		ArgsUsage: "[FAILURE-DOMAIN]",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "path of the platform's settings file", Sources: cli.EnvVars(platform.SettingsVariable)},
			&cli.BoolFlag{Name: "end", Usage: "end the evacuation of the failure domain"},
		},
		Action: runEvacuate,
	}
}

func runEvacuate(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() > 1 {
		return newUsageError("give at most one FAILURE-DOMAIN")
	}
	platformSettings, err := platform.LoadSettings(cmd.String("settings"))
	if err != nil {
		return newUsageError("%v", err)
	}
	flags := &settings{command: cmd}
	printer := newPrinter(cmd, flags)
	if err := flags.err(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, evacuateTimeout)
	defer cancel()
	store := platform.NewStore(platformSettings.StoreAddress(), platform.NewTransport())
	if domain := cmd.Args().First(); domain != "" {
		if err := setEvacuation(ctx, store, domain, cmd.Bool("end")); err != nil {
			return &exitError{code: ExitUnreachable, cause: err}
		}
	}
	update, err := operator.NewReader(store, clockwork.NewRealClock()).Read(ctx)
	if err != nil {
		return &exitError{code: ExitUnreachable, cause: errors.Wrap(err, "read from the platform's store which failure domains are evacuated; try again")}
	}
	evacuated := append([]string{}, update.Evacuations.Domains()...)
	return printer.printFields(map[string][]string{"evacuated": evacuated}, "evacuated", strings.Join(evacuated, " "))
}

// setEvacuation writes the record of a failure domain's evacuation. If end is set, it deletes the
// record by writing one without a value.
func setEvacuation(ctx context.Context, store *platform.Store, domain string, end bool) error {
	record := platform.Record{Key: platform.EvacuationKey(domain)}
	if !end {
		record.Value = []byte(evacuationRecord)
	}
	_, err := store.Append(ctx, platform.Append{Topic: platform.OperatorTopic, Records: []platform.Record{record}})
	return errors.Wrap(err, "write to the platform's store; it is not known whether the record was stored, call it again")
}
