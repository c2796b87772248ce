package changelog_test

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"ambertiller.example/ambertiller/changelog"
	"ambertiller.example/ambertiller/logservice"
	"ambertiller.example/ambertiller/record"
	"ambertiller.example/ambertiller/standin"
	"ambertiller.example/ambertiller/state"
)

// testTimeout bounds every wait, so that a failed test ends.
const testTimeout = time.Minute

// startJournal returns a journal that runs until the test ends.
func startJournal(t testing.TB, log logservice.Service, options changelog.Options) *changelog.Journal {
	t.Helper()
	if options.AppendsPerSecond == 0 {
		options.AppendsPerSecond = 1e6
	}
	journal := changelog.New(log, options)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		journal.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return journal
}

// waitFor waits until a condition holds.
func waitFor(t testing.TB, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for: %s", what)
		}
		runtime.Gosched()
	}
}

func publishRecord(basedOn uint64, content string) *record.Record {
	rec := changelog.NewRecord(time.Unix(0, 0))
	rec.Body = &record.Record_Publish{Publish: &record.Publish{Document: "config", BasedOn: basedOn, Content: []byte(content)}}
	return rec
}

func createRecord(task string) *record.Record {
	rec := changelog.NewRecord(time.Unix(0, 0))
	rec.Body = &record.Record_TaskCreate{TaskCreate: &record.TaskCreate{
		Task: task, Spec: &record.TaskSpec{Team: "councils", Kind: "transcription", Input: make([]byte, 200)},
	}}
	return rec
}

// testContext returns a context that ends after testTimeout.
func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

func configVersion(journal *changelog.Journal) (version uint64) {
	journal.View(func(st *state.State) { version = st.Document("config").GetVersion() })
	return version
}

// TestConcurrentAppends tests that of two instances which publish a document based
// on the same version exactly one is accepted, and that each learns the result
// from the log.
func TestConcurrentAppends(t *testing.T) {
	log := standin.NewLog(0)
	first, second := startJournal(t, log, changelog.Options{Writer: "one"}), startJournal(t, log, changelog.Options{Writer: "other"})
	results := make(chan bool, 2)
	for _, journal := range []*changelog.Journal{first, second} {
		go func() {
			outcomes, err := journal.Append(testContext(t), publishRecord(0, "x"))
			results <- err == nil && outcomes[0].IsAccepted()
		}()
	}
	if one, other := <-results, <-results; one == other {
		t.Errorf("accepted: %t and %t, want exactly one", one, other)
	}
	waitFor(t, "both instances to have version 1", func() bool { return configVersion(first) == 1 && configVersion(second) == 1 })
}

// TestLostAppendResponse tests that an append whose response is lost after it took
// effect is settled by reading the log, and that the retries have no effect.
func TestLostAppendResponse(t *testing.T) {
	log := standin.NewLog(0)
	log.LoseResponses(3)
	journal := startJournal(t, log, changelog.Options{Writer: "one"})
	outcomes, err := journal.Append(testContext(t), publishRecord(0, "x"))
	if err != nil || !outcomes[0].IsAccepted() {
		t.Fatalf("outcomes %v, %v", outcomes, err)
	}
	if configVersion(journal) != 1 {
		t.Errorf("got version %d, want 1", configVersion(journal))
	}
}

// unreadableLog accepts appends, but no records can be read from it.
type unreadableLog struct {
	*standin.Log
}

func (log *unreadableLog) Read(ctx context.Context, stream string, options logservice.ReadOptions) (logservice.Page, error) {
	if stream == changelog.RecordStream {
		return logservice.Page{}, errors.New("unreadable")
	}
	return log.Log.Read(ctx, stream, options)
}

// largePageLog fails reads of records whose page has more than maxEntries entries.
type largePageLog struct {
	*standin.Log
	maxEntries int
}

