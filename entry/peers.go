package entry

import (
	"context"
	"sync"

	"ambertiller.example/ambertiller/membership"
	"ambertiller.example/ambertiller/wire"
)

// Documents returns the documents that are newer than the versions in the request.
// Entries call it to synchronize with each other. It implements the DRPC service of
// entries.
func (entry *Entry) Documents(ctx context.Context, request *wire.DocumentsRequest) (*wire.DocumentsReply, error) {
	have := wire.DecodeVersions(request.GetHave())
	return &wire.DocumentsReply{
		Entry:     entry.options.Name,
		Documents: wire.EncodeCopies(entry.documents.NewerThan(have)),
		InForce:   wire.EncodeVersions(entry.documents.Versions()),
	}, nil
}

// SyncPeers asks every other entry on the platform's list for its documents. The
// replies show which entries are live, and bring documents that this entry has not
// read from the log yet.
func (entry *Entry) SyncPeers(ctx context.Context) {
	var calls sync.WaitGroup
	for _, peer := range entry.view.Entries() {
		if peer.Name == entry.options.Name {
			continue
		}
		calls.Go(func() { entry.syncPeer(ctx, peer.Address) })
	}
	calls.Wait()
}

// syncPeer asks one entry. An entry that does not answer is tried again in the next
// round.
func (entry *Entry) syncPeer(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := &wire.DocumentsRequest{Entry: entry.options.Name, Have: wire.EncodeVersions(entry.documents.Versions())}
	reply, err := wire.NewDRPCEntryClient(entry.options.Pool.Conn(address)).Documents(ctx, request)
	if err != nil {
		return
	}
	entry.view.UpdatePeer(membership.Peer{Name: reply.GetEntry(), LastAnswerAt: entry.now(), Documents: wire.DecodeVersions(reply.GetInForce())})
	for _, doc := range reply.GetDocuments() {
		entry.applyDocument(ctx, wire.DecodeCopy(doc))
	}
}

// fetchIfNewer fetches the documents of a guard in the background if it has a
// newer version than this entry. This happens when an entry starts while the log
// is down.
func (entry *Entry) fetchIfNewer(ctx context.Context, guardVersions []*wire.DocumentVersion, address string) {
	ownVersions := map[string]uint64{}
	for _, version := range entry.documents.Versions() {
		ownVersions[version.Name] = version.Version
	}
	for _, version := range guardVersions {
		if version.GetVersion() > ownVersions[version.GetName()] {
			entry.background.Go(func() { entry.fetchDocuments(context.WithoutCancel(ctx), address) })
			return
		}
	}
}

// fetchDocuments applies the documents of the guard that are newer than this entry's.
func (entry *Entry) fetchDocuments(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := &wire.DocumentsRequest{Entry: entry.options.Name, Have: wire.EncodeVersions(entry.documents.Versions())}
	reply, err := wire.NewDRPCGuardClient(entry.options.Pool.Conn(address)).Documents(ctx, request)
	if err != nil {
		return
	}
	for _, doc := range reply.GetDocuments() {
		entry.applyDocument(ctx, wire.DecodeCopy(doc))
	}
}
