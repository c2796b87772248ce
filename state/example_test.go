package state_test

import (
	"fmt"

	"ambertiller.example/ambertiller/record"
	"ambertiller.example/ambertiller/state"
)

// Two operators publish a document based on the same version. The one whose record
// comes first in the log is accepted.
func ExampleState() {
	st := state.New()
	for offset, author := range []string{"anna", "bruno"} {
		rec := &record.Record{Id: author, Format: state.FirstFormat, Body: &record.Record_Publish{
			Publish: &record.Publish{Document: "config", BasedOn: 0, Author: author},
		}}
		outcomes, err := st.Apply(int64(offset), &record.Batch{Id: author, Records: []*record.Record{rec}})
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
