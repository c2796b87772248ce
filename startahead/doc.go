// Package startahead holds only the model of a design that is not built: starts recorded ahead, by which an
// owner could start waiting tasks while the store is away. docs/design/starts-ahead.md describes the design.
// No process imports the package, and it exports nothing.
//
// The model plays seeded random schedules of owners, agents, workers and the store against one task, and
// checks after each step that none of the rules TWICE and BUDGET is broken.
//
// # Usage
//
//	go test ./startahead
package startahead
