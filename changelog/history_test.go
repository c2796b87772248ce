package changelog_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/pkg/errors"

	"ambertiller.example/ambertiller/changelog"
	"ambertiller.example/ambertiller/logservice"
	"ambertiller.example/ambertiller/record"
	"ambertiller.example/ambertiller/standin"
	"ambertiller.example/ambertiller/state"
)

// faultyLog injects faults into appends: some fail before and some after they took
// effect, some are duplicated and some throttled. A seed determines the faults.
type faultyLog struct {
	*standin.Log
	mu     sync.Mutex
	random *rand.Rand
}

func newFaultyLog(seed uint64) *faultyLog {
	return &faultyLog{Log: standin.NewLog(0), random: rand.New(rand.NewPCG(seed, seed))}
}

var errInjected = errors.New("injected fault")

func (log *faultyLog) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	log.mu.Lock()
	fault := log.random.IntN(10)
	log.mu.Unlock()
	switch fault {
	case 0:
		return 0, errInjected
	case 1:
		_, _ = log.Log.Append(ctx, stream, data)
		return 0, errInjected
	case 2:
		_, _ = log.Log.Append(ctx, stream, data)
		return log.Log.Append(ctx, stream, data)
	case 3:
		return 0, &logservice.ThrottledError{RetryAfter: time.Millisecond}
	}
	return log.Log.Append(ctx, stream, data)
}

// operationRecorder records the operations of concurrent clients for porcupine.
type operationRecorder struct {
	mu         sync.Mutex
	clock      atomic.Int64
	operations []porcupine.Operation
}

// record runs one operation and records when it was called and when it returned.
func (recorder *operationRecorder) record(client int, input any, call func() any) {
	called := recorder.clock.Add(1)
	output := call()
	returned := recorder.clock.Add(1)
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	recorder.operations = append(recorder.operations, porcupine.Operation{
		ClientId: client, Input: input, Call: called, Output: output, Return: returned,
	})
}

// publishInput is the input of an operation that publishes a document based on a
// version.
type publishInput struct{ basedOn uint64 }

// result is the result of a proposal as its client knows it.
type result int

const (
	accepted result = iota
	rejected
	unknown // the proposal may take effect at any time, or not at all
)

// transition returns the states that are possible after a proposal with the given
// result. isValid says whether the proposal was valid in the state before.
func transition(outcome result, isValid bool, before, after any) []any {
	switch {
	case outcome == accepted && isValid:
		return []any{after}
	case outcome == rejected && !isValid:
		return []any{before}
	case outcome == unknown && isValid:
		return []any{before, after}
	case outcome == unknown:
		return []any{before}
	}
	return nil
}

// documentModel models a document as a compare-and-set register of its version. An
// operation whose result is unknown may or may not have taken effect.
var documentModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(0)} },
	Step: func(before, input, output any) []any {
		version, proposed := before.(uint64), input.(publishInput)
		isValid := proposed.basedOn == version
		return transition(output.(result), isValid, version, version+1)
	},
}

// publishFunc publishes a version and returns the result.
type publishFunc func(journal *changelog.Journal, basedOn uint64) result

// propose appends a record and returns its result.
func propose(journal *changelog.Journal, rec *record.Record) result {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	outcomes, err := journal.Append(ctx, rec)
	switch {
	case err != nil:
		return unknown
	case outcomes[0].IsAccepted():
		return accepted
	}
	return rejected
}

func publishAndRead(journal *changelog.Journal, basedOn uint64) result {
	return propose(journal, publishRecord(basedOn, "x"))
}

// publishFromLocalState is deliberately incorrect: it derives the result from this
// instance's state before the append instead of the outcome read from the log.
func publishFromLocalState(journal *changelog.Journal, basedOn uint64) result {
	isValid := configVersion(journal) == basedOn
	if publishAndRead(journal, basedOn) == unknown {
		return unknown
	}
	if isValid {
		return accepted
	}
	return rejected
}

// checkConcurrentPublishes lets two operators on each of three instances publish
// concurrently, each based on the version that its instance has, and checks that
// the history is linearizable.
func checkConcurrentPublishes(t *testing.T, seed uint64, publish publishFunc) porcupine.CheckResult {
	log := newFaultyLog(seed)
	recorder := &operationRecorder{}
	var operators sync.WaitGroup
	for instance := range 3 {
		journal := startJournal(t, log, changelog.Options{Writer: fmt.Sprint("entry-", instance)})
		for operator := range 2 {
			operators.Go(func() {
				for range 8 {
					basedOn := configVersion(journal)
					recorder.record(instance*2+operator, publishInput{basedOn}, func() any { return publish(journal, basedOn) })
				}
			})
		}
	}
	operators.Wait()
	model := documentModel.ToModel()
	return porcupine.CheckOperationsTimeout(model, recorder.operations, testTimeout)
}

