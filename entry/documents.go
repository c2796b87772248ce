package entry

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"ambertiller.example/ambertiller/api"
	"ambertiller.example/ambertiller/changelog"
	"ambertiller.example/ambertiller/config"
	"ambertiller.example/ambertiller/document"
	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/membership"
	"ambertiller.example/ambertiller/placement"
	"ambertiller.example/ambertiller/policy"
	"ambertiller.example/ambertiller/record"
	"ambertiller.example/ambertiller/state"
)

func apiDocument(kept *record.Document, content bool) api.Document {
	shown := api.Document{
		Name:      kept.GetName(),
		Version:   kept.GetVersion(),
		Author:    kept.GetAuthor(),
		Comment:   kept.GetComment(),
		WrittenAt: time.Unix(0, kept.GetWrittenUnixNano()).UTC(),
	}
	if content {
		shown.Content = string(kept.GetContent())
	}
	return shown
}

func (entry *Entry) serveDocuments(writer http.ResponseWriter) {
	listed := []api.Document{}
	entry.journal.View(func(folded *state.State) {
		for _, kept := range folded.Documents() {
			listed = append(listed, apiDocument(kept, false))
		}
	})
	writeJSON(writer, http.StatusOK, listed)
}

// serveDocument shows the newest version, or the one that the query names.
func (entry *Entry) serveDocument(writer http.ResponseWriter, request *http.Request, name string) {
	var shown *api.Document
	wanted := request.URL.Query().Get("version")
	entry.journal.View(func(folded *state.State) {
		for _, kept := range folded.DocumentHistory(name) {
			if wanted == "" || wanted == strconv.FormatUint(kept.GetVersion(), 10) {
				found := apiDocument(kept, true)
				shown = &found
			}
		}
	})
	if shown == nil {
		writeProblem(writer, notFoundProblem("no such version of "+strconv.Quote(name)+" is kept"))
		return
	}
	writeJSON(writer, http.StatusOK, shown)
}

func (entry *Entry) serveHistory(writer http.ResponseWriter, name string) {
	listed := []api.Document{}
	entry.journal.View(func(folded *state.State) {
		for _, kept := range folded.DocumentHistory(name) {
			listed = append(listed, apiDocument(kept, false))
		}
	})
	slices.Reverse(listed)
	writeJSON(writer, http.StatusOK, listed)
}

// servePublish accepts a version of a document into the log, if it is valid
// and based on the newest version.
func (entry *Entry) servePublish(writer http.ResponseWriter, request *http.Request, name string) {
	var asked api.PublishRequest
	if sent := decodeBody(writer, request, &asked); sent != nil {
		writeProblem(writer, sent)
		return
	}
	shown, sent := entry.publish(request.Context(), name, &asked)
	if sent != nil {
		writeProblem(writer, sent)
		return
	}
	writeJSON(writer, http.StatusOK, shown)
}

func (entry *Entry) publish(ctx context.Context, name string, asked *api.PublishRequest) (*api.Document, *api.Problem) {
	if faults := apiFaults(document.Check(name, []byte(asked.Content))); len(faults) > 0 {
		sent := badRequestProblem("the document has faults; correct them and publish it again")
		sent.Faults = faults
		return nil, sent
	}
	now := entry.now()
	rec := changelog.NewRecord(now)
	rec.Body = &record.Record_Publish{Publish: &record.Publish{
		Document: name,
		BasedOn:  asked.BasedOn,
		Author:   asked.Author,
		Comment:  asked.Comment,
		Content:  []byte(asked.Content),
	}}
	outcome, sent := entry.appendChange(ctx, rec)
	if sent != nil {
		return nil, sent
	}
	if !outcome.IsAccepted() {
		entry.options.Events.Log(ctx, event.DocumentConflict, slog.String("document", name), slog.Uint64("based_on", asked.BasedOn), slog.String("author", asked.Author))
		return nil, newProblem(http.StatusConflict, api.TypeConflict, "The publication was not accepted",
			fmt.Sprintf("%s: it was based on version %d and the newest is %d; look at that one and publish again", outcome.Reason(), asked.BasedOn, entry.newestVersion(name)))
	}
	entry.options.Events.Log(ctx, event.DocumentPublished, slog.String("document", name), slog.Uint64("version", asked.BasedOn+1), slog.String("author", asked.Author))
	return &api.Document{Name: name, Version: asked.BasedOn + 1, Author: asked.Author, Comment: asked.Comment, WrittenAt: now.UTC()}, nil
}

func (entry *Entry) newestVersion(name string) (version uint64) {
	entry.journal.View(func(folded *state.State) { version = folded.Document(name).GetVersion() })
	return version
}

