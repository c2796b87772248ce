package changelog

import (
	"context"
	"log/slog"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/logservice"
	"ambertiller.example/ambertiller/record"
	"ambertiller.example/ambertiller/state"
)

const (
	snapshotChunkBytes     = 256 << 10
	maxSnapshotReadEntries = 64
)

// writeSnapshotIfDue writes a snapshot if SnapshotEvery entries have been applied
// since the last one that this instance knows of. The entries do not agree on
// who writes it: each looks for a newer snapshot of another entry before it
// writes its own, and two snapshots of the same range do no harm.
func (j *Journal) writeSnapshotIfDue(ctx context.Context) {
	j.mu.Lock()
	due := j.caughtUp && j.state.NextOffset()-j.snapshotOffset >= j.options.SnapshotEvery
	j.mu.Unlock()
	if !due {
		return
	}
	if newest, err := j.newestSnapshot(ctx); err == nil && newest != nil && j.recordSnapshot(newest.nextOffset) {
		return
	}
	if err := j.WriteSnapshot(ctx); err != nil {
		j.logEvent(ctx, event.SnapshotFailed, slog.String("error", err.Error()))
	}
}

// recordSnapshot records the offset of a snapshot found in the log and reports
// whether it is recent enough that no new one is due.
func (j *Journal) recordSnapshot(nextOffset int64) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.snapshotOffset = max(j.snapshotOffset, nextOffset)
	return j.state.NextOffset()-j.snapshotOffset < j.options.SnapshotEvery
}

// WriteSnapshot writes a snapshot of the current state to the log, in chunks.
func (j *Journal) WriteSnapshot(ctx context.Context) error {
	j.mu.Lock()
	data, err := j.state.Snapshot()
	next := j.state.NextOffset()
	format := j.state.RecordFormat()
	j.snapshotOffset = next
	j.mu.Unlock()
	if err != nil {
		return err
	}
	chunks := splitSnapshot(data, next, format)
	for _, chunk := range chunks {
		if err := j.appendChunk(ctx, chunk); err != nil {
			return err
		}
	}
	j.logEvent(ctx, event.SnapshotWritten, slog.Int64("next_offset", next), slog.Int("bytes", len(data)), slog.Int("chunks", len(chunks)))
	return nil
}