func (log *largePageLog) Read(ctx context.Context, stream string, options logservice.ReadOptions) (logservice.Page, error) {
	page, err := log.Log.Read(ctx, stream, options)
	if err == nil && len(page.Entries) > log.maxEntries {
		return logservice.Page{}, errors.New("the page is too large")
	}
	return page, err
}

// TestLogThatIsTooLargeForOneReadNeverFollowed guards against asking again and again for a page too large to arrive.
func TestLogThatIsTooLargeForOneReadNeverFollowed(t *testing.T) {
	const versions = 100
	log := standin.NewLog(0)
	writer := startJournal(t, log, changelog.Options{Writer: "one"})
	for version := range uint64(versions) {
		if _, err := writer.Append(testContext(t), publishRecord(version, "x")); err != nil {
			t.Fatal(err)
		}
	}
	reader := startJournal(t, &largePageLog{Log: log, maxEntries: 3}, changelog.Options{})
	waitFor(t, "all versions to be read", func() bool { return configVersion(reader) == versions })
}

// TestCancelledAppend tests that a caller whose context ends learns whether the
// records may still take effect, and that records which were never sent don't.
func TestCancelledAppend(t *testing.T) {
	t.Run("sent but not read back: unsettled", func(t *testing.T) {
		log := &unreadableLog{Log: standin.NewLog(0)}
		journal := startJournal(t, log, changelog.Options{})
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			waitFor(t, "the append to arrive", func() bool { return log.Appends() == 1 })
			cancel()
		}()
		_, err := journal.Append(ctx, publishRecord(0, "x"))
		var unsettled *changelog.UnsettledError
		if !errors.As(err, &unsettled) {
			t.Errorf("got error %v, want an UnsettledError", err)
		}
	})
	t.Run("never sent: not appended, not even later", func(t *testing.T) {
		log := standin.NewLog(0)
		journal := changelog.New(log, changelog.Options{AppendsPerSecond: 1e6})
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := journal.Append(ctx, publishRecord(0, "x"))
		var notAppended *changelog.NotAppendedError
		if !errors.As(err, &notAppended) {
			t.Fatalf("got error %v, want a NotAppendedError", err)
		}
		runCtx, stop := context.WithCancel(context.Background())
		defer stop()
		go journal.Run(runCtx)
		if _, err := journal.Append(testContext(t), createRecord("a")); err != nil {
			t.Fatal(err)
		}
		if configVersion(journal) != 0 {
			t.Error("a record that was never sent took effect")
		}
	})
	t.Run("too large: not appended", func(t *testing.T) {
		journal := changelog.New(standin.NewLog(0), changelog.Options{})
		_, err := journal.Append(testContext(t), publishRecord(0, string(make([]byte, logservice.MaxEntryBytes))))
		var notAppended *changelog.NotAppendedError
		if !errors.As(err, &notAppended) {
			t.Errorf("got error %v, want a NotAppendedError", err)
		}
	})
}

// TestThrottled tests that a batch which the platform throttles is sent again after
// the given delay, and takes effect once.
func TestThrottled(t *testing.T) {
	log := &throttledLog{Log: standin.NewLog(0), remainingRefusals: 2}
	journal := startJournal(t, log, changelog.Options{})
	if outcomes, err := journal.Append(testContext(t), publishRecord(0, "x")); err != nil || !outcomes[0].IsAccepted() {
		t.Fatalf("outcomes %v, %v", outcomes, err)
	}
	if log.Appends() != 1 {
		t.Errorf("%d appends took effect, want 1", log.Appends())
	}
}

// throttledLog throttles a number of appends before it accepts one.
type throttledLog struct {
	*standin.Log
	remainingRefusals int
}

func (log *throttledLog) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	if log.remainingRefusals > 0 {
		log.remainingRefusals--
		return 0, &logservice.ThrottledError{RetryAfter: time.Millisecond}
	}
	return log.Log.Append(ctx, stream, data)
}

