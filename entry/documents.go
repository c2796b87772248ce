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

// apiDocument converts a stored document. Lists leave out the content.
func apiDocument(stored *record.Document, withContent bool) api.Document {
	doc := api.Document{
		Name:      stored.GetName(),
		Version:   stored.GetVersion(),
		Author:    stored.GetAuthor(),
		Comment:   stored.GetComment(),
		WrittenAt: time.Unix(0, stored.GetWrittenUnixNano()).UTC(),
	}
	if withContent {
		doc.Content = string(stored.GetContent())
	}
	return doc
}

func (entry *Entry) serveDocuments(writer http.ResponseWriter) {
	list := []api.Document{}
	entry.journal.View(func(st *state.State) {
		for _, stored := range st.Documents() {
			list = append(list, apiDocument(stored, false))
		}
	})
	writeJSON(writer, http.StatusOK, list)
}

// serveDocument responds with the newest version of a document, or with the one in
// the query parameter "version".
func (entry *Entry) serveDocument(writer http.ResponseWriter, request *http.Request, name string) {
	var doc *api.Document
	version := request.URL.Query().Get("version")
	entry.journal.View(func(st *state.State) {
		for _, stored := range st.DocumentHistory(name) {
			if version == "" || version == strconv.FormatUint(stored.GetVersion(), 10) {
				match := apiDocument(stored, true)
				doc = &match
			}
		}
	})
	if doc == nil {
		writeProblem(writer, notFoundProblem("no such version of "+strconv.Quote(name)+" is kept"))
		return
	}
	writeJSON(writer, http.StatusOK, doc)
}

// serveHistory lists the stored versions of a document, newest first.
func (entry *Entry) serveHistory(writer http.ResponseWriter, name string) {
	list := []api.Document{}
	entry.journal.View(func(st *state.State) {
		for _, stored := range st.DocumentHistory(name) {
			list = append(list, apiDocument(stored, false))
		}
	})
	slices.Reverse(list)
	writeJSON(writer, http.StatusOK, list)
}

// servePublish publishes a new version of a document if it is valid and based on the
// newest version.
func (entry *Entry) servePublish(writer http.ResponseWriter, request *http.Request, name string) {
	var body api.PublishRequest
	if problem := decodeBody(writer, request, &body); problem != nil {
		writeProblem(writer, problem)
		return
	}
	doc, problem := entry.publish(request.Context(), name, &body)
	if problem != nil {
		writeProblem(writer, problem)
		return
	}
	writeJSON(writer, http.StatusOK, doc)
}

// publish validates the document and appends it to the log. If another version was
// published meanwhile, it returns a conflict.
func (entry *Entry) publish(ctx context.Context, name string, body *api.PublishRequest) (*api.Document, *api.Problem) {
	if faults := apiFaults(document.Check(name, []byte(body.Content))); len(faults) > 0 {
		problem := badRequestProblem("the document has faults; correct them and publish it again")
		problem.Faults = faults
		return nil, problem
	}
	now := entry.now()
	rec := changelog.NewRecord(now)
	rec.Body = &record.Record_Publish{Publish: &record.Publish{
		Document: name,
		BasedOn:  body.BasedOn,
		Author:   body.Author,
		Comment:  body.Comment,
		Content:  []byte(body.Content),
	}}
	outcome, problem := entry.appendChange(ctx, rec)
	if problem != nil {
		return nil, problem
	}
	if !outcome.IsAccepted() {
		entry.options.Events.Log(ctx, event.DocumentConflict, slog.String("document", name), slog.Uint64("based_on", body.BasedOn), slog.String("author", body.Author))
		return nil, newProblem(http.StatusConflict, api.TypeConflict, "The publication was not accepted",
			fmt.Sprintf("%s: it was based on version %d and the newest is %d; look at that one and publish again", outcome.Reason(), body.BasedOn, entry.newestVersion(name)))
	}
	entry.options.Events.Log(ctx, event.DocumentPublished, slog.String("document", name), slog.Uint64("version", body.BasedOn+1), slog.String("author", body.Author))
	return &api.Document{Name: name, Version: body.BasedOn + 1, Author: body.Author, Comment: body.Comment, WrittenAt: now.UTC()}, nil
}

func (entry *Entry) newestVersion(name string) (version uint64) {
	entry.journal.View(func(st *state.State) { version = st.Document(name).GetVersion() })
	return version
}

