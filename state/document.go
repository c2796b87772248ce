package state

import (
	"maps"
	"slices"

	"ambertiller.example/ambertiller/record"
)

// Document returns the version of a document that the log accepted last, nil
// when none was published.
func (folded *State) Document(name string) *record.Document {
	history := folded.documents[name]
	if len(history) == 0 {
		return nil
	}
	return history[len(history)-1]
}

// DocumentHistory returns the kept versions of a document, oldest first.
func (folded *State) DocumentHistory(name string) []*record.Document {
	return slices.Clone(folded.documents[name])
}

// Documents returns the newest version of every document, by name.
func (folded *State) Documents() []*record.Document {
	newest := make([]*record.Document, 0, len(folded.documents))
	for _, name := range slices.Sorted(maps.Keys(folded.documents)) {
		newest = append(newest, folded.Document(name))
	}
	return newest
}

// publishDocument accepts a version that is based on the newest one. The content is
// not looked at: two builds could judge it differently and so diverge.
func (folded *State) publishDocument(publish *record.Publish, written int64) Reason {
	name := publish.GetDocument()
	if !isValidName(name) || len(publish.GetContent()) > MaxDocumentBytes ||
		len(publish.GetAuthor()) > maxNameBytes || len(publish.GetComment()) > maxNameBytes {
		return ReasonInvalid
	}
	newest := folded.Document(name)
	if newest.GetVersion() != publish.GetBasedOn() {
		return ReasonStale
	}
	history := folded.documents[name]
	history = append(history, &record.Document{
		Name:            name,
		Version:         newest.GetVersion() + 1,
		Content:         publish.GetContent(),
		Author:          publish.GetAuthor(),
		Comment:         publish.GetComment(),
		WrittenUnixNano: written,
	})
	if len(history) > maxDocumentVersions {
		history = slices.Delete(history, 0, 1)
	}
	folded.documents[name] = history
	return ""
}
