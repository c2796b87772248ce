package command

import (
	"context"

	"github.com/urfave/cli/v3"

	"ambertiller.example/ambertiller/demo"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "bring every role up in one process and show what they do together",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "network", Usage: "first two parts of the loopback IP numbers to use", Value: "127.70", Sources: envVar("NETWORK")},
			&cli.BoolFlag{Name: "serve", Usage: "keep serving after the checks"},
			&cli.BoolFlag{Name: "verbose", Usage: "write the log to standard error"},
		},
		Action: func(ctx context.Context, from *cli.Command) error {
			return demo.Run(ctx, demo.Options{
				Network: from.String("network"),
				Serve:   from.Bool("serve"),
				Verbose: from.Bool("verbose"),
				Out:     from.Root().Writer,
			})
		},
	}
}
