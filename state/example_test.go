package state_test

import (
	"fmt"

	"ambertiller.example/ambertiller/record"
	"ambertiller.example/ambertiller/state"
)

// Two operators publish from the same version; the first in the log wins.
func ExampleState() {
	folded := state.New()
	for offset, author := range []string{"anna", "bruno"} {
		rec := &record.Record{Id: author, Format: state.FirstFormat, Body: &record.Record_Publish{
			Publish: &record.Publish{Document: "config", BasedOn: 0, Author: author},
		}}
		outcomes, err := folded.Apply(int64(offset), &record.Batch{Id: author, Records: []*record.Record{rec}})
		if err != nil {
			fmt.Println(err)
			return
		}
		fmt.Printf("%s accepted: %t\n", author, outcomes[0].IsAccepted())
	}
	// Output:
	// anna accepted: true
	// bruno accepted: false
}
