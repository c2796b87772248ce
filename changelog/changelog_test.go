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

const testTimeout = time.Minute

// startJournal returns a journal that follows the log until the test ends.
func startJournal(t testing.TB, log logservice.Service, options changelog.Options) *changelog.Journal {
	t.Helper()
	if options.AppendsPerSecond == 0 {
		options.AppendsPerSecond = 1e6
	}
	made := changelog.New(log, options)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		made.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return made
}

func waitFor(t testing.TB, what string, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatalf("waited in vain: %s", what)
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

func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

func configVersion(log *changelog.Journal) (version uint64) {
	log.View(func(folded *state.State) { version = folded.Document("config").GetVersion() })
	return version
}

// TestConcurrentAppends: two instances propose from the same version; each learns
// from the log which one won.
func TestConcurrentAppends(t *testing.T) {
	log := standin.NewLog(0)
	one, other := startJournal(t, log, changelog.Options{Writer: "one"}), startJournal(t, log, changelog.Options{Writer: "other"})
	results := make(chan bool, 2)
	for _, each := range []*changelog.Journal{one, other} {
		go func() {
			outcomes, err := each.Append(testContext(t), publishRecord(0, "x"))
			results <- err == nil && outcomes[0].IsAccepted()
		}()
	}
	if first, second := <-results, <-results; first == second {
		t.Errorf("accepted: %t and %t", first, second)
	}
	waitFor(t, "both hold version 1", func() bool { return configVersion(one) == 1 && configVersion(other) == 1 })
}

// TestLostAppendResponse: the append takes effect and its answer is lost. It is settled
// by reading, and a second copy does nothing.
func TestLostAppendResponse(t *testing.T) {
	log := standin.NewLog(0)
	log.LoseAnswers(3)
	made := startJournal(t, log, changelog.Options{Writer: "one"})
	outcomes, err := made.Append(testContext(t), publishRecord(0, "x"))
	if err != nil || !outcomes[0].IsAccepted() {
		t.Fatalf("outcomes %v, %v", outcomes, err)
	}
	if configVersion(made) != 1 {
		t.Errorf("the version is %d", configVersion(made))
	}
}

// unreadableLog takes appends without an answer and shows nothing of them.
type unreadableLog struct {
	*standin.Log
}

func (log *unreadableLog) Read(ctx context.Context, stream string, options logservice.ReadOptions) (logservice.Page, error) {
	if stream == changelog.RecordStream {
		return logservice.Page{}, errors.New("unreadable")
	}
	return log.Log.Read(ctx, stream, options)
}

// TestCancelledAppend tells a caller who gives up whether the records may still take
// effect.
func TestCancelledAppend(t *testing.T) {
	t.Run("sent and never read: unsettled", func(t *testing.T) {
		log := &unreadableLog{Log: standin.NewLog(0)}
		made := startJournal(t, log, changelog.Options{})
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			waitFor(t, "the append is there", func() bool { return log.Appends() == 1 })
			cancel()
		}()
		_, err := made.Append(ctx, publishRecord(0, "x"))
		var unsettled *changelog.UnsettledError
		if !errors.As(err, &unsettled) {
			t.Errorf("got %v", err)
		}
	})
	t.Run("never sent: not appended, also later", func(t *testing.T) {
		log := standin.NewLog(0)
		made := changelog.New(log, changelog.Options{AppendsPerSecond: 1e6})
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := made.Append(ctx, publishRecord(0, "x"))
		var failed *changelog.NotAppendedError
		if !errors.As(err, &failed) {
			t.Fatalf("got %v", err)
		}
		runCtx, stop := context.WithCancel(context.Background())
		defer stop()
		go made.Run(runCtx)
		if _, err := made.Append(testContext(t), createRecord("a")); err != nil {
			t.Fatal(err)
		}
		if configVersion(made) != 0 {
			t.Error("a withdrawn record took effect")
		}
	})
	t.Run("too large: not appended", func(t *testing.T) {
		made := changelog.New(standin.NewLog(0), changelog.Options{})
		_, err := made.Append(testContext(t), publishRecord(0, string(make([]byte, logservice.MaxEntryBytes))))
		var failed *changelog.NotAppendedError
		if !errors.As(err, &failed) {
			t.Errorf("got %v", err)
		}
	})
}

// TestThrottled: the platform takes no more appends for a while; the batch is
// sent again when it says, and takes effect once.
func TestThrottled(t *testing.T) {
	log := &throttledLog{Log: standin.NewLog(0), remainingRefusals: 2}
	made := startJournal(t, log, changelog.Options{})
	if outcomes, err := made.Append(testContext(t), publishRecord(0, "x")); err != nil || !outcomes[0].IsAccepted() {
		t.Fatalf("outcomes %v, %v", outcomes, err)
	}
	if log.Appends() != 1 {
		t.Errorf("%d appends took effect", log.Appends())
	}
}

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

