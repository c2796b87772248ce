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

// faultyLog fails some appends before and some after they took effect, repeats
// some, and throttles. What it does is drawn from a seed.
type faultyLog struct {
	*standin.Log
	mu     sync.Mutex
	random *rand.Rand
}

func newFaultyLog(seed uint64) *faultyLog {
	return &faultyLog{Log: standin.NewLog(0), random: rand.New(rand.NewPCG(seed, seed))}
}

var errInjected = errors.New("a fault that was put in")

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

// operationRecorder collects the operations of a concurrent run.
type operationRecorder struct {
	mu         sync.Mutex
	clock      atomic.Int64
	operations []porcupine.Operation
}

// record runs one operation and notes when it was called and answered.
func (history *operationRecorder) record(client int, input any, call func() any) {
	called := history.clock.Add(1)
	output := call()
	returned := history.clock.Add(1)
	history.mu.Lock()
	defer history.mu.Unlock()
	history.operations = append(history.operations, porcupine.Operation{
		ClientId: client, Input: input, Call: called, Output: output, Return: returned,
	})
}

// publishInput is an attempt to replace the version it is based on.
type publishInput struct{ basedOn uint64 }

// result is what became of a proposal.
type result int

const (
	accepted result = iota
	rejected
	unknown // not known; it may have taken effect at any time
)

// transition returns the states that a verdict leaves possible: of a proposal
// that fits, or does not fit, the state before.
func transition(became result, fits bool, before, after any) []any {
	switch {
	case became == accepted && fits:
		return []any{after}
	case became == rejected && !fits:
		return []any{before}
	case became == unknown && fits:
		return []any{before, after}
	case became == unknown:
		return []any{before}
	}
	return nil
}

// documentModel is a register that is replaced only from its present version.
// An open operation may or may not have taken effect.
var documentModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(0)} },
	Step: func(before, input, output any) []any {
		version, proposed := before.(uint64), input.(publishInput)
		fits := proposed.basedOn == version
		return transition(output.(result), fits, version, version+1)
	},
}

// publishFunc proposes a version and says what became of it.
type publishFunc func(log *changelog.Journal, basedOn uint64) result

// propose appends a record and reads what became of it.
func propose(log *changelog.Journal, rec *record.Record) result {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	outcomes, err := log.Append(ctx, rec)
	switch {
	case err != nil:
		return unknown
	case outcomes[0].IsAccepted():
		return accepted
	}
	return rejected
}

func publishAndRead(log *changelog.Journal, basedOn uint64) result {
	return propose(log, publishRecord(basedOn, "x"))
}

// publishFromLocalState is broken on purpose: it judges by what this instance knew
// before the append, not by what the log says of it.
func publishFromLocalState(log *changelog.Journal, basedOn uint64) result {
	fits := configVersion(log) == basedOn
	if publishAndRead(log, basedOn) == unknown {
		return unknown
	}
	if fits {
		return accepted
	}
	return rejected
}

// checkConcurrentPublishes lets operators at three instances publish at the same time,
// each from the version that its instance shows.
func checkConcurrentPublishes(t *testing.T, seed uint64, publish publishFunc) porcupine.CheckResult {
	log := newFaultyLog(seed)
	history := &operationRecorder{}
	var operators sync.WaitGroup
	for instance := range 3 {
		made := startJournal(t, log, changelog.Options{Writer: fmt.Sprint("entry-", instance)})
		for operator := range 2 {
			operators.Go(func() {
				for range 8 {
					basedOn := configVersion(made)
					history.record(instance*2+operator, publishInput{basedOn}, func() any { return publish(made, basedOn) })
				}
			})
		}
	}
	operators.Wait()
	model := documentModel.ToModel()
	return porcupine.CheckOperationsTimeout(model, history.operations, testTimeout)
}

const historyCount = 20

// TestConfigurationLinearizability: operators race at several instances over a log
// that loses answers; their publications are as if made one after the other.
func TestConfigurationLinearizability(t *testing.T) {
	for seed := range uint64(historyCount) {
		if result := checkConcurrentPublishes(t, seed, publishAndRead); result != porcupine.Ok {
			t.Errorf("seed %d: %s", seed, result)
		}
	}
}

