// Package startahead holds only a test model of a design that is not implemented: starts recorded ahead, by which an
// owner could start waiting tasks while the store is down. docs/design/starts-ahead.md describes the design.
// No process imports the package, and it exports nothing.
//
// The model runs seeded random schedules of owners, agents, workers and the store with one task, and checks each start
// and each acknowledged end against the rules TWICE and BUDGET.
//
// # Usage
//
//	go test ./startahead
package startahead
