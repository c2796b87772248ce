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
		Name: "workers", Usage: "show workers and what each carries",
		Action: func(ctx context.Context, from *cli.Command) error {
			calling, err := newClient(from)
			if err != nil {
				return err
			}
			workers, err := calling.workers(ctx)
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
			return calling.printer.print(workers, []string{"NAME", "FAILURE DOMAIN", "RACK", "STATE", "DRAINING", "FREE PROCESSORS", "SLOTS", "TASKS"}, rows)
		},
	}
}

// workers lists the workers that the entry knows.
func (calling *client) workers(ctx context.Context) ([]api.Worker, error) {
	var workers []api.Worker
	err := calling.call(ctx, http.MethodGet, "/v1/workers", nil, nil, &workers)
	return workers, err
}

func drainCommand() *cli.Command {
	return &cli.Command{
		Name: "drain", Usage: "move the tasks of a worker, or of all workers of a failure domain, elsewhere and place no more there", ArgsUsage: "WORKER",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "end", Usage: "end the drain"},
			&cli.StringFlag{Name: "failure-domain", Usage: "drain the workers that are in this failure domain now, in place of one worker"},
			authorFlag(),
		},
		Action: func(ctx context.Context, from *cli.Command) error {
			asked := api.DrainRequest{Draining: !from.Bool("end"), Author: changeAuthor(from)}
			if domain := from.String("failure-domain"); domain != "" {
				return drainFailureDomain(ctx, from, domain, asked)
			}
			return singleArgumentAction("WORKER", func(ctx context.Context, calling *client, worker string) error {
				done, err := calling.drain(ctx, worker, asked)
				if err != nil {
					return err
				}
				return calling.printer.printFields(&done, "worker", worker, "draining", strconv.FormatBool(done.Draining))
			})(ctx, from)
		},
	}
}

// drain begins or ends the drain of a worker.
func (calling *client) drain(ctx context.Context, worker string, asked api.DrainRequest) (api.DrainRequest, error) {
	var done api.DrainRequest
	err := calling.call(ctx, http.MethodPut, "/v1/workers/"+url.PathEscape(worker)+"/drain", nil, asked, &done)
	return done, err
}

// drainFailureDomain begins or ends the drain of each worker of a failure domain. A worker that
// joins later is not drained; `ambertiller workers` shows it.
func drainFailureDomain(ctx context.Context, from *cli.Command, domain string, asked api.DrainRequest) error {
	if from.Args().Present() {
		return newUsageError("give a WORKER or --failure-domain, not both")
	}
	calling, err := newClient(from)
	if err != nil {
		return err
	}
	workers, err := calling.workers(ctx)
	if err != nil {
		return err
	}
	rows := [][]string{}
	for _, worker := range workers {
		if worker.FailureDomain != domain {
			continue
		}
		done, err := calling.drain(ctx, worker.Name, asked)
		if err != nil {
			return errors.Wrapf(err, "worker %s, after %d others; call it again", worker.Name, len(rows))
		}
		rows = append(rows, []string{worker.Name, strconv.FormatBool(done.Draining)})
	}
	if len(rows) == 0 {
		return newUsageError("no worker is in the failure domain %q; see `ambertiller workers`", domain)
	}
	return calling.printer.print(rows, []string{"WORKER", "DRAINING"}, rows)
}

func authorFlag() cli.Flag {
	return &cli.StringFlag{Name: "author", Usage: "who makes the change; default: the user", Sources: envVar("AUTHOR")}
}

func changeAuthor(from *cli.Command) string {
	if author := from.String("author"); author != "" {
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
		Commands: documentCommands(func(from *cli.Command) string { return config.PolicyDocumentName(from.String("policy")) }, []cli.Flag{flag}),
	}
}

// documentCommands are the commands on the document that name returns.
func documentCommands(name func(from *cli.Command) string, flags []cli.Flag) []*cli.Command {
	return []*cli.Command{
		{
			Name: "check", Usage: "say what is wrong in a file and what it would change", ArgsUsage: "FILE",
			Flags:  append([]cli.Flag{&cli.BoolFlag{Name: "offline", Usage: "check the file alone, without asking an entry"}}, flags...),
			Action: func(ctx context.Context, from *cli.Command) error { return checkDocument(ctx, from, name(from)) },
		},
		{
			Name: "publish", Usage: "publish a file", ArgsUsage: "FILE",
			Flags: append([]cli.Flag{
				&cli.IntFlag{Name: "based-on", Usage: "version the file was made from; default: the newest now", Value: -1},
				&cli.StringFlag{Name: "comment", Usage: "why"},
				authorFlag(),
			}, flags...),
			Action: func(ctx context.Context, from *cli.Command) error { return publishDocument(ctx, from, name(from)) },
		},
		{
			Name: "history", Usage: "list the versions that are kept", Flags: flags,
			Action: func(ctx context.Context, from *cli.Command) error { return showHistory(ctx, from, name(from)) },
		},
		{
			Name: "show", Usage: "show the newest version",
			Flags: append([]cli.Flag{
				&cli.IntFlag{Name: "version", Usage: "show this version instead"},
				&cli.BoolFlag{Name: "in-force", Usage: "show which instances decide by which version"},
			}, flags...),
			Action: func(ctx context.Context, from *cli.Command) error { return showDocument(ctx, from, name(from)) },
		},
	}
}

