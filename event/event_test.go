package event_test

import (
	"bytes"
	"context"
	"encoding/json"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"ambertiller.example/ambertiller/event"
)

// TestEventsPageIsCurrent checks that docs/EVENTS.md was generated from the present catalogue.
func TestEventsPageIsCurrent(t *testing.T) {
	page, err := os.ReadFile("../docs/EVENTS.md")
	if err != nil {
		t.Fatal(err)
	}
	if string(page) != event.Markdown() {
		t.Error("docs/EVENTS.md differs from the catalogue; run ./generate.sh")
	}
}

func TestCodesAreUnique(t *testing.T) {
	seen := map[event.Code]string{}
	for _, entry := range event.Catalogue() {
		if other, taken := seen[entry.Code]; taken {
			t.Errorf("code %d is used for both %q and %q", entry.Code, other, entry.Title)
		}
		seen[entry.Code] = entry.Title
		if entry.Title == "" || entry.Description == "" || entry.Since == "" {
			t.Errorf("event %d lacks a title, a description or the release that added it", entry.Code)
		}
	}
}

// TestUsedCodesAreListed checks that each declared code is in the catalogue, and that the code of each event
// in the catalogue is used in the source as event.X.
func TestUsedCodesAreListed(t *testing.T) {
	declared := declaredCodes(t)
	listed := listedCodes(t)
	for name := range declared {
		if !listed[name] {
			t.Errorf("event.%s is declared but not in the catalogue", name)
		}
	}
	used := usedCodes(t, declared)
	for name := range listed {
		if !used[name] {
			t.Errorf("event.%s is in the catalogue but nothing logs it", name)
		}
	}
}

// parseFile parses a Go source file.
func parseFile(t *testing.T, path string) *ast.File {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	return file
}

// declaredCodes returns the names of the exported constants that catalogue.go declares.
func declaredCodes(t *testing.T) map[string]bool {
	names := map[string]bool{}
	for _, declaration := range parseFile(t, "catalogue.go").Decls {
		group, ok := declaration.(*ast.GenDecl)
		if !ok || group.Tok != token.CONST {
			continue
		}
		for _, spec := range group.Specs {
			for _, name := range spec.(*ast.ValueSpec).Names {
				if name.IsExported() {
					names[name.Name] = true
				}
			}
		}
	}
	return names
}

// listedCodes returns the names of the codes of the catalogue's entries.
func listedCodes(t *testing.T) map[string]bool {
	names := map[string]bool{}
	ast.Inspect(parseFile(t, "catalogue.go"), func(node ast.Node) bool {
		if literal, ok := node.(*ast.CompositeLit); ok && literal.Type == nil && len(literal.Elts) > 0 {
			if name, ok := literal.Elts[0].(*ast.Ident); ok {
				names[name.Name] = true
			}
		}
		return true
	})
	return names
}

// usedCodes returns which of the declared codes the source uses, tests excepted.
func usedCodes(t *testing.T, declared map[string]bool) map[string]bool {
	used := map[string]bool{}
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		ast.Inspect(parseFile(t, path), func(node ast.Node) bool {
			if selector, ok := node.(*ast.SelectorExpr); ok {
				if from, ok := selector.X.(*ast.Ident); ok && from.Name == "event" && declared[selector.Sel.Name] {
					used[selector.Sel.Name] = true
				}
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return used
}

func TestLog(t *testing.T) {
	var out bytes.Buffer
	logger, err := event.Open(&out, "json", "info")
	if err != nil {
		t.Fatal(err)
	}
	logger.With("role", "entry").Log(context.Background(), event.TaskPlaced, slog.String("task", "t-1"))
	var line struct {
		Event int    `json:"event"`
		Msg   string `json:"msg"`
		Role  string `json:"role"`
		Task  string `json:"task"`
	}
	if err := json.Unmarshal(out.Bytes(), &line); err != nil {
		t.Fatal(err)
	}
	if line.Event != int(event.TaskPlaced) || line.Msg != "task placed" || line.Role != "entry" || line.Task != "t-1" {
		t.Errorf("got %+v", line)
	}
}

func TestOpenErrorNamesValue(t *testing.T) {
	tests := map[string]struct{ format, level, want string }{
		"format": {"xml", "info", `"xml"`},
		"level":  {"json", "loud", `"loud"`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if _, err := event.Open(&bytes.Buffer{}, test.format, test.level); err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("got %v", err)
			}
		})
	}
}
