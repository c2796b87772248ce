package command

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"os/user"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"ambertiller.example/ambertiller/api"
	"ambertiller.example/ambertiller/config"
	"ambertiller.example/ambertiller/document"
	"ambertiller.example/ambertiller/policy"
	"ambertiller.example/ambertiller/state"
)

func workersCommand() *cli.Command {
	return &cli.Command{
		Name: "workers", Usage: "list workers with their state, free capacity and tasks",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			c, err := newClient(cmd)
			if err != nil {
				return err
			}
			workers, err := c.workers(ctx)
			if err != nil {
				return err
			}
			rows := make([][]string, 0, len(workers))
			for _, worker := range workers {
				rows = append(rows, []string{
					worker.Name, worker.FailureDomain, worker.Rack, worker.State, strconv.FormatBool(worker.Draining),
					formatFloat(worker.FreeProcessors) + "/" + formatFloat(worker.Processors),
					fmt.Sprintf("%d/%d", worker.SlotsUsed, worker.Slots), strings.Join(worker.Tasks, " "),
				})
			}
			return c.printer.print(workers, []string{"NAME", "FAILURE DOMAIN", "RACK", "STATE", "DRAINING", "FREE PROCESSORS", "SLOTS", "TASKS"}, rows)
		},
	}
}

// workers returns the workers that the entry knows.
func (c *client) workers(ctx context.Context) ([]api.Worker, error) {
	var workers []api.Worker
	err := c.call(ctx, http.MethodGet, "/v1/workers", nil, nil, &workers)
	return workers, err
}

func drainCommand() *cli.Command {
	return &cli.Command{
		Name: "drain", Usage: "move the tasks of a worker, or of all workers of a failure domain, to other workers and place no more there", ArgsUsage: "WORKER",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "end", Usage: "end the drain"},
			&cli.StringFlag{Name: "failure-domain", Usage: "drain the workers that are in this failure domain now, instead of a single worker"},
			authorFlag(),
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			request := api.DrainRequest{Draining: !cmd.Bool("end"), Author: changeAuthor(cmd)}
			if domain := cmd.String("failure-domain"); domain != "" {
				return drainFailureDomain(ctx, cmd, domain, request)
			}
			return singleArgumentAction("WORKER", func(ctx context.Context, c *client, worker string) error {
				reply, err := c.drain(ctx, worker, request)
				if err != nil {
					return err
				}
				return c.printer.printFields(&reply, "worker", worker, "draining", strconv.FormatBool(reply.Draining))
			})(ctx, cmd)
		},
	}
}

// drain starts or ends the drain of a worker.
func (c *client) drain(ctx context.Context, worker string, request api.DrainRequest) (api.DrainRequest, error) {
	var reply api.DrainRequest
	err := c.call(ctx, http.MethodPut, "/v1/workers/"+url.PathEscape(worker)+"/drain", nil, request, &reply)
	return reply, err
}

// drainFailureDomain starts or ends the drain of each worker that is in a failure domain now. A
// worker that joins the domain later is not drained; `ambertiller workers` shows it.
func drainFailureDomain(ctx context.Context, cmd *cli.Command, domain string, request api.DrainRequest) error {
	if cmd.Args().Present() {
		return newUsageError("give a WORKER or --failure-domain, not both")
	}
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	workers, err := c.workers(ctx)
	if err != nil {
		return err
	}
	rows := [][]string{}
	for _, worker := range workers {
		if worker.FailureDomain != domain {
			continue
		}
		reply, err := c.drain(ctx, worker.Name, request)
		if err != nil {
			return errors.Wrapf(err, "worker %s, after %d others were done; run the command again", worker.Name, len(rows))
		}
		rows = append(rows, []string{worker.Name, strconv.FormatBool(reply.Draining)})
	}
	if len(rows) == 0 {
		return newUsageError("no worker is in the failure domain %q; see `ambertiller workers`", domain)
	}
	return c.printer.print(rows, []string{"WORKER", "DRAINING"}, rows)
}

func authorFlag() cli.Flag {
	return &cli.StringFlag{Name: "author", Usage: "author of the change; default: the current user", Sources: envVar("AUTHOR")}
}

// changeAuthor returns the value of the flag --author, or else the name of the current user. It is
// empty if the user is unknown.
func changeAuthor(cmd *cli.Command) string {
	if author := cmd.String("author"); author != "" {
		return author
	}
	if current, err := user.Current(); err == nil {
		return current.Username
	}
	return ""
}

