package operator_test

import (
	"context"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"ambertiller.example/ambertiller/operator"
	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/standin/wirestore"
)

// topicWriter is what the tests write into the operator's topic.
type topicWriter struct{ store *wirestore.Store }

func (by topicWriter) evacuate(domain string) {
	by.store.Put(platform.OperatorTopic, 0, platform.EvacuationKey(domain), []byte("{}"))
}

func (by topicWriter) endEvacuation(domain string) {
	by.store.Put(platform.OperatorTopic, 0, platform.EvacuationKey(domain), nil)
}

func (by topicWriter) writeConfiguration() {
	by.store.Put(platform.OperatorTopic, 0, platform.ConfigurationKey, []byte(`{"version":1}`))
}

// TestReader: whatever the store forgets or fails at in between, a reader ends up with the
// failure domains that are evacuated.
func TestReader(t *testing.T) {
	tests := map[string]struct {
		before, between func(by topicWriter)
		want            []string
	}{
		"nothing was written":         {func(topicWriter) {}, func(topicWriter) {}, nil},
		"evacuated before the reader": {func(by topicWriter) { by.evacuate("a") }, topicWriter.writeConfiguration, []string{"a"}},
		"evacuated after it":          {topicWriter.writeConfiguration, func(by topicWriter) { by.evacuate("a") }, []string{"a"}},
		"several": {func(by topicWriter) { by.evacuate("b") }, func(by topicWriter) {
			by.evacuate("a")
			by.evacuate("c")
		}, []string{"a", "b", "c"}},
		"given back": {func(by topicWriter) { by.evacuate("a") }, func(by topicWriter) { by.endEvacuation("a") }, nil},
		"given back and evacuated again": {func(by topicWriter) { by.evacuate("a") }, func(by topicWriter) {
			by.endEvacuation("a")
			by.evacuate("a")
		}, []string{"a"}},
		"evacuated just before history was dropped": {topicWriter.writeConfiguration, func(by topicWriter) {
			by.evacuate("a")
			by.store.DropHistory()
		}, []string{"a"}},
		"given back just before history was dropped": {func(by topicWriter) { by.evacuate("a") }, func(by topicWriter) {
			by.endEvacuation("a")
			by.store.DropHistory()
		}, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			store := wirestore.New(1, clock.Now)
			server := httptest.NewServer(store)
			t.Cleanup(server.Close)
			reader := operator.NewReader(platform.NewStore(strings.TrimPrefix(server.URL, "http://"), platform.NewTransport()), clock)
			test.before(topicWriter{store})
			first := mustRead(t, reader)
			if !first.AsOf.Equal(clock.Now()) {
				t.Errorf("known as of %v", first.AsOf)
			}
			test.between(topicWriter{store})
			clock.Advance(time.Second)
			store.Fail(func(string) wirestore.Fault { return wirestore.FaultReset })
			if _, err := reader.Read(context.Background()); err == nil {
				t.Error("a read that was broken off found something")
			}
			store.Fail(nil)
			news := mustRead(t, reader)
			if !news.AsOf.Equal(clock.Now()) || !slices.Equal(news.Evacuations.Domains(), test.want) {
				t.Errorf("known %v as of %v", news.Evacuations.Domains(), news.AsOf)
			}
			if first.Evacuations.Version() > news.Evacuations.Version() {
				t.Errorf("went from version %d to %d", first.Evacuations.Version(), news.Evacuations.Version())
			}
		})
	}
}

// mustRead reads until a read finds something, as its caller does.
func mustRead(t *testing.T, reader *operator.Reader) operator.Update {
	t.Helper()
	const tries = 3 // one finds that history is gone, the next begins anew
	for range tries {
		if news, err := reader.Read(context.Background()); err == nil {
			return news
		}
	}
	t.Fatal("the reader found nothing")
	return operator.Update{}
}