// apiFaults converts the error of a document check into a list of faults.
func apiFaults(err error) []api.Fault {
	if err == nil {
		return nil
	}
	var configFaults config.Faults
	if errors.As(err, &configFaults) {
		faults := make([]api.Fault, 0, len(configFaults))
		for _, fault := range configFaults {
			faults = append(faults, api.Fault(fault))
		}
		return faults
	}
	var syntaxErr *policy.SyntaxError
	if errors.As(err, &syntaxErr) {
		return []api.Fault{{Line: syntaxErr.Line, Column: syntaxErr.Column, Message: syntaxErr.Message}}
	}
	return []api.Fault{{Message: err.Error()}}
}

// serveCheck validates a document without publishing it. For a placement policy it
// also lists the decisions that the policy would change in the present state.
func (entry *Entry) serveCheck(writer http.ResponseWriter, request *http.Request, name string) {
	var body api.PublishRequest
	if problem := decodeBody(writer, request, &body); problem != nil {
		writeProblem(writer, problem)
		return
	}
	report := &api.CheckReport{Faults: apiFaults(document.Check(name, []byte(body.Content)))}
	report.Valid = len(report.Faults) == 0
	if report.Valid && name == config.PolicyDocumentName(policy.Placement) {
		entry.dryRun(report, body.Content)
	}
	writeJSON(writer, http.StatusOK, report)
}

// dryRun compares the decisions of the policy in force and of the proposed one for
// every task that has not ended, as if each task were submitted now. A policy that
// fails for a task is not valid.
func (entry *Entry) dryRun(report *api.CheckReport, source string) {
	proposed := document.NewActiveSet()
	if _, err := proposed.Activate(document.Copy{Name: config.PolicyDocumentName(policy.Placement), Version: 1, Content: []byte(source)}); err != nil {
		report.Faults = apiFaults(err)
		return
	}
	settings := entry.documents.Config()
	if settings == nil {
		return
	}
	now := entry.now()
	runner := policy.NewRunner()
	entry.journal.View(func(st *state.State) {
		workers := entry.placer.workerSet(st, now)
		for _, task := range st.Tasks() {
			if task.Phase().IsTerminal() {
				continue
			}
			placementTask := entry.placer.newPlacementTask(settings, task, now)
			before := workers.Decide(runner, entry.policies(), placementTask)
			after := workers.Decide(runner, placement.Policies{InForce: proposed.PlacementPolicy(), BuiltIn: proposed.BuiltInPolicy()}, placementTask)
			report.CheckedDecisions++
			if policyErr := after.PolicyError(); policyErr != nil {
				report.Valid = false
				report.Faults = append(report.Faults, api.Fault{Line: 1, Column: 1, Message: "it fails for task " + task.ID() + ": " + policyErr.Error()})
				return
			}
			if before.Worker() != after.Worker() {
				report.Changes = append(report.Changes, api.DecisionChange{Task: task.ID(), Before: before.Worker(), After: after.Worker()})
			}
		}
	})
}

// serveInForce lists the document versions in force on this entry, the other entries
// and the guards. Those of other instances are as of their last message, which they
// send once a second.
func (entry *Entry) serveInForce(writer http.ResponseWriter) {
	acceptedVersions := map[string]uint64{}
	entry.journal.View(func(st *state.State) {
		for _, stored := range st.Documents() {
			acceptedVersions[stored.GetName()] = stored.GetVersion()
		}
	})
	list := []api.DocumentInForce{}
	for _, version := range entry.documents.Versions() {
		list = append(list, api.DocumentInForce{Instance: entry.options.Name, Role: "entry", Document: version.Name, Version: version.Version, Accepted: acceptedVersions[version.Name]})
	}
	for _, peer := range entry.view.Peers() {
		list = append(list, inForceVersions(peer.Name, "entry", peer.Documents, acceptedVersions)...)
	}
	for _, guard := range entry.view.Guards() {
		list = append(list, inForceVersions(guard.Name(), "guard", documentVersions(guard), acceptedVersions)...)
	}
	slices.SortStableFunc(list, func(a, b api.DocumentInForce) int {
		return cmp.Or(cmp.Compare(a.Document, b.Document), cmp.Compare(a.Role, b.Role), cmp.Compare(a.Instance, b.Instance))
	})
	writeJSON(writer, http.StatusOK, list)
}

func documentVersions(guard *membership.Guard) []document.Version {
	versions := make([]document.Version, 0, len(guard.Documents()))
	for _, version := range guard.Documents() {
		versions = append(versions, document.Version{Name: version.GetName(), Version: version.GetVersion()})
	}
	return versions
}

func inForceVersions(name, role string, versions []document.Version, acceptedVersions map[string]uint64) []api.DocumentInForce {
	list := make([]api.DocumentInForce, 0, len(versions))
	for _, version := range versions {
		list = append(list, api.DocumentInForce{Instance: name, Role: role, Document: version.Name, Version: version.Version, Accepted: acceptedVersions[version.Name]})
	}
	return list
}