// historyCount is the number of seeds that every linearizability test runs.
const historyCount = 20

// TestConfigurationLinearizability tests that concurrent publishes on several
// instances are linearizable, although the log loses responses, duplicates appends
// and throttles.
func TestConfigurationLinearizability(t *testing.T) {
	for seed := range uint64(historyCount) {
		if result := checkConcurrentPublishes(t, seed, publishAndRead); result != porcupine.Ok {
			t.Errorf("seed %d: %s", seed, result)
		}
	}
}

// TestConfigurationCheckDetectsStaleReads tests that the check detects a client which
// derives its results from the local state.
func TestConfigurationCheckDetectsStaleReads(t *testing.T) {
	for seed := range uint64(historyCount) {
		if checkConcurrentPublishes(t, seed, publishFromLocalState) == porcupine.Illegal {
			return
		}
	}
	t.Error("the check accepted every history of an incorrect publisher")
}

// claimInput is the input of an operation that acquires or releases a key.
type claimInput struct {
	key, holder string
	release     bool
}

// claimModel models keys that have at most one holder each, and that only the holder
// can release.
var claimModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, operation := range history {
			key := operation.Input.(claimInput).key
			byKey[key] = append(byKey[key], operation)
		}
		partitions := make([][]porcupine.Operation, 0, len(byKey))
		for _, partition := range byKey {
			partitions = append(partitions, partition)
		}
		return partitions
	},
	Init: func() []any { return []any{""} },
	Step: func(before, input, output any) []any {
		holder, proposed := before.(string), input.(claimInput)
		isValid, after := holder == "", proposed.holder
		if proposed.release {
			isValid, after = holder == proposed.holder, ""
		}
		return transition(output.(result), isValid, holder, after)
	},
}

// claimFunc acquires or releases a claim and returns the result.
type claimFunc func(journal *changelog.Journal, input claimInput) result

func claimRecord(input claimInput) *record.Record {
	rec := changelog.NewRecord(time.Unix(0, 0))
	rec.Body = &record.Record_Claim{Claim: &record.Claim{Key: input.key, Holder: input.holder}}
	if input.release {
		rec.Body = &record.Record_ClaimRelease{ClaimRelease: &record.ClaimRelease{Key: input.key, Holder: input.holder}}
	}
	return rec
}

func claimAndRead(journal *changelog.Journal, input claimInput) result {
	return propose(journal, claimRecord(input))
}

// claimFromLocalState is deliberately incorrect: it derives the result from this
// instance's state before the append instead of the outcome read from the log.
func claimFromLocalState(journal *changelog.Journal, input claimInput) result {
	var holder string
	journal.View(func(st *state.State) { holder = st.Claim(input.key).GetHolder() })
	claimAndRead(journal, input)
	if (input.release && holder == input.holder) || (!input.release && holder == "") {
		return accepted
	}
	return rejected
}

// checkConcurrentClaims lets two callers on each of three instances acquire and
// release the same two keys concurrently, and checks that the history is
// linearizable.
func checkConcurrentClaims(t *testing.T, seed uint64, claim claimFunc) porcupine.CheckResult {
	log := newFaultyLog(seed)
	recorder := &operationRecorder{}
	var callers sync.WaitGroup
	for instance := range 3 {
		journal := startJournal(t, log, changelog.Options{Writer: fmt.Sprint("entry-", instance)})
		for caller := range 2 {
			callers.Go(func() {
				client := instance*2 + caller
				for round := range 8 {
					input := claimInput{key: fmt.Sprint("key-", round%2), holder: fmt.Sprintf("%d/%d", client, round)}
					held := false
					recorder.record(client, input, func() any {
						outcome := claim(journal, input)
						held = outcome == accepted
						return outcome
					})
					if held {
						input.release = true
						recorder.record(client, input, func() any { return claim(journal, input) })
					}
				}
			})
		}
	}
	callers.Wait()
	model := claimModel.ToModel()
	return porcupine.CheckOperationsTimeout(model, recorder.operations, testTimeout)
}

// TestClaimLinearizability tests that concurrent claims and releases on several
// instances are linearizable, so that no key has two holders, although the log
// loses responses, duplicates appends and throttles.
func TestClaimLinearizability(t *testing.T) {
	for seed := range uint64(historyCount) {
		if result := checkConcurrentClaims(t, seed, claimAndRead); result != porcupine.Ok {
			t.Errorf("seed %d: %s", seed, result)
		}
	}
}

// TestClaimCheckDetectsStaleReads tests that the check detects a client which derives
// its results from the local state.
func TestClaimCheckDetectsStaleReads(t *testing.T) {
	for seed := range uint64(historyCount) {
		if checkConcurrentClaims(t, seed, claimFromLocalState) == porcupine.Illegal {
			return
		}
	}
	t.Error("the check accepted every history of an incorrect claimer")
}