func (j *Journal) appendChunk(ctx context.Context, chunk *record.SnapshotChunk) error {
	encoded, err := proto.Marshal(chunk)
	if err != nil {
		return errors.Wrap(err, "encode snapshot chunk")
	}
	if err := j.limiter.Wait(ctx); err != nil {
		return errors.Wrap(err, "wait to append a snapshot chunk")
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err := j.service.Append(ctx, SnapshotStream, encoded); err != nil {
		return errors.Wrap(err, "append snapshot chunk")
	}
	return nil
}

// splitSnapshot splits an encoded snapshot into chunks that fit into a log entry.
func splitSnapshot(data []byte, next int64, format uint32) []*record.SnapshotChunk {
	id := uuid.NewString()
	count := max(1, (len(data)+snapshotChunkBytes-1)/snapshotChunkBytes)
	chunks := make([]*record.SnapshotChunk, 0, count)
	for index := range count {
		from := index * snapshotChunkBytes
		to := min(len(data), from+snapshotChunkBytes)
		chunks = append(chunks, &record.SnapshotChunk{
			Id:         id,
			Index:      uint32(index),
			Count:      uint32(count),
			NextOffset: next,
			Format:     format,
			Data:       data[from:to],
		})
	}
	return chunks
}

// completeSnapshot is a snapshot of which all chunks were read, with the offset of
// the first record after it.
type completeSnapshot struct {
	nextOffset int64
	data       []byte
}

// snapshotRead reads the snapshot stream page by page, to find the complete snapshot with the highest offset. The
// chunks of concurrent writers may be interleaved, and those of a writer that crashed may be incomplete.
type snapshotRead struct {
	from   int64
	chunks map[string][]*record.SnapshotChunk
	newest *completeSnapshot // nil if none has been found yet
	isDone bool
}

func newSnapshotRead() *snapshotRead {
	return &snapshotRead{chunks: map[string][]*record.SnapshotChunk{}}
}

// readSnapshotPage reads the next page. After an error it may be called again, and goes on with the same page.
func (j *Journal) readSnapshotPage(ctx context.Context, read *snapshotRead) error {
	page, err := j.service.Read(ctx, SnapshotStream, logservice.ReadOptions{From: read.from, Max: j.snapshotLimit.entries})
	var trimmed *logservice.TrimmedError
	if errors.As(err, &trimmed) {
		read.from = trimmed.Earliest
		return nil
	}
	j.snapshotLimit.adjust(err)
	if err != nil {
		return errors.Wrap(err, "read snapshots")
	}
	for _, entry := range page.Entries {
		snapshot := addChunk(read.chunks, entry.Data)
		if snapshot != nil && (read.newest == nil || snapshot.nextOffset >= read.newest.nextOffset) {
			read.newest = snapshot
		}
		read.from = entry.Offset + 1
	}
	read.isDone = len(page.Entries) == 0 || read.from >= page.Next
	return nil
}

// newestSnapshot reads the snapshot stream and returns the complete snapshot with the highest offset, or nil if there
// is none.
func (j *Journal) newestSnapshot(ctx context.Context) (*completeSnapshot, error) {
	read := newSnapshotRead()
	for !read.isDone {
		if err := j.readSnapshotPage(ctx, read); err != nil {
			return nil, err
		}
	}
	return read.newest, nil
}

// addChunk adds a chunk to those read so far, by snapshot ID, and returns the
// snapshot if it is now complete. A chunk that does not decode, or that does not
// follow the previous one of its snapshot, is ignored.
func addChunk(chunks map[string][]*record.SnapshotChunk, encoded []byte) *completeSnapshot {
	chunk := &record.SnapshotChunk{}
	if err := proto.Unmarshal(encoded, chunk); err != nil || chunk.GetCount() == 0 {
		return nil
	}
	if int(chunk.GetIndex()) != len(chunks[chunk.GetId()]) {
		return nil
	}
	chunks[chunk.GetId()] = append(chunks[chunk.GetId()], chunk)
	if len(chunks[chunk.GetId()]) < int(chunk.GetCount()) {
		return nil
	}
	snapshot := &completeSnapshot{nextOffset: chunk.GetNextOffset()}
	for _, part := range chunks[chunk.GetId()] {
		snapshot.data = append(snapshot.data, part.GetData()...)
	}
	delete(chunks, chunk.GetId())
	return snapshot
}

// continueRestoring reads one page of the snapshots, and restores the newest snapshot once all pages have been read. It
// reports whether that has been done.
func (j *Journal) continueRestoring(ctx context.Context) (isDone bool, err error) {
	if j.restoring == nil {
		j.restoring = newSnapshotRead()
	}
	if err := j.readSnapshotPage(ctx, j.restoring); err != nil {
		return false, err
	}
	if !j.restoring.isDone {
		return false, nil
	}
	newest := j.restoring.newest
	j.restoring = nil
	if err := j.restoreSnapshot(ctx, newest); err != nil {
		return false, err
	}
	return true, nil
}

// restoreSnapshot replaces the state by the newest snapshot, which may be nil, if that has a higher
// offset. If the snapshot requires a format that this build does not support, the
// journal halts.
func (j *Journal) restoreSnapshot(ctx context.Context, newest *completeSnapshot) error {
	if newest == nil || newest.nextOffset <= j.nextOffset() {
		return nil
	}
	restored, err := state.Restore(newest.data, j.options.KnownFormat)
	j.mu.Lock()
	defer j.mu.Unlock()
	var tooNew *state.FormatError
	if errors.As(err, &tooNew) {
		j.haltErr = errors.Wrap(ErrHalted, err.Error())
		j.logEvent(ctx, event.FormatTooNew, slog.String("error", err.Error()))
		return j.haltErr
	}
	if err != nil {
		return err
	}
	j.state = restored
	j.snapshotOffset = newest.nextOffset
	j.logEvent(ctx, event.SnapshotRestored, slog.Int64("next_offset", newest.nextOffset), slog.Int("tasks", restored.TaskCount()))
	return nil
}
