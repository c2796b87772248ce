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

// BenchmarkColdStart starts an instance with empty memory over a log with a
// snapshot and a tail of a thousand entries, through the platform's HTTP
// interface.
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

func startAndCatchUp(b *testing.B, service logservice.Service, want int) {
	made := changelog.New(service, changelog.Options{Writer: "two"})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		made.Run(ctx)
		close(done)
	}()
	waitFor(b, "the reader is ready", func() bool { return made.Ready() == nil })
	if held := taskCount(made); held != want {
		b.Fatalf("it holds %d tasks and not %d", held, want)
	}
	cancel()
	<-done
}
