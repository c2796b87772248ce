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
	mu    sync.Mutex
	draws *rand.Rand
}

func newFaultyLog(seed uint64) *faultyLog {
	return &faultyLog{Log: standin.NewLog(0), draws: rand.New(rand.NewPCG(seed, seed))}
}

var errFault = errors.New("a fault that was put in")

func (log *faultyLog) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	log.mu.Lock()
	fault := log.draws.IntN(10)
	log.mu.Unlock()
	switch fault {
	case 0:
		return 0, errFault
	case 1:
		_, _ = log.Log.Append(ctx, stream, data)
		return 0, errFault
	case 2:
		_, _ = log.Log.Append(ctx, stream, data)
		return log.Log.Append(ctx, stream, data)
	case 3:
		return 0, &logservice.ThrottledError{RetryAfter: time.Millisecond}
	}
	return log.Log.Append(ctx, stream, data)
}

// recorder collects the operations of a concurrent run.
type recorder struct {
	mu         sync.Mutex
	clock      atomic.Int64
	operations []porcupine.Operation
}

// do runs one operation and notes when it was called and answered.
func (history *recorder) do(client int, input any, call func() any) {
	called := history.clock.Add(1)
	output := call()
	returned := history.clock.Add(1)
	history.mu.Lock()
	defer history.mu.Unlock()
	history.operations = append(history.operations, porcupine.Operation{
		ClientId: client, Input: input, Call: called, Output: output, Return: returned,
	})
}

// publishing is an attempt to replace the version it is based on.
type publishing struct{ basedOn uint64 }

// verdict is what became of a proposal.
type verdict int

const (
	accepted verdict = iota
	lost
	open // not known; it may have taken effect at any time
)

// transition returns the states that a verdict leaves possible: of a proposal
// that fits, or does not fit, the state before.
func transition(became verdict, fits bool, before, after any) []any {
	switch {
	case became == accepted && fits:
		return []any{after}
	case became == lost && !fits:
		return []any{before}
	case became == open && fits:
		return []any{before, after}
	case became == open:
		return []any{before}
	}
	return nil
}

// documentModel is a register that is replaced only from its present version.
// An open operation may or may not have taken effect.
var documentModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(0)} },
	Step: func(before, input, output any) []any {
		version, proposed := before.(uint64), input.(publishing)
		fits := proposed.basedOn == version
		return transition(output.(verdict), fits, version, version+1)
	},
}

// publisher proposes a version and says what became of it.
type publisher func(log *changelog.Journal, basedOn uint64) verdict

// propose appends a record and reads what became of it.
func propose(log *changelog.Journal, rec *record.Record) verdict {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	outcomes, err := log.Append(ctx, rec)
	switch {
	case err != nil:
		return open
	case outcomes[0].Accepted():
		return accepted
	}
	return lost
}

func publishAndRead(log *changelog.Journal, basedOn uint64) verdict {
	return propose(log, publishRecord(basedOn, "x"))
}

// publishAndHope is broken on purpose: it judges by what this instance knew
// before the append, not by what the log says of it.
func publishAndHope(log *changelog.Journal, basedOn uint64) verdict {
	fits := version(log) == basedOn
	if publishAndRead(log, basedOn) == open {
		return open
	}
	if fits {
		return accepted
	}
	return lost
}

// raceOperators lets operators at three instances publish at the same time,
// each from the version that its instance shows.
func raceOperators(t *testing.T, seed uint64, publish publisher) porcupine.CheckResult {
	log := newFaultyLog(seed)
	history := &recorder{}
	var operators sync.WaitGroup
	for instance := range 3 {
		made := running(t, log, changelog.Options{Writer: fmt.Sprint("entry-", instance)})
		for operator := range 2 {
			operators.Go(func() {
				for range 8 {
					basedOn := version(made)
					history.do(instance*2+operator, publishing{basedOn}, func() any { return publish(made, basedOn) })
				}
			})
		}
	}
	operators.Wait()
	model := documentModel.ToModel()
	return porcupine.CheckOperationsTimeout(model, history.operations, patience)
}