// TestAppendsAreBatched tests that proposals which are queued at the same time are
// sent in one append.
func TestAppendsAreBatched(t *testing.T) {
	log := standin.NewLog(0)
	journal := changelog.New(log, changelog.Options{AppendsPerSecond: 1e6})
	const proposals = 100
	errs := make(chan error, proposals)
	for number := range proposals {
		go func() {
			_, err := journal.Append(testContext(t), createRecord(fmt.Sprint(number)))
			errs <- err
		}()
	}
	waitFor(t, "all proposals to be queued", func() bool { return journal.QueueLength() == proposals })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go journal.Run(ctx)
	for range proposals {
		if err := <-errs; err != nil {
			t.Fatal(err)
		}
	}
	if log.Appends() != 1 {
		t.Errorf("%d appends for %d proposals, want 1", log.Appends(), proposals)
	}
}

// appendTasks creates the tasks with the numbers [from, to), each in an append of
// its own.
func appendTasks(t testing.TB, journal *changelog.Journal, from, to int) {
	t.Helper()
	for number := from; number < to; number++ {
		if _, err := journal.Append(testContext(t), createRecord(fmt.Sprintf("task-%05d", number))); err != nil {
			t.Fatal(err)
		}
	}
}

func taskCount(journal *changelog.Journal) (count int) {
	journal.View(func(st *state.State) { count = st.TaskCount() })
	return count
}

// TestRestoreAfterRetention tests that a new instance starts from the newest
// complete snapshot when the records before it have been trimmed from the log.
func TestRestoreAfterRetention(t *testing.T) {
	log := standin.NewLog(0)
	writer := startJournal(t, log, changelog.Options{Writer: "one"})
	appendTasks(t, writer, 0, 50)
	if err := writer.WriteSnapshot(testContext(t)); err != nil {
		t.Fatal(err)
	}
	appendTasks(t, writer, 50, 60)
	log.Trim(changelog.RecordStream, 50)
	reader := startJournal(t, log, changelog.Options{Writer: "two"})
	waitFor(t, "the reader to be ready", func() bool { return reader.Ready() == nil })
	if taskCount(reader) != 60 {
		t.Errorf("the reader has %d tasks, want 60", taskCount(reader))
	}
}

// TestSnapshotsTooLargeForOneReadNeverRestored guards against asking again and again for a page of snapshots too large to
// arrive, or for pages that have been read.
func TestSnapshotsTooLargeForOneReadNeverRestored(t *testing.T) {
	const snapshots, tasksEach = 20, 5
	log := standin.NewLog(0)
	writer := startJournal(t, log, changelog.Options{Writer: "one"})
	for index := range snapshots {
		appendTasks(t, writer, index*tasksEach, (index+1)*tasksEach)
		if err := writer.WriteSnapshot(testContext(t)); err != nil {
			t.Fatal(err)
		}
	}
	log.Trim(changelog.RecordStream, snapshots*tasksEach)
	reader := startJournal(t, &largePageLog{Log: log, maxEntries: 3}, changelog.Options{Writer: "two"})
	waitFor(t, "the reader to be ready", func() bool { return reader.Ready() == nil })
	if taskCount(reader) != snapshots*tasksEach {
		t.Errorf("the reader has %d tasks, want %d", taskCount(reader), snapshots*tasksEach)
	}
}

// TestIncompleteSnapshotIgnored tests that readers fall back to the previous
// complete snapshot when the writer of the newest one crashed between two chunks.
func TestIncompleteSnapshotIgnored(t *testing.T) {
	log := &snapshotCutLog{Log: standin.NewLog(0), remainingChunks: 1000}
	writer := startJournal(t, log, changelog.Options{Writer: "one"})
	appendTasks(t, writer, 0, 20)
	if err := writer.WriteSnapshot(testContext(t)); err != nil {
		t.Fatal(err)
	}
	appendTasks(t, writer, 20, 3000)
	log.remainingChunks = 1
	if err := writer.WriteSnapshot(testContext(t)); err == nil {
		t.Fatal("WriteSnapshot succeeded, want an error after the first chunk")
	}
	reader := startJournal(t, log.Log, changelog.Options{Writer: "two"})
	waitFor(t, "the reader to be ready", func() bool { return reader.Ready() == nil })
	if taskCount(reader) != 3000 {
		t.Errorf("the reader has %d tasks, want 3000", taskCount(reader))
	}
}