// TestConfigurationCheckDetectsStaleReads: a publisher that hopes instead of reading is
// caught.
func TestConfigurationCheckDetectsStaleReads(t *testing.T) {
	for seed := range uint64(historyCount) {
		if checkConcurrentPublishes(t, seed, publishFromLocalState) == porcupine.Illegal {
			return
		}
	}
	t.Error("the check passed every history of a broken publisher")
}

// claimInput is an attempt to take or give back a key.
type claimInput struct {
	key, holder string
	release     bool
}

// claimModel: a key has one holder at a time, and only the holder gives it back.
var claimModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, operation := range history {
			key := operation.Input.(claimInput).key
			byKey[key] = append(byKey[key], operation)
		}
		parts := make([][]porcupine.Operation, 0, len(byKey))
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() []any { return []any{""} },
	Step: func(before, input, output any) []any {
		holder, asked := before.(string), input.(claimInput)
		fits, after := holder == "", asked.holder
		if asked.release {
			fits, after = holder == asked.holder, ""
		}
		return transition(output.(result), fits, holder, after)
	},
}

// claimFunc proposes a claim or its release and says what became of it.
type claimFunc func(log *changelog.Journal, asked claimInput) result

func claimRecord(asked claimInput) *record.Record {
	rec := changelog.NewRecord(time.Unix(0, 0))
	rec.Body = &record.Record_Claim{Claim: &record.Claim{Key: asked.key, Holder: asked.holder}}
	if asked.release {
		rec.Body = &record.Record_ClaimRelease{ClaimRelease: &record.ClaimRelease{Key: asked.key, Holder: asked.holder}}
	}
	return rec
}

func claimAndRead(log *changelog.Journal, asked claimInput) result {
	return propose(log, claimRecord(asked))
}

// claimFromLocalState is broken on purpose: it takes a key that its own copy of the
// state shows as free, and tells the log afterwards.
func claimFromLocalState(log *changelog.Journal, asked claimInput) result {
	var holder string
	log.View(func(folded *state.State) { holder = folded.Claim(asked.key).GetHolder() })
	claimAndRead(log, asked)
	if (asked.release && holder == asked.holder) || (!asked.release && holder == "") {
		return accepted
	}
	return rejected
}

func checkConcurrentClaims(t *testing.T, seed uint64, claim claimFunc) porcupine.CheckResult {
	log := newFaultyLog(seed)
	history := &operationRecorder{}
	var callers sync.WaitGroup
	for instance := range 3 {
		made := startJournal(t, log, changelog.Options{Writer: fmt.Sprint("entry-", instance)})
		for caller := range 2 {
			callers.Go(func() {
				client := instance*2 + caller
				for round := range 8 {
					asked := claimInput{key: fmt.Sprint("key-", round%2), holder: fmt.Sprintf("%d/%d", client, round)}
					held := false
					history.record(client, asked, func() any {
						became := claim(made, asked)
						held = became == accepted
						return became
					})
					if held {
						asked.release = true
						history.record(client, asked, func() any { return claim(made, asked) })
					}
				}
			})
		}
	}
	callers.Wait()
	model := claimModel.ToModel()
	return porcupine.CheckOperationsTimeout(model, history.operations, testTimeout)
}

// TestClaimLinearizability: the same keys are claimed and given back at several
// instances over a log that loses answers; no key has two holders.
func TestClaimLinearizability(t *testing.T) {
	for seed := range uint64(historyCount) {
		if result := checkConcurrentClaims(t, seed, claimAndRead); result != porcupine.Ok {
			t.Errorf("seed %d: %s", seed, result)
		}
	}
}

// TestClaimCheckDetectsStaleReads: a claimer that trusts its own copy is caught.
func TestClaimCheckDetectsStaleReads(t *testing.T) {
	for seed := range uint64(historyCount) {
		if checkConcurrentClaims(t, seed, claimFromLocalState) == porcupine.Illegal {
			return
		}
	}
	t.Error("the check passed every history of a broken claimer")
}