// TestAppendsAreBatched: proposals that wait together share an append.
func TestAppendsAreBatched(t *testing.T) {
	log := standin.NewLog(0)
	made := changelog.New(log, changelog.Options{AppendsPerSecond: 1e6})
	const proposals = 100
	failures := make(chan error, proposals)
	for number := range proposals {
		go func() {
			_, err := made.Append(testContext(t), createRecord(fmt.Sprint(number)))
			failures <- err
		}()
	}
	waitFor(t, "all wait", func() bool { return made.QueueLength() == proposals })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go made.Run(ctx)
	for range proposals {
		if err := <-failures; err != nil {
			t.Fatal(err)
		}
	}
	if log.Appends() != 1 {
		t.Errorf("%d appends for %d proposals", log.Appends(), proposals)
	}
}

func appendTasks(t testing.TB, made *changelog.Journal, from, to int) {
	t.Helper()
	for number := from; number < to; number++ {
		if _, err := made.Append(testContext(t), createRecord(fmt.Sprintf("task-%05d", number))); err != nil {
			t.Fatal(err)
		}
	}
}

func taskCount(log *changelog.Journal) (size int) {
	log.View(func(folded *state.State) { size = folded.TaskCount() })
	return size
}

// TestRestoreAfterRetention: an instance with empty memory starts from the
// newest whole snapshot when the log no longer keeps the records before it.
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
	waitFor(t, "the reader is ready", func() bool { return reader.Ready() == nil })
	if taskCount(reader) != 60 {
		t.Errorf("the reader holds %d tasks", taskCount(reader))
	}
}

// TestIncompleteSnapshotIgnored: the writer of a snapshot dies between two chunks;
// readers use the whole one before it.
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
		t.Fatal("the snapshot was meant to be cut")
	}
	reader := startJournal(t, log.Log, changelog.Options{Writer: "two"})
	waitFor(t, "the reader is ready", func() bool { return reader.Ready() == nil })
	if taskCount(reader) != 3000 {
		t.Errorf("the reader holds %d tasks", taskCount(reader))
	}
}

type snapshotCutLog struct {
	*standin.Log
	remainingChunks int
}

func (log *snapshotCutLog) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	if stream == changelog.SnapshotStream {
		if log.remainingChunks == 0 {
			return 0, errors.New("the writer died")
		}
		log.remainingChunks--
	}
	return log.Log.Append(ctx, stream, data)
}

// TestPeriodicSnapshots: snapshots are written by themselves, and one of several
// instances is enough.
func TestPeriodicSnapshots(t *testing.T) {
	log := standin.NewLog(0)
	first := startJournal(t, log, changelog.Options{Writer: "one", SnapshotEvery: 10})
	second := startJournal(t, log, changelog.Options{Writer: "two", SnapshotEvery: 10})
	appendTasks(t, first, 0, 25)
	waitFor(t, "a snapshot is there", func() bool { return log.End(changelog.SnapshotStream) > 0 })
	waitFor(t, "both have read all", func() bool { return taskCount(second) == 25 })
}

// TestUnreadableBatchSkipped: bytes that are no batch are passed over by every reader.
func TestUnreadableBatchSkipped(t *testing.T) {
	log := standin.NewLog(0)
	if _, err := log.Append(testContext(t), changelog.RecordStream, []byte{0xff, 0x01}); err != nil {
		t.Fatal(err)
	}
	made := startJournal(t, log, changelog.Options{})
	if outcomes, err := made.Append(testContext(t), publishRecord(0, "x")); err != nil || !outcomes[0].IsAccepted() {
		t.Fatalf("outcomes %v, %v", outcomes, err)
	}
}

// TestNewerFormatHalts: an old build stops deciding at the raise, says so, and
// refuses appends, while a newer one goes on.
func TestNewerFormatHalts(t *testing.T) {
	log := standin.NewLog(0)
	older := startJournal(t, log, changelog.Options{Writer: "old", KnownFormat: 1})
	newer := startJournal(t, log, changelog.Options{Writer: "new", KnownFormat: 2})
	raise := changelog.NewRecord(time.Unix(0, 0))
	raise.Body = &record.Record_FormatRaise{FormatRaise: &record.FormatRaise{Format: 2}}
	if _, err := newer.Append(testContext(t), raise); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the older one halts", func() bool { return errors.Is(older.Ready(), changelog.ErrHalted) })
	_, err := older.Append(testContext(t), publishRecord(0, "x"))
	if !errors.Is(err, changelog.ErrHalted) {
		t.Errorf("got %v", err)
	}
	if outcomes, err := newer.Append(testContext(t), publishRecord(0, "x")); err != nil || !outcomes[0].IsAccepted() {
		t.Errorf("outcomes %v, %v", outcomes, err)
	}
}

// FuzzBatch reads arbitrary bytes as a batch; a reader must get past them.
func FuzzBatch(f *testing.F) {
	good, err := proto.Marshal(&record.Batch{Id: "b", Records: []*record.Record{createRecord("a")}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		log := standin.NewLog(0)
		if _, err := log.Append(testContext(t), changelog.RecordStream, data); err != nil {
			t.Fatal(err)
		}
		made := startJournal(t, log, changelog.Options{KnownFormat: 1 << 31})
		waitFor(t, "the reader is ready", func() bool { return made.Ready() == nil })
		if lag := made.Lag(); lag != 0 {
			t.Errorf("the reader is %d behind", lag)
		}
	})
}
