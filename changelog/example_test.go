package changelog_test

import (
	"context"
	"fmt"
	"time"

	"ambertiller.example/ambertiller/changelog"
	"ambertiller.example/ambertiller/record"
	"ambertiller.example/ambertiller/standin"
	"ambertiller.example/ambertiller/state"
)

func ExampleJournal() {
	journal := changelog.New(standin.NewLog(0), changelog.Options{Writer: "entry-1"})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go journal.Run(ctx)

	rec := changelog.NewRecord(time.Now())
	rec.Body = &record.Record_Publish{Publish: &record.Publish{Document: "config", Content: []byte("kinds: {}")}}
	outcomes, err := journal.Append(ctx, rec)
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println("accepted:", outcomes[0].IsAccepted())
	journal.View(func(st *state.State) { fmt.Println("version:", st.Document("config").GetVersion()) })
	// Output:
	// accepted: true
	// version: 1
}
