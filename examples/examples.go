// Package examples holds the configurations and policies that are shipped.
//
// # Usage
//
//	content, err := examples.Files.ReadFile("verbalia/config.yaml")
package examples

import "embed"

// Files holds the examples by path.
//
//go:embed verbalia sapporo
var Files embed.FS
