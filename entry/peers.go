package entry

import (
	"context"
	"sync"

	"ambertiller.example/ambertiller/membership"
	"ambertiller.example/ambertiller/wire"
)

// Documents answers another entry, or the guard of another process, with the
// documents that it lacks. It implements the drpc service.
func (entry *Entry) Documents(ctx context.Context, request *wire.DocumentsRequest) (*wire.DocumentsReply, error) {
	have := wire.DecodeVersions(request.GetHave())
	return &wire.DocumentsReply{
		Entry:     entry.options.Name,
		Documents: wire.EncodeCopies(entry.documents.NewerThan(have)),
		InForce:   wire.EncodeVersions(entry.documents.Versions()),
	}, nil
}

// SyncPeers learns which other entries are there, and takes over documents that
// they have and the log has not brought here.
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

func (entry *Entry) syncPeer(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := &wire.DocumentsRequest{Entry: entry.options.Name, Have: wire.EncodeVersions(entry.documents.Versions())}
	reply, err := wire.NewDRPCEntryClient(entry.options.Pool.Conn(address)).Documents(ctx, request)
	if err != nil {
		return
	}
	entry.view.UpdatePeer(membership.Peer{Name: reply.GetEntry(), LastAnswerAt: entry.now(), Documents: wire.DecodeVersions(reply.GetInForce())})
	for _, copied := range reply.GetDocuments() {
		entry.applyDocument(ctx, wire.DecodeCopy(copied))
	}
}

// fetchIfNewer notices that a guard holds a newer document than this entry,
// as after a cold start with the log down, and fetches it.
func (entry *Entry) fetchIfNewer(ctx context.Context, held []*wire.DocumentVersion, address string) {
	mine := map[string]uint64{}
	for _, each := range entry.documents.Versions() {
		mine[each.Name] = each.Version
	}
	for _, each := range held {
		if each.GetVersion() > mine[each.GetName()] {
			entry.background.Go(func() { entry.fetchDocuments(context.WithoutCancel(ctx), address) })
			return
		}
	}
}

func (entry *Entry) fetchDocuments(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := &wire.DocumentsRequest{Entry: entry.options.Name, Have: wire.EncodeVersions(entry.documents.Versions())}
	reply, err := wire.NewDRPCGuardClient(entry.options.Pool.Conn(address)).Documents(ctx, request)
	if err != nil {
		return
	}
	for _, copied := range reply.GetDocuments() {
		entry.applyDocument(ctx, wire.DecodeCopy(copied))
	}
}
