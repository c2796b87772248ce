package owner

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/standin/slowlink"
	"ambertiller.example/ambertiller/standin/wirestore"
)

const (
	// slowLinkBytesPerSecond is the payload that a link of 10 Mbit/s carries.
	slowLinkBytesPerSecond = 1_040_000
	// slowLinkBound is the time within which the platform's users expect service after all machines were lost.
	slowLinkBound = 15 * time.Second
	// manyJobs jobs of the largest size take 3.9 s over the slow link, and 5.2 s as newest records.
	manyJobs = 1000
	jobBytes = 4000
	// manyAgents agents that have each registered all ended incarnations that they may take 1.9 s as newest records.
	manyAgents       = 5000
	agentRecordBytes = 250
)

// TestManyRecordsNeverReadOverSlowLink guards against reads of the store that end before all records have arrived,
// and begin again from the first one. It runs in a bubble.
func TestManyRecordsNeverReadOverSlowLink(t *testing.T) {
	tests := map[string]struct {
		// before and after write to the store before the owner starts, and once it has loaded its shards.
		before, after func(t *testing.T, store *wirestore.Store)
		count         func(owner *Owner) int
		want          int
	}{
		"jobs of a shard that is loaded":   {before: putJobs, count: countJobs, want: manyJobs},
		"jobs of a shard that is followed": {after: putJobs, count: countJobs, want: manyJobs},
		"registered agents":                {before: putAgents, count: countAgentViews, want: manyAgents},
		"agents that register":             {after: putAgents, count: countAgentViews, want: manyAgents},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := wirestore.New(8, time.Now)
				if test.before != nil {
					test.before(t, store)
				}
				owner := newSlowLinkOwner(t, store)
				if test.after != nil {
					time.Sleep(slowLinkBound)
					test.after(t, store)
				}
				time.Sleep(slowLinkBound)
				synctest.Wait()
				count := 0
				owner.eventLoop.Call(context.Background(), func(time.Time) { count = test.count(owner) })
				if count != test.want {
					t.Errorf("%d of %d records were read within %v", count, test.want, slowLinkBound)
				}
			})
		})
	}
}

// newSlowLinkOwner starts an owner in a bubble that reaches the store over a slow link. Agents accept no connections.
func newSlowLinkOwner(t *testing.T, store http.Handler) *Owner {
	t.Helper()
	return newLoggingSlowLinkOwner(t, store, event.Discard())
}

// newLoggingSlowLinkOwner is newSlowLinkOwner with an owner that logs to events.
func newLoggingSlowLinkOwner(t *testing.T, store http.Handler, events *event.Logger) *Owner {
	t.Helper()
	owner := New(Options{
		Name: "edge-1", Strong: true, Address: "10.0.1.1:7000", Shards: 8, GrantDuration: 6 * time.Second, MemberTimeout: 1500 * time.Millisecond,
		Clock: clockwork.NewRealClock(), Events: events, // The clock reads the time of the bubble.
		Store: platform.NewStore("store", slowlink.New(slowLinkBytesPerSecond).Transport(store, storeLatency)),
		Dial:  func(context.Context, string) (drpc.Conn, error) { return nil, errors.New("nobody answers") },
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go owner.Run(ctx)
	return owner
}

// putJobs puts jobs of one shard into the store.
func putJobs(t *testing.T, store *wirestore.Store) {
	t.Helper()
	for number := range manyJobs {
		id := fmt.Sprintf("%016x", number)
		value, err := proto.Marshal(&job.Submission{Id: id, Queue: "q", Service: "s", Spec: string(make([]byte, jobBytes))})
		if err != nil {
			t.Fatal(err)
		}
		store.Put(job.TopicJobs, 0, job.SubmissionKey(id), value)
	}
}

// putAgents puts the records of agents into one partition of the store.
func putAgents(t *testing.T, store *wirestore.Store) {
	t.Helper()
	for number := range manyAgents {
		name := fmt.Sprintf("side-%d", number)
		record := job.NewAgentRecord(name, fmt.Sprintf("10.%d.%d.1:7001", number/250, number%250), nil)
		record.Ended = append(record.Ended, string(make([]byte, agentRecordBytes)))
		value, err := proto.Marshal(record)
		if err != nil {
			t.Fatal(err)
		}
		store.Put(job.TopicAgents, 0, name, value)
	}
}

// countJobs returns the number of jobs in the loaded shards.
func countJobs(owner *Owner) int {
	count := 0
	for _, s := range owner.shards {
		count += len(s.jobs)
	}
	return count
}

// countAgentViews returns the number of agents that the owner knows.
func countAgentViews(owner *Owner) int { return len(owner.agents) }

// TestShardNeverLoadedIfEverySecondPageFails guards against reading all pages of a shard again after one has failed. It
// runs in a bubble.
func TestShardNeverLoadedIfEverySecondPageFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := wirestore.New(8, time.Now)
		putJobs(t, store)
		pages := 0
		owner := newSlowLinkOwner(t, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			if query := request.URL.Query(); request.URL.Path == "/v1/log-newest" && query.Get("topic") == job.TopicJobs && query.Get("part") == "0" {
				if pages++; pages%2 == 0 {
					writer.WriteHeader(http.StatusServiceUnavailable)
					return
				}
			}
			store.ServeHTTP(writer, request)
		}))
		time.Sleep(slowLinkBound)
		synctest.Wait()
		count := 0
		owner.eventLoop.Call(context.Background(), func(time.Time) { count = countJobs(owner) })
		if count != manyJobs {
			t.Errorf("%d of %d jobs were read within %v", count, manyJobs, slowLinkBound)
		}
	})
}

// TestFailedReadsAreSilent guards against an owner that doesn't say that it can't read its shards or the agents.
func TestFailedReadsAreSilent(t *testing.T) {
	const outage, shardCount = 5 * time.Second, 8
	synctest.Test(t, func(t *testing.T) {
		store := wirestore.New(shardCount, time.Now)
		log := &bytes.Buffer{}
		newLoggingSlowLinkOwner(t, store, event.New(slog.New(slog.NewTextHandler(log, nil))))
		time.Sleep(slowLinkBound)
		store.InjectFaults(func(call string) wirestore.Fault {
			if call == "/v1/log-read" {
				return wirestore.FaultUnavailable
			}
			return wirestore.FaultNone
		})
		time.Sleep(outage)
		store.InjectFaults(nil)
		time.Sleep(slowLinkBound)
		synctest.Wait()
		want := shardCount + job.AgentPartitions(shardCount)
		for _, code := range []event.Code{event.RecordsUnread, event.RecordsReadAgain} {
			if got := strings.Count(log.String(), fmt.Sprintf("event=%d ", code)); got != want {
				t.Errorf("event %d was logged %d times, want once for each of %d partitions", code, got, want)
			}
		}
	})
}