func configCommand() *cli.Command {
	return &cli.Command{
		Name: "config", Usage: "check, publish and show the configuration",
		Commands: documentCommands(func(*cli.Command) string { return config.DocumentName }, nil),
	}
}

func policyCommand() *cli.Command {
	flag := &cli.StringFlag{Name: "policy", Usage: "name of the policy", Value: policy.Placement}
	return &cli.Command{
		Name: "policy", Usage: "check, publish and show policies",
		Commands: documentCommands(func(cmd *cli.Command) string { return config.PolicyDocumentName(cmd.String("policy")) }, []cli.Flag{flag}),
	}
}

// documentCommands returns the subcommands that check, publish and show the document that name
// returns. flags are added to each of them.
func documentCommands(name func(cmd *cli.Command) string, flags []cli.Flag) []*cli.Command {
	return []*cli.Command{
		{
			Name: "check", Usage: "report the faults of a file and the decisions that it would change", ArgsUsage: "FILE",
			Flags:  append([]cli.Flag{&cli.BoolFlag{Name: "offline", Usage: "check only the file itself, without calling an entry"}}, flags...),
			Action: func(ctx context.Context, cmd *cli.Command) error { return checkDocument(ctx, cmd, name(cmd)) },
		},
		{
			Name: "publish", Usage: "publish a file", ArgsUsage: "FILE",
			Flags: append([]cli.Flag{
				&cli.IntFlag{Name: "based-on", Usage: "version that the file was made from; default: the newest one", Value: -1},
				&cli.StringFlag{Name: "comment", Usage: "why"},
				authorFlag(),
			}, flags...),
			Action: func(ctx context.Context, cmd *cli.Command) error { return publishDocument(ctx, cmd, name(cmd)) },
		},
		{
			Name: "history", Usage: "list the retained versions", Flags: flags,
			Action: func(ctx context.Context, cmd *cli.Command) error { return showHistory(ctx, cmd, name(cmd)) },
		},
		{
			Name: "show", Usage: "show the newest version",
			Flags: append([]cli.Flag{
				&cli.IntFlag{Name: "version", Usage: "show this version instead"},
				&cli.BoolFlag{Name: "in-force", Usage: "show which version each instance uses"},
			}, flags...),
			Action: func(ctx context.Context, cmd *cli.Command) error { return showDocument(ctx, cmd, name(cmd)) },
		},
	}
}

// readDocumentFile returns the content of the file that is the command's only argument.
func readDocumentFile(cmd *cli.Command) (string, error) {
	if cmd.Args().Len() != 1 {
		return "", newUsageError("give exactly one FILE")
	}
	content, err := os.ReadFile(cmd.Args().First())
	if err != nil {
		return "", &exitError{code: ExitUsage, cause: errors.Wrap(err, "read the file")}
	}
	if len(content) > state.MaxDocumentBytes {
		return "", newUsageError("the file has %d bytes; a document has at most %d", len(content), state.MaxDocumentBytes)
	}
	return string(content), nil
}

// checkDocument checks a file on an entry, or locally with --offline, and prints a report.
func checkDocument(ctx context.Context, cmd *cli.Command, name string) error {
	content, err := readDocumentFile(cmd)
	if err != nil {
		return err
	}
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	report := api.CheckReport{Valid: true}
	if cmd.Bool("offline") {
		if err := document.Check(name, []byte(content)); err != nil {
			return &exitError{code: ExitFaults, cause: err}
		}
	} else if err := c.call(ctx, http.MethodPost, documentPath(name)+"/check", nil, api.PublishRequest{Content: content}, &report); err != nil {
		return err
	}
	if err := c.printer.print(&report, []string{"CHECK", "RESULT"}, checkReportRows(&report)); err != nil {
		return err
	}
	if !report.Valid {
		return &exitError{code: ExitFaults, cause: errors.New("the document has faults: " + formatFaults(report.Faults))}
	}
	return nil
}

func documentPath(name string) string { return "/v1/documents/" + url.PathEscape(name) }

func checkReportRows(report *api.CheckReport) [][]string {
	rows := [][]string{{"valid", strconv.FormatBool(report.Valid)}}
	for _, fault := range report.Faults {
		rows = append(rows, []string{"fault", formatFaults([]api.Fault{fault})})
	}
	rows = append(rows, []string{"decisions checked", formatInt(report.CheckedDecisions)}, []string{"decisions changed", formatInt(len(report.Changes))})
	for _, change := range report.Changes {
		rows = append(rows, []string{"task " + change.Task, change.Before + " -> " + change.After})
	}
	return rows
}

