package command

import (
	"context"

	"github.com/urfave/cli/v3"

	"ambertiller.example/ambertiller/demo"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run all roles in one process and show how they work together",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "network", Usage: "first two octets of the loopback IP addresses to use", Value: "127.70", Sources: envVar("NETWORK")},
			&cli.BoolFlag{Name: "serve", Usage: "keep serving after the checks"},
			&cli.BoolFlag{Name: "verbose", Usage: "write the log to standard error"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return demo.Run(ctx, demo.Options{
				Network: cmd.String("network"),
				Serve:   cmd.Bool("serve"),
				Verbose: cmd.Bool("verbose"),
				Out:     cmd.Root().Writer,
			})
		},
	}
}
