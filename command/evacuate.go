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

// evacuateTimeout bounds an operator's command to the platform's store, which answers
// within a quarter of a second while it is slow.
const evacuateTimeout = 10 * time.Second

// evacuationRecord is what the operator's record of an evacuation holds: that it is there.
const evacuationRecord = "{}"

func evacuateCommand() *cli.Command {
	return &cli.Command{
		Name: "evacuate", Usage: "on the platform: have nothing more started in a failure domain, give it back, or list what is evacuated",
		ArgsUsage: "[FAILURE-DOMAIN]",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "path of the platform's settings file", Sources: cli.EnvVars(platform.SettingsVariable)},
			&cli.BoolFlag{Name: "end", Usage: "give the failure domain back"},
		},
		Action: runEvacuate,
	}
}

func runEvacuate(ctx context.Context, from *cli.Command) error {
	if from.Args().Len() > 1 {
		return newUsageError("give at most one FAILURE-DOMAIN")
	}
	loaded, err := platform.LoadSettings(from.String("settings"))
	if err != nil {
		return newUsageError("%v", err)
	}
	given := &settings{command: from}
	out := newPrinter(from, given)
	if err := given.err(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, evacuateTimeout)
	defer cancel()
	store := platform.NewStore(loaded.StoreAddress(), platform.NewTransport())
	if domain := from.Args().First(); domain != "" {
		if err := setEvacuation(ctx, store, domain, from.Bool("end")); err != nil {
			return &exitError{code: ExitUnreachable, cause: err}
		}
	}
	news, err := operator.NewReader(store, clockwork.NewRealClock()).Read(ctx)
	if err != nil {
		return &exitError{code: ExitUnreachable, cause: errors.Wrap(err, "ask the platform's store what is evacuated; try again")}
	}
	evacuated := append([]string{}, news.Evacuations.Domains()...)
	return out.printFields(map[string][]string{"evacuated": evacuated}, "evacuated", strings.Join(evacuated, " "))
}

// setEvacuation writes or drops the record of an evacuation.
func setEvacuation(ctx context.Context, store *platform.Store, domain string, end bool) error {
	record := platform.Record{Key: platform.EvacuationKey(domain)}
	if !end {
		record.Value = []byte(evacuationRecord)
	}
	_, err := store.Append(ctx, platform.Append{Topic: platform.OperatorTopic, Records: []platform.Record{record}})
	return errors.Wrap(err, "write to the platform's store; whether it took the record is not known, call it again")
}