func readDocumentFile(from *cli.Command) (string, error) {
	if from.Args().Len() != 1 {
		return "", newUsageError("give exactly one FILE")
	}
	content, err := os.ReadFile(from.Args().First())
	if err != nil {
		return "", &exitError{code: ExitUsage, cause: errors.Wrap(err, "read the file")}
	}
	if len(content) > state.MaxDocumentBytes {
		return "", newUsageError("the file has %d bytes; a document has at most %d", len(content), state.MaxDocumentBytes)
	}
	return string(content), nil
}

func checkDocument(ctx context.Context, from *cli.Command, name string) error {
	content, err := readDocumentFile(from)
	if err != nil {
		return err
	}
	calling, err := newClient(from)
	if err != nil {
		return err
	}
	report := api.CheckReport{Valid: true}
	if from.Bool("offline") {
		if err := document.Check(name, []byte(content)); err != nil {
			return &exitError{code: ExitFaults, cause: err}
		}
	} else if err := calling.call(ctx, http.MethodPost, documentPath(name)+"/check", nil, api.PublishRequest{Content: content}, &report); err != nil {
		return err
	}
	if err := calling.printer.print(&report, []string{"CHECK", "RESULT"}, checkReportRows(&report)); err != nil {
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

func publishDocument(ctx context.Context, from *cli.Command, name string) error {
	content, err := readDocumentFile(from)
	if err != nil {
		return err
	}
	calling, err := newClient(from)
	if err != nil {
		return err
	}
	basedOn, err := calling.baseVersion(ctx, from, name)
	if err != nil {
		return err
	}
	asked := api.PublishRequest{BasedOn: basedOn, Author: changeAuthor(from), Comment: from.String("comment"), Content: content}
	var published api.Document
	if err := calling.call(ctx, http.MethodPut, documentPath(name), nil, asked, &published); err != nil {
		return err
	}
	return calling.printer.printFields(&published, "name", published.Name, "version", formatUint(published.Version), "author", published.Author)
}

// baseVersion returns the version that a publication starts from.
func (calling *client) baseVersion(ctx context.Context, from *cli.Command, name string) (uint64, error) {
	if given := from.Int("based-on"); given >= 0 {
		return uint64(given), nil
	}
	var newest api.Document
	err := calling.call(ctx, http.MethodGet, documentPath(name), nil, nil, &newest)
	var problem *api.Problem
	if errors.As(err, &problem) && problem.Type == api.TypeNotFound {
		return 0, nil
	}
	return newest.Version, err
}

func showHistory(ctx context.Context, from *cli.Command, name string) error {
	calling, err := newClient(from)
	if err != nil {
		return err
	}
	var versions []api.Document
	if err := calling.call(ctx, http.MethodGet, documentPath(name)+"/history", nil, nil, &versions); err != nil {
		return err
	}
	rows := make([][]string, 0, len(versions))
	for _, version := range versions {
		rows = append(rows, []string{formatUint(version.Version), version.Author, version.WrittenAt.Format(timeFormat), version.Comment})
	}
	return calling.printer.print(versions, []string{"VERSION", "AUTHOR", "WRITTEN", "COMMENT"}, rows)
}

func showDocument(ctx context.Context, from *cli.Command, name string) error {
	if from.Bool("in-force") {
		return showInForce(ctx, from, name)
	}
	calling, err := newClient(from)
	if err != nil {
		return err
	}
	path := documentPath(name)
	if version := from.Int("version"); version > 0 {
		path += "?version=" + strconv.Itoa(version)
	}
	var shown api.Document
	if err := calling.call(ctx, http.MethodGet, path, nil, nil, &shown); err != nil {
		return err
	}
	if calling.printer.asJSON {
		return calling.printer.print(&shown, nil, nil)
	}
	_, err = fmt.Fprintf(calling.printer.out, "# %s version %d by %s, %s\n%s", shown.Name, shown.Version, shown.Author, shown.WrittenAt.Format(timeFormat), shown.Content)
	return errors.Wrap(err, "print")
}

func inForceCommand() *cli.Command {
	return &cli.Command{
		Name: "in-force", Usage: "show which instances decide by which versions of all documents",
		Action: func(ctx context.Context, from *cli.Command) error { return showInForce(ctx, from, "") },
	}
}

func showInForce(ctx context.Context, from *cli.Command, name string) error {
	calling, err := newClient(from)
	if err != nil {
		return err
	}
	var all []api.DocumentInForce
	if err := calling.call(ctx, http.MethodGet, "/v1/in-force", nil, nil, &all); err != nil {
		return err
	}
	listed := []api.DocumentInForce{}
	rows := [][]string{}
	for _, each := range all {
		if name != "" && each.Document != name {
			continue
		}
		listed = append(listed, each)
		rows = append(rows, []string{each.Document, each.Role, each.Instance, formatUint(each.Version), formatUint(each.Accepted)})
	}
	return calling.printer.print(listed, []string{"DOCUMENT", "ROLE", "INSTANCE", "IN FORCE", "ACCEPTED"}, rows)
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name: "version", Usage: "print the version and the record format it knows",
		Action: func(_ context.Context, from *cli.Command) error {
			given := &settings{command: from}
			out := newPrinter(from, given)
			if err := given.err(); err != nil {
				return err
			}
			info := versionInfo{Version: version + revision(), Format: state.LatestFormat}
			return out.printFields(&info, "version", info.Version, "record format", formatInt(int(info.Format)))
		},
	}
}
