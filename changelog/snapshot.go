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

// writeSnapshotIfDue starts a snapshot when enough of the log has come since the
// last one that this instance knows of. Which entry writes it is left to
// chance: the first to find it due looks whether another one was quicker, and
// a second copy does no harm.
func (log *Journal) writeSnapshotIfDue(ctx context.Context) {
	log.mu.Lock()
	due := log.caughtUp && log.state.NextOffset()-log.snapshotOffset >= log.options.SnapshotEvery
	log.mu.Unlock()
	if !due {
		return
	}
	if newest, err := log.newestSnapshot(ctx); err == nil && newest != nil && log.recordSnapshot(newest.nextOffset) {
		return
	}
	if err := log.WriteSnapshot(ctx); err != nil {
		log.logEvent(ctx, event.SnapshotFailed, slog.String("error", err.Error()))
	}
}

// recordSnapshot remembers a snapshot of another instance and reports whether it
// is recent enough.
func (log *Journal) recordSnapshot(nextOffset int64) bool {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.snapshotOffset = max(log.snapshotOffset, nextOffset)
	return log.state.NextOffset()-log.snapshotOffset < log.options.SnapshotEvery
}

// WriteSnapshot writes the present state to the log, in chunks.
func (log *Journal) WriteSnapshot(ctx context.Context) error {
	log.mu.Lock()
	data, err := log.state.Snapshot()
	next := log.state.NextOffset()
	format := log.state.RecordFormat()
	log.snapshotOffset = next
	log.mu.Unlock()
	if err != nil {
		return err
	}
	chunks := splitSnapshot(data, next, format)
	for _, part := range chunks {
		if err := log.appendChunk(ctx, part); err != nil {
			return err
		}
	}
	log.logEvent(ctx, event.SnapshotWritten, slog.Int64("next_offset", next), slog.Int("bytes", len(data)), slog.Int("chunks", len(chunks)))
	return nil
}

func (log *Journal) appendChunk(ctx context.Context, part *record.SnapshotChunk) error {
	encoded, err := proto.Marshal(part)
	if err != nil {
		return errors.Wrap(err, "encode snapshot chunk")
	}
	if err := log.limiter.Wait(ctx); err != nil {
		return errors.Wrap(err, "wait to append a snapshot chunk")
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err := log.service.Append(ctx, SnapshotStream, encoded); err != nil {
		return errors.Wrap(err, "append snapshot chunk")
	}
	return nil
}

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

// completeSnapshot is a snapshot all of whose chunks were read.
type completeSnapshot struct {
	nextOffset int64
	data       []byte
}

// newestSnapshot reads the snapshot stream and returns the whole snapshot that
// reaches furthest, nil when there is none. Chunks of writers that died
// halfway, or of two writers at once, stand between each other.
func (log *Journal) newestSnapshot(ctx context.Context) (*completeSnapshot, error) {
	parts := map[string][]*record.SnapshotChunk{}
	var newest *completeSnapshot
	from := int64(0)
	for {
		page, err := log.service.Read(ctx, SnapshotStream, logservice.ReadOptions{From: from, Max: maxSnapshotReadEntries})
		var trimmed *logservice.TrimmedError
		if errors.As(err, &trimmed) {
			from = trimmed.Earliest
			continue
		}
		if err != nil {
			return nil, errors.Wrap(err, "read snapshots")
		}
		for _, entry := range page.Entries {
			if whole := addChunk(parts, entry.Data); whole != nil && (newest == nil || whole.nextOffset >= newest.nextOffset) {
				newest = whole
			}
			from = entry.Offset + 1
		}
		if len(page.Entries) == 0 || from >= page.Next {
			return newest, nil
		}
	}
}

// addChunk returns the whole snapshot when the chunk completes one.
func addChunk(parts map[string][]*record.SnapshotChunk, encoded []byte) *completeSnapshot {
	part := &record.SnapshotChunk{}
	if err := proto.Unmarshal(encoded, part); err != nil || part.GetCount() == 0 {
		return nil
	}
	if int(part.GetIndex()) != len(parts[part.GetId()]) {
		return nil
	}
	parts[part.GetId()] = append(parts[part.GetId()], part)
	if len(parts[part.GetId()]) < int(part.GetCount()) {
		return nil
	}
	whole := &completeSnapshot{nextOffset: part.GetNextOffset()}
	for _, each := range parts[part.GetId()] {
		whole.data = append(whole.data, each.GetData()...)
	}
	delete(parts, part.GetId())
	return whole
}

// restoreSnapshot replaces the state by the newest snapshot if that reaches further.
func (log *Journal) restoreSnapshot(ctx context.Context) error {
	newest, err := log.newestSnapshot(ctx)
	if err != nil {
		return err
	}
	if newest == nil || newest.nextOffset <= log.nextOffset() {
		return nil
	}
	folded, err := state.Restore(newest.data, log.options.KnownFormat)
	log.mu.Lock()
	defer log.mu.Unlock()
	var tooNew *state.FormatError
	if errors.As(err, &tooNew) {
		log.haltErr = errors.Wrap(ErrHalted, err.Error())
		log.logEvent(ctx, event.FormatTooNew, slog.String("error", err.Error()))
		return log.haltErr
	}
	if err != nil {
		return err
	}
	log.state = folded
	log.snapshotOffset = newest.nextOffset
	log.logEvent(ctx, event.SnapshotRestored, slog.Int64("next_offset", newest.nextOffset), slog.Int("tasks", folded.TaskCount()))
	return nil
}
