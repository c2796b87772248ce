package operator_test

import (
	"context"
	"fmt"
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

// topicWriter writes records of operators to the operator topic.
type topicWriter struct{ store *wirestore.Store }

func (writer topicWriter) evacuate(domain string) {
	writer.store.Put(platform.OperatorTopic, 0, platform.EvacuationKey(domain), []byte("{}"))
}

func (writer topicWriter) endEvacuation(domain string) {
	writer.store.Put(platform.OperatorTopic, 0, platform.EvacuationKey(domain), nil)
}

func (writer topicWriter) writeConfiguration() {
	writer.store.Put(platform.OperatorTopic, 0, platform.ConfigurationKey, []byte(`{"version":1}`))
}

// writeLargeConfigurations writes configurations that are too large to be read one after another.
func (writer topicWriter) writeLargeConfigurations() {
	const size = 100_000
	for range 3 {
		writer.store.Put(platform.OperatorTopic, 0, platform.ConfigurationKey, fmt.Appendf(nil, `{"version":2,"comment":"%s"}`, strings.Repeat("x", size)))
	}
}

// TestReader checks that a reader finds the evacuated failure domains although a read fails, and although
// the store may drop its history between two reads.
func TestReader(t *testing.T) {
	tests := map[string]struct {
		before, between func(writer topicWriter)
		want            []string
	}{
		"no records":                      {func(topicWriter) {}, func(topicWriter) {}, nil},
		"evacuated before the first read": {func(writer topicWriter) { writer.evacuate("a") }, topicWriter.writeConfiguration, []string{"a"}},
		"evacuated after the first read":  {topicWriter.writeConfiguration, func(writer topicWriter) { writer.evacuate("a") }, []string{"a"}},
		"several evacuations": {func(writer topicWriter) { writer.evacuate("b") }, func(writer topicWriter) {
			writer.evacuate("a")
			writer.evacuate("c")
		}, []string{"a", "b", "c"}},
		"evacuation ended": {func(writer topicWriter) { writer.evacuate("a") }, func(writer topicWriter) { writer.endEvacuation("a") }, nil},
		"evacuation ended and started again": {func(writer topicWriter) { writer.evacuate("a") }, func(writer topicWriter) {
			writer.endEvacuation("a")
			writer.evacuate("a")
		}, []string{"a"}},
		"evacuated between large configurations": {topicWriter.writeConfiguration, func(writer topicWriter) {
			writer.writeLargeConfigurations()
			writer.evacuate("a")
			writer.writeLargeConfigurations()
		}, []string{"a"}},
		"evacuation ended between large configurations": {func(writer topicWriter) { writer.evacuate("b") }, func(writer topicWriter) {
			writer.writeLargeConfigurations()
			writer.endEvacuation("b")
			writer.writeLargeConfigurations()
		}, nil},
		"evacuated just before history is dropped": {topicWriter.writeConfiguration, func(writer topicWriter) {
			writer.evacuate("a")
			writer.store.Compact()
		}, []string{"a"}},
		"evacuation ended just before history is dropped": {func(writer topicWriter) { writer.evacuate("a") }, func(writer topicWriter) {
			writer.endEvacuation("a")
			writer.store.Compact()
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
				t.Errorf("first read is as of %v", first.AsOf)
			}
			test.between(topicWriter{store})
			clock.Advance(time.Second)
			store.InjectFaults(func(string) wirestore.Fault { return wirestore.FaultReset })
			if _, err := reader.Read(context.Background()); err == nil {
				t.Error("a read on a reset connection succeeded")
			}
			store.InjectFaults(nil)
			second := mustRead(t, reader)
			if !second.AsOf.Equal(clock.Now()) || !slices.Equal(second.Evacuations.Domains(), test.want) {
				t.Errorf("got %v as of %v", second.Evacuations.Domains(), second.AsOf)
			}
			if first.Evacuations.Version() > second.Evacuations.Version() {
				t.Errorf("version went from %d to %d", first.Evacuations.Version(), second.Evacuations.Version())
			}
		})
	}
}

// mustRead repeats a read until it succeeds, as the callers of Read do.
func mustRead(t *testing.T, reader *operator.Reader) operator.Update {
	t.Helper()
	const tries = 3 // One read fails because records were removed. The next one reads the newest records.
	for range tries {
		if update, err := reader.Read(context.Background()); err == nil {
			return update
		}
	}
	t.Fatal("no read succeeded")
	return operator.Update{}
}