const histories = 20

// TestConfigurationHistory: operators race at several instances over a log
// that loses answers; their publications are as if made one after the other.
func TestConfigurationHistory(t *testing.T) {
	for seed := range uint64(histories) {
		if result := raceOperators(t, seed, publishAndRead); result != porcupine.Ok {
			t.Errorf("seed %d: %s", seed, result)
		}
	}
}

// TestConfigurationHistoryCatches: a publisher that hopes instead of reading is
// caught.
func TestConfigurationHistoryCatches(t *testing.T) {
	for seed := range uint64(histories) {
		if raceOperators(t, seed, publishAndHope) == porcupine.Illegal {
			return
		}
	}
	t.Error("the check passed every history of a broken publisher")
}

// claiming is an attempt to take or give back a key.
type claiming struct {
	key, holder string
	release     bool
}

// claimModel: a key has one holder at a time, and only the holder gives it back.
var claimModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, operation := range history {
			key := operation.Input.(claiming).key
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
		holder, asked := before.(string), input.(claiming)
		fits, after := holder == "", asked.holder
		if asked.release {
			fits, after = holder == asked.holder, ""
		}
		return transition(output.(verdict), fits, holder, after)
	},
}

// claimer proposes a claim or its release and says what became of it.
type claimer func(log *changelog.Journal, asked claiming) verdict

func claimRecord(asked claiming) *record.Record {
	rec := changelog.NewRecord(time.Unix(0, 0))
	rec.Body = &record.Record_Claim{Claim: &record.Claim{Key: asked.key, Holder: asked.holder}}
	if asked.release {
		rec.Body = &record.Record_ClaimRelease{ClaimRelease: &record.ClaimRelease{Key: asked.key, Holder: asked.holder}}
	}
	return rec
}

func claimThroughLog(log *changelog.Journal, asked claiming) verdict {
	return propose(log, claimRecord(asked))
}

// claimLocally is broken on purpose: it takes a key that its own copy of the
// state shows as free, and tells the log afterwards.
func claimLocally(log *changelog.Journal, asked claiming) verdict {
	var holder string
	log.View(func(folded *state.State) { holder = folded.Claim(asked.key).GetHolder() })
	claimThroughLog(log, asked)
	if (asked.release && holder == asked.holder) || (!asked.release && holder == "") {
		return accepted
	}
	return lost
}

func raceClaims(t *testing.T, seed uint64, claim claimer) porcupine.CheckResult {
	log := newFaultyLog(seed)
	history := &recorder{}
	var callers sync.WaitGroup
	for instance := range 3 {
		made := running(t, log, changelog.Options{Writer: fmt.Sprint("entry-", instance)})
		for caller := range 2 {
			callers.Go(func() {
				client := instance*2 + caller
				for round := range 8 {
					asked := claiming{key: fmt.Sprint("key-", round%2), holder: fmt.Sprintf("%d/%d", client, round)}
					held := false
					history.do(client, asked, func() any {
						became := claim(made, asked)
						held = became == accepted
						return became
					})
					if held {
						asked.release = true
						history.do(client, asked, func() any { return claim(made, asked) })
					}
				}
			})
		}
	}
	callers.Wait()
	model := claimModel.ToModel()
	return porcupine.CheckOperationsTimeout(model, history.operations, patience)
}

// TestClaimHistory: the same keys are claimed and given back at several
// instances over a log that loses answers; no key has two holders.
func TestClaimHistory(t *testing.T) {
	for seed := range uint64(histories) {
		if result := raceClaims(t, seed, claimThroughLog); result != porcupine.Ok {
			t.Errorf("seed %d: %s", seed, result)
		}
	}
}

// TestClaimHistoryCatches: a claimer that trusts its own copy is caught.
func TestClaimHistoryCatches(t *testing.T) {
	for seed := range uint64(histories) {
		if raceClaims(t, seed, claimLocally) == porcupine.Illegal {
			return
		}
	}
	t.Error("the check passed every history of a broken claimer")
}
