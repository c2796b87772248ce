// Package examples embeds the example configurations and placement policies.
//
// # Usage
//
//	content, err := examples.Files.ReadFile("verbalia/config.yaml")
package examples

import "embed"

// Files contains the examples, with paths relative to this directory.
//
//go:embed verbalia sapporo
var Files embed.FS
