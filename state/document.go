package state

import (
	"maps"
	"slices"

	"ambertiller.example/ambertiller/record"
)

// Document returns the newest accepted version of a document, or nil if none was
// published.
func (s *State) Document(name string) *record.Document {
	history := s.documents[name]
	if len(history) == 0 {
		return nil
	}
	return history[len(history)-1]
}

// DocumentHistory returns the versions of a document that are kept, oldest first.
func (s *State) DocumentHistory(name string) []*record.Document {
	return slices.Clone(s.documents[name])
}

// Documents returns the newest version of every document, sorted by name.
func (s *State) Documents() []*record.Document {
	documents := make([]*record.Document, 0, len(s.documents))
	for _, name := range slices.Sorted(maps.Keys(s.documents)) {
		documents = append(documents, s.Document(name))
	}
	return documents
}

// publishDocument accepts a version that is based on the newest one. The content
// is not validated: two builds could validate it differently and diverge.
func (s *State) publishDocument(publish *record.Publish, writtenNanos int64) Reason {
	name := publish.GetDocument()
	if !isValidName(name) || len(publish.GetContent()) > MaxDocumentBytes ||
		len(publish.GetAuthor()) > maxNameBytes || len(publish.GetComment()) > maxNameBytes {
		return ReasonInvalid
	}
	newest := s.Document(name)
	if newest.GetVersion() != publish.GetBasedOn() {
		return ReasonStale
	}
	history := s.documents[name]
	history = append(history, &record.Document{
		Name:            name,
		Version:         newest.GetVersion() + 1,
		Content:         publish.GetContent(),
		Author:          publish.GetAuthor(),
		Comment:         publish.GetComment(),
		WrittenUnixNano: writtenNanos,
	})
	if len(history) > maxDocumentVersions {
		history = slices.Delete(history, 0, 1)
	}
	s.documents[name] = history
	return ""
}