// snapshotCutLog fails every append to the snapshot stream after a number of chunks.
type snapshotCutLog struct {
	*standin.Log
	remainingChunks int
}

func (log *snapshotCutLog) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	if stream == changelog.SnapshotStream {
		if log.remainingChunks == 0 {
			return 0, errors.New("injected crash of the snapshot writer")
		}
		log.remainingChunks--
	}
	return log.Log.Append(ctx, stream, data)
}

// TestPeriodicSnapshots tests that a running journal writes snapshots without being
// asked to, while another instance follows the same log.
func TestPeriodicSnapshots(t *testing.T) {
	log := standin.NewLog(0)
	first := startJournal(t, log, changelog.Options{Writer: "one", SnapshotEvery: 10})
	second := startJournal(t, log, changelog.Options{Writer: "two", SnapshotEvery: 10})
	appendTasks(t, first, 0, 25)
	waitFor(t, "a snapshot to be written", func() bool { return log.EndOffset(changelog.SnapshotStream) > 0 })
	waitFor(t, "the second instance to catch up", func() bool { return taskCount(second) == 25 })
}

// TestUnreadableBatchSkipped tests that a log entry which does not decode as a batch
// is skipped and does not block the entries after it.
func TestUnreadableBatchSkipped(t *testing.T) {
	log := standin.NewLog(0)
	if _, err := log.Append(testContext(t), changelog.RecordStream, []byte{0xff, 0x01}); err != nil {
		t.Fatal(err)
	}
	journal := startJournal(t, log, changelog.Options{})
	if outcomes, err := journal.Append(testContext(t), publishRecord(0, "x")); err != nil || !outcomes[0].IsAccepted() {
		t.Fatalf("outcomes %v, %v", outcomes, err)
	}
}

// TestNewerFormatHalts tests that an old build halts at a raise to a format that it
// does not support and rejects appends, while a newer build continues.
func TestNewerFormatHalts(t *testing.T) {
	log := standin.NewLog(0)
	older := startJournal(t, log, changelog.Options{Writer: "old", KnownFormat: 1})
	newer := startJournal(t, log, changelog.Options{Writer: "new", KnownFormat: 2})
	raise := changelog.NewRecord(time.Unix(0, 0))
	raise.Body = &record.Record_FormatRaise{FormatRaise: &record.FormatRaise{Format: 2}}
	if _, err := newer.Append(testContext(t), raise); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the older instance to halt", func() bool { return errors.Is(older.Ready(), changelog.ErrHalted) })
	_, err := older.Append(testContext(t), publishRecord(0, "x"))
	if !errors.Is(err, changelog.ErrHalted) {
		t.Errorf("got error %v, want ErrHalted", err)
	}
	if outcomes, err := newer.Append(testContext(t), publishRecord(0, "x")); err != nil || !outcomes[0].IsAccepted() {
		t.Errorf("outcomes %v, %v", outcomes, err)
	}
}

// FuzzBatch tests that a reader gets past any log entry, whether it decodes as a
// batch or not.
func FuzzBatch(f *testing.F) {
	valid, err := proto.Marshal(&record.Batch{Id: "b", Records: []*record.Record{createRecord("a")}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		log := standin.NewLog(0)
		if _, err := log.Append(testContext(t), changelog.RecordStream, data); err != nil {
			t.Fatal(err)
		}
		journal := startJournal(t, log, changelog.Options{KnownFormat: 1 << 31})
		waitFor(t, "the reader to be ready", func() bool { return journal.Ready() == nil })
		if lag := journal.Lag(); lag != 0 {
			t.Errorf("the reader lags by %d entries, want 0", lag)
		}
	})
}
