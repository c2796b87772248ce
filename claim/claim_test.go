package claim_test

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/pkg/errors"

	"ambertiller.example/ambertiller/changelog"
	"ambertiller.example/ambertiller/claim"
	"ambertiller.example/ambertiller/standin"
	"ambertiller.example/ambertiller/state"
)

// newManager returns the Manager of an instance that follows the log.
func newManager(t testing.TB, log *standin.Log, name string) *claim.Manager {
	t.Helper()
	journal := changelog.New(log, changelog.Options{Writer: name, AppendsPerSecond: 1e6})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go journal.Run(ctx)
	for journal.Ready() != nil {
		runtime.Gosched()
	}
	return claim.New(claim.Options{Journal: journal, Instance: name, MaxLogAge: time.Hour})
}

// TestOneHolder checks that a key has at most one holder, that a released key can be
// claimed again, and that a finished one cannot.
func TestOneHolder(t *testing.T) {
	log, ctx, now := standin.NewLog(0), context.Background(), time.Now()
	first, second := newManager(t, log, "entry-1"), newManager(t, log, "entry-2")
	held, err := first.Acquire(ctx, "bill-7", "verbale", now)
	if err != nil {
		t.Fatal(err)
	}
	var taken *claim.TakenError
	if _, err := second.Acquire(ctx, "bill-7", "verbale", now); !errors.As(err, &taken) || taken.Phase() != state.ClaimHeld {
		t.Fatalf("claim of a held key: got error %v, want a TakenError in phase held", err)
	}
	first.Release(ctx, held, now)
	reacquired, err := second.Acquire(ctx, "bill-7", "verbale", now)
	if err != nil {
		t.Fatal(err)
	}
	second.Finish(reacquired, 200, false, now)
	if left := second.RecordPending(ctx, now); left != 0 {
		t.Fatalf("%d ends are still pending, want 0", left)
	}
	second.Wait()
	if _, err := first.Acquire(ctx, "bill-7", "verbale", now); !errors.As(err, &taken) {
		t.Fatalf("claim of a finished key: got error %v, want a TakenError", err)
	}
}

func TestLogDown(t *testing.T) {
	claims := claim.New(claim.Options{Journal: changelog.New(standin.NewLog(0), changelog.Options{}), Instance: "entry-1"})
	if _, err := claims.Acquire(context.Background(), "bill-7", "verbale", time.Now()); !errors.Is(err, claim.ErrLogDown) {
		t.Errorf("got error %v, want ErrLogDown", err)
	}
}

func ExampleManager() {
	log := standin.NewLog(0)
	journal := changelog.New(log, changelog.Options{Writer: "entry-1"})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go journal.Run(ctx)
	for journal.Ready() != nil {
		runtime.Gosched()
	}
	claims := claim.New(claim.Options{Journal: journal, Instance: "entry-1"})
	held, err := claims.Acquire(ctx, "bill-7", "verbale", time.Now())
	fmt.Println(held.Key(), err)
	_, err = claims.Acquire(ctx, "bill-7", "verbale", time.Now())
	fmt.Println(err)
	// Output:
	// bill-7 <nil>
	// the key is claimed
}
