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

// instance returns the claims of an instance that follows the log.
func instance(t testing.TB, log *standin.Log, name string) *claim.Claims {
	t.Helper()
	kept := changelog.New(log, changelog.Options{Writer: name, AppendsPerSecond: 1e6})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go kept.Run(ctx)
	for kept.Ready() != nil {
		runtime.Gosched()
	}
	return claim.New(claim.Options{Journal: kept, Instance: name, StaleLog: time.Hour})
}

func TestOneHolder(t *testing.T) {
	log, ctx, now := standin.NewLog(0), context.Background(), time.Now()
	first, second := instance(t, log, "entry-1"), instance(t, log, "entry-2")
	held, err := first.Take(ctx, "bill-7", "verbale", now)
	if err != nil {
		t.Fatal(err)
	}
	var taken *claim.TakenError
	if _, err := second.Take(ctx, "bill-7", "verbale", now); !errors.As(err, &taken) || taken.Phase() != state.ClaimHeld {
		t.Fatalf("got %v", err)
	}
	first.Release(ctx, held, now)
	again, err := second.Take(ctx, "bill-7", "verbale", now)
	if err != nil {
		t.Fatal(err)
	}
	second.Finish(again, 200, false, now)
	if left := second.Record(ctx, now); left != 0 {
		t.Fatalf("%d ends are left", left)
	}
	second.Settle()
	if _, err := first.Take(ctx, "bill-7", "verbale", now); !errors.As(err, &taken) {
		t.Fatalf("got %v", err)
	}
}

func TestLogDown(t *testing.T) {
	claims := claim.New(claim.Options{Journal: changelog.New(standin.NewLog(0), changelog.Options{}), Instance: "entry-1"})
	if _, err := claims.Take(context.Background(), "bill-7", "verbale", time.Now()); !errors.Is(err, claim.ErrLogDown) {
		t.Errorf("got %v", err)
	}
}

func ExampleClaims() {
	log := standin.NewLog(0)
	kept := changelog.New(log, changelog.Options{Writer: "entry-1"})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go kept.Run(ctx)
	for kept.Ready() != nil {
		runtime.Gosched()
	}
	claims := claim.New(claim.Options{Journal: kept, Instance: "entry-1"})
	held, err := claims.Take(ctx, "bill-7", "verbale", time.Now())
	fmt.Println(held.Key(), err)
	_, err = claims.Take(ctx, "bill-7", "verbale", time.Now())
	fmt.Println(err)
	// Output:
	// bill-7 <nil>
	// the key is claimed
}
