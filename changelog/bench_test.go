package changelog_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"google.golang.org/protobuf/proto"

	"ambertiller.example/ambertiller/changelog"
	"ambertiller.example/ambertiller/logservice"
	"ambertiller.example/ambertiller/record"
	"ambertiller.example/ambertiller/standin"
)

// BenchmarkColdStart starts a new instance on a log with a snapshot of the given
// number of tasks and 1,000 entries after it, through the platform's HTTP API,
// and waits until it is ready.
func BenchmarkColdStart(b *testing.B) {
	for _, tasks := range []int{1000, 5000, 20_000} {
		b.Run(fmt.Sprint(tasks, " tasks"), func(b *testing.B) {
			log := newFilledLog(b, tasks)
			server := httptest.NewServer(standin.LogHandler(log))
			defer server.Close()
			b.ReportAllocs()
			for b.Loop() {
				startAndCatchUp(b, logservice.NewClient(server.URL, http.DefaultClient), tasks+1000)
			}
		})
	}
}

// newFilledLog returns a log with a snapshot of the given number of tasks, followed
// by 1,000 entries that each create another task.
func newFilledLog(b *testing.B, tasks int) *standin.Log {
	b.Helper()
	log := standin.NewLog(0)
	writer := startJournal(b, log, changelog.Options{Writer: "one"})
	records := make([]*record.Record, 0, 500)
	for number := range tasks {
		records = append(records, createRecord(fmt.Sprintf("task-%06d", number)))
		if len(records) == cap(records) || number == tasks-1 {
			if _, err := writer.Append(testContext(b), records...); err != nil {
				b.Fatal(err)
			}
			records = records[:0]
		}
	}
	if err := writer.WriteSnapshot(testContext(b)); err != nil {
		b.Fatal(err)
	}
	for number := range 1000 {
		data, err := proto.Marshal(&record.Batch{Id: fmt.Sprint("tail-", number), Records: []*record.Record{createRecord(fmt.Sprintf("tail-%06d", number))}})
		if err != nil {
			b.Fatal(err)
		}
		if _, err := log.Append(context.Background(), changelog.RecordStream, data); err != nil {
			b.Fatal(err)
		}
	}
	return log
}

// startAndCatchUp runs a new journal until it is ready and checks its task count.
func startAndCatchUp(b *testing.B, service logservice.Service, want int) {
	journal := changelog.New(service, changelog.Options{Writer: "two"})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		journal.Run(ctx)
		close(done)
	}()
	waitFor(b, "the reader to be ready", func() bool { return journal.Ready() == nil })
	if count := taskCount(journal); count != want {
		b.Fatalf("the journal has %d tasks, want %d", count, want)
	}
	cancel()
	<-done
}