// publishDocument publishes a file as the next version of the document.
func publishDocument(ctx context.Context, cmd *cli.Command, name string) error {
	content, err := readDocumentFile(cmd)
	if err != nil {
		return err
	}
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	basedOn, err := c.baseVersion(ctx, cmd, name)
	if err != nil {
		return err
	}
	request := api.PublishRequest{BasedOn: basedOn, Author: changeAuthor(cmd), Comment: cmd.String("comment"), Content: content}
	var published api.Document
	if err := c.call(ctx, http.MethodPut, documentPath(name), nil, request, &published); err != nil {
		return err
	}
	return c.printer.printFields(&published, "name", published.Name, "version", formatUint(published.Version), "author", published.Author)
}

// baseVersion returns the version on which a publication is based: the value of --based-on, or else
// the newest version, or 0 if there is none. The entry rejects the publication if that is no longer
// the newest version.
func (c *client) baseVersion(ctx context.Context, cmd *cli.Command, name string) (uint64, error) {
	if version := cmd.Int("based-on"); version >= 0 {
		return uint64(version), nil
	}
	var newest api.Document
	err := c.call(ctx, http.MethodGet, documentPath(name), nil, nil, &newest)
	var problem *api.Problem
	if errors.As(err, &problem) && problem.Type == api.TypeNotFound {
		return 0, nil
	}
	return newest.Version, err
}

// showHistory prints the retained versions of the document.
func showHistory(ctx context.Context, cmd *cli.Command, name string) error {
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	var versions []api.Document
	if err := c.call(ctx, http.MethodGet, documentPath(name)+"/history", nil, nil, &versions); err != nil {
		return err
	}
	rows := make([][]string, 0, len(versions))
	for _, version := range versions {
		rows = append(rows, []string{formatUint(version.Version), version.Author, version.WrittenAt.Format(timeFormat), version.Comment})
	}
	return c.printer.print(versions, []string{"VERSION", "AUTHOR", "WRITTEN", "COMMENT"}, rows)
}

// showDocument prints a version of the document, or with --in-force the version that each instance uses.
func showDocument(ctx context.Context, cmd *cli.Command, name string) error {
	if cmd.Bool("in-force") {
		return showInForce(ctx, cmd, name)
	}
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	path := documentPath(name)
	if version := cmd.Int("version"); version > 0 {
		path += "?version=" + strconv.Itoa(version)
	}
	var doc api.Document
	if err := c.call(ctx, http.MethodGet, path, nil, nil, &doc); err != nil {
		return err
	}
	if c.printer.asJSON {
		return c.printer.print(&doc, nil, nil)
	}
	_, err = fmt.Fprintf(c.printer.out, "# %s version %d by %s, %s\n%s", doc.Name, doc.Version, doc.Author, doc.WrittenAt.Format(timeFormat), doc.Content)
	return errors.Wrap(err, "print")
}

func inForceCommand() *cli.Command {
	return &cli.Command{
		Name: "in-force", Usage: "show which version of each document the instances use",
		Action: func(ctx context.Context, cmd *cli.Command) error { return showInForce(ctx, cmd, "") },
	}
}

// showInForce prints the version of the named document that each instance uses, or of all documents
// if name is empty.
func showInForce(ctx context.Context, cmd *cli.Command, name string) error {
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	var statuses []api.DocumentInForce
	if err := c.call(ctx, http.MethodGet, "/v1/in-force", nil, nil, &statuses); err != nil {
		return err
	}
	selected := []api.DocumentInForce{}
	rows := [][]string{}
	for _, status := range statuses {
		if name != "" && status.Document != name {
			continue
		}
		selected = append(selected, status)
		rows = append(rows, []string{status.Document, status.Role, status.Instance, formatUint(status.Version), formatUint(status.Accepted)})
	}
	return c.printer.print(selected, []string{"DOCUMENT", "ROLE", "INSTANCE", "IN FORCE", "ACCEPTED"}, rows)
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name: "version", Usage: "print the version and the record format that it supports",
		Action: func(_ context.Context, cmd *cli.Command) error {
			flags := &settings{command: cmd}
			printer := newPrinter(cmd, flags)
			if err := flags.err(); err != nil {
				return err
			}
			info := versionInfo{Version: version + revision(), Format: state.LatestFormat}
			return printer.printFields(&info, "version", info.Version, "record format", formatInt(int(info.Format)))
		},
	}
}