// apiFaults lists what is wrong in a document.
func apiFaults(err error) []api.Fault {
	if err == nil {
		return nil
	}
	var found config.Faults
	if errors.As(err, &found) {
		listed := make([]api.Fault, 0, len(found))
		for _, fault := range found {
			listed = append(listed, api.Fault(fault))
		}
		return listed
	}
	var syntax *policy.SyntaxError
	if errors.As(err, &syntax) {
		return []api.Fault{{Line: syntax.Line, Column: syntax.Column, Message: syntax.Message}}
	}
	return []api.Fault{{Message: err.Error()}}
}

// serveCheck says what is wrong in a document, and which decisions a policy
// would change on the present state.
func (entry *Entry) serveCheck(writer http.ResponseWriter, request *http.Request, name string) {
	var asked api.PublishRequest
	if sent := decodeBody(writer, request, &asked); sent != nil {
		writeProblem(writer, sent)
		return
	}
	report := &api.CheckReport{Faults: apiFaults(document.Check(name, []byte(asked.Content)))}
	report.Valid = len(report.Faults) == 0
	if report.Valid && name == config.PolicyDocumentName(policy.Placement) {
		entry.dryRun(report, asked.Content)
	}
	writeJSON(writer, http.StatusOK, report)
}

// dryRun decides for every task that waits or is placed, by the policy in
// force and by the proposed one, as if it came now.
func (entry *Entry) dryRun(report *api.CheckReport, source string) {
	trial := document.NewActiveSet()
	if _, err := trial.Activate(document.Copy{Name: config.PolicyDocumentName(policy.Placement), Version: 1, Content: []byte(source)}); err != nil {
		report.Faults = apiFaults(err)
		return
	}
	settings := entry.documents.Config()
	if settings == nil {
		return
	}
	now := entry.now()
	runner := policy.NewRunner()
	entry.journal.View(func(folded *state.State) {
		board := entry.placer.workerSet(folded, now)
		for _, task := range folded.Tasks() {
			if task.Phase().IsTerminal() {
				continue
			}
			asked := entry.placer.newPlacementTask(settings, task, now)
			before := board.Decide(runner, entry.policies(), asked)
			after := board.Decide(runner, placement.Policies{InForce: trial.PlacementPolicy(), BuiltIn: trial.BuiltInPolicy()}, asked)
			report.CheckedDecisions++
			if failure := after.PolicyError(); failure != nil {
				report.Valid = false
				report.Faults = append(report.Faults, api.Fault{Line: 1, Column: 1, Message: "it fails for task " + task.ID() + ": " + failure.Error()})
				return
			}
			if before.Worker() != after.Worker() {
				report.Changes = append(report.Changes, api.DecisionChange{Task: task.ID(), Before: before.Worker(), After: after.Worker()})
			}
		}
	})
}

// serveInForce says which instances decide by which versions, as this entry
// has heard: its own at once, guards once a second.
func (entry *Entry) serveInForce(writer http.ResponseWriter) {
	accepted := map[string]uint64{}
	entry.journal.View(func(folded *state.State) {
		for _, kept := range folded.Documents() {
			accepted[kept.GetName()] = kept.GetVersion()
		}
	})
	listed := []api.DocumentInForce{}
	for _, each := range entry.documents.Versions() {
		listed = append(listed, api.DocumentInForce{Instance: entry.options.Name, Role: "entry", Document: each.Name, Version: each.Version, Accepted: accepted[each.Name]})
	}
	for _, peer := range entry.view.Peers() {
		listed = append(listed, inForceVersions(peer.Name, "entry", peer.Documents, accepted)...)
	}
	for _, guard := range entry.view.Guards() {
		listed = append(listed, inForceVersions(guard.Name(), "guard", documentVersions(guard), accepted)...)
	}
	slices.SortStableFunc(listed, func(a, b api.DocumentInForce) int {
		return cmp.Or(cmp.Compare(a.Document, b.Document), cmp.Compare(a.Role, b.Role), cmp.Compare(a.Instance, b.Instance))
	})
	writeJSON(writer, http.StatusOK, listed)
}

func documentVersions(guard *membership.Guard) []document.Version {
	versions := make([]document.Version, 0, len(guard.Documents()))
	for _, each := range guard.Documents() {
		versions = append(versions, document.Version{Name: each.GetName(), Version: each.GetVersion()})
	}
	return versions
}

func inForceVersions(name, role string, versions []document.Version, accepted map[string]uint64) []api.DocumentInForce {
	listed := make([]api.DocumentInForce, 0, len(versions))
	for _, each := range versions {
		listed = append(listed, api.DocumentInForce{Instance: name, Role: role, Document: each.Name, Version: each.Version, Accepted: accepted[each.Name]})
	}
	return listed
}
