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

// written is what the tests write into the operator's topic.
type written struct{ store *wirestore.Store }

func (by written) evacuate(domain string) {
	by.store.Put(platform.OperatorTopic, 0, platform.EvacuationKey(domain), []byte("{}"))
}

func (by written) giveBack(domain string) {
	by.store.Put(platform.OperatorTopic, 0, platform.EvacuationKey(domain), nil)
}

func (by written) configure() {
	by.store.Put(platform.OperatorTopic, 0, platform.ConfigurationKey, []byte(`{"version":1}`))
}

// TestReader: whatever the store forgets or fails at in between, a reader ends up with the
// failure domains that are evacuated.
func TestReader(t *testing.T) {
	tests := map[string]struct {
		before, between func(by written)
		want            []string
	}{
		"nothing was written":         {func(written) {}, func(written) {}, nil},
		"evacuated before the reader": {func(by written) { by.evacuate("a") }, written.configure, []string{"a"}},
		"evacuated after it":          {written.configure, func(by written) { by.evacuate("a") }, []string{"a"}},
		"several": {func(by written) { by.evacuate("b") }, func(by written) {
			by.evacuate("a")
			by.evacuate("c")
		}, []string{"a", "b", "c"}},
		"given back": {func(by written) { by.evacuate("a") }, func(by written) { by.giveBack("a") }, nil},
		"given back and evacuated again": {func(by written) { by.evacuate("a") }, func(by written) {
			by.giveBack("a")
			by.evacuate("a")
		}, []string{"a"}},
		"evacuated just before history was dropped": {written.configure, func(by written) {
			by.evacuate("a")
			by.store.DropHistory()
		}, []string{"a"}},
		"given back just before history was dropped": {func(by written) { by.evacuate("a") }, func(by written) {
			by.giveBack("a")
			by.store.DropHistory()
		}, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			store := wirestore.New(1, clock.Now)
			server := httptest.NewServer(store)
			t.Cleanup(server.Close)
			reader := operator.NewReader(platform.NewStore(strings.TrimPrefix(server.URL, "http://"), platform.Transport()), clock)
			test.before(written{store})
			first := readOnce(t, reader)
			if !first.AsOf.Equal(clock.Now()) {
				t.Errorf("known as of %v", first.AsOf)
			}
			test.between(written{store})
			clock.Advance(time.Second)
			store.Fail(func(string) wirestore.Fault { return wirestore.FaultReset })
			if _, err := reader.Read(context.Background()); err == nil {
				t.Error("a read that was broken off found something")
			}
			store.Fail(nil)
			news := readOnce(t, reader)
			if !news.AsOf.Equal(clock.Now()) || !slices.Equal(news.Evacuations.Domains(), test.want) {
				t.Errorf("known %v as of %v", news.Evacuations.Domains(), news.AsOf)
			}
			if first.Evacuations.Version() > news.Evacuations.Version() {
				t.Errorf("went from version %d to %d", first.Evacuations.Version(), news.Evacuations.Version())
			}
		})
	}
}

// readOnce reads until a read finds something, as its caller does.
func readOnce(t *testing.T, reader *operator.Reader) operator.News {
	t.Helper()
	const tries = 3 // one finds that history is gone, the next begins anew
	for range tries {
		if news, err := reader.Read(context.Background()); err == nil {
			return news
		}
	}
	t.Fatal("the reader found nothing")
	return operator.News{}
}
